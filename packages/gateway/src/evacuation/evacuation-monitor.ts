import {type Instance, type InstanceRegistry} from '../instances/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type Clock} from '../ports/index.js';
import {type BackgroundTasks} from '../tasks/index.js';
import {type TermRegistry} from '../terms/index.js';
import {type EvacuationChange, type EvacuationRegistry} from './evacuation-registry.js';
import {type InstanceGuard} from './instance-guard.js';

/** Interval between checks whether an evacuation is complete, in milliseconds. */
const checkIntervalMs = 200;

/** Dependencies of an `EvacuationMonitor`. */
export type EvacuationMonitorDependencies = {
	readonly evacuations: EvacuationRegistry;
	readonly instances: InstanceRegistry;
	readonly guard: InstanceGuard;
	readonly terms: TermRegistry;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	readonly tasks: BackgroundTasks;
};

/** Logs evacuations as this VM sees them, and provides their gauges. */
export class EvacuationMonitor {
	/** Monotonic times at which evacuations that are not complete were learned of, in milliseconds. */
	readonly #pending = new Map<string, number>();
	#timer: NodeJS.Timeout | undefined;

	constructor(private readonly dependencies: EvacuationMonitorDependencies) {}

	/** Adds the gauges, and starts to log evacuations. */
	start(): void {
		const {evacuations, instances, metrics, tasks} = this.dependencies;
		evacuations.onChanged(tasks.createCallback('evacuation log', change => {
			this.#handleChange(change);
		}));
		metrics.addGauge('evacuated_zones', () => evacuations.count);
		metrics.addGauge('evacuated_instances', () => instances.getListedInstances().filter(({zone}) => evacuations.isEvacuated(zone)).length);
	}

	#handleChange({begun, ended, source, version}: EvacuationChange): void {
		const {log, clock} = this.dependencies;
		for (const zone of begun) {
			this.#pending.set(zone, clock.now());
			log.logEvent('evacuation.begun', {
				zone, instances: this.#getZoneInstances(zone).length, source, version,
			});
		}

		for (const zone of ended) {
			this.#pending.delete(zone);
			log.logEvent('evacuation.ended', {
				zone, instances: this.#getZoneInstances(zone).length, source, version,
			});
		}

		this.#checkPending();
	}

	/** Logs the evacuations that are complete, and checks the others again later. */
	#checkPending(): void {
		clearTimeout(this.#timer);
		const {log, clock} = this.dependencies;
		for (const [zone, since] of this.#pending) {
			const instances = this.#getZoneInstances(zone);
			if (instances.every(instance => this.#isComplete(instance))) {
				this.#pending.delete(zone);
				log.logEvent('evacuation.completed', {
					zone, instances: instances.length, primariesLeft: instances.filter(instance => this.#isPrimary(instance)).length, durationMs: Math.round(clock.now() - since),
				});
			}
		}

		if (this.#pending.size > 0) {
			this.#timer = setTimeout(this.dependencies.tasks.createCallback('evacuation log', () => {
				this.#checkPending();
			}), checkIntervalMs);
			this.#timer.unref();
		}
	}

	/** Returns whether nothing is sent to an instance any more, and it is no primary unless no other instance can take over. */
	#isComplete(instance: Instance): boolean {
		const {guard} = this.dependencies;
		return guard.isCutOff(instance) && !(this.#isPrimary(instance) && guard.hasReadyInstance(instance.group));
	}

	#isPrimary({group, id}: Instance): boolean {
		return this.dependencies.terms.getTerm(group)?.primaryId === id;
	}

	#getZoneInstances(zone: string): Instance[] {
		return this.dependencies.instances.getListedInstances().filter(instance => instance.zone === zone);
	}
}
