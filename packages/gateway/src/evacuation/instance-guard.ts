import {
	ColdSchedule, type ColdTurn, getInstanceAccess, getWorkMs, type InstanceAccess, isColdnessUnknown, isReturnComplete, mayReadFromReturning,
} from '@chicorysaddle/decisions';
import {type Refusal, refusals} from '@chicorysaddle/model';
import {type ConfigurationView} from '../configuration/index.js';
import {type Instance, type InstanceRegistry} from '../instances/index.js';
import {type AdjustableSettingsSource, type Clock} from '../ports/index.js';
import {type EvacuationRegistry} from './evacuation-registry.js';

/** Time after the start of an evacuation from which nothing may be sent, unless the settings give one, in milliseconds. */
const defaultBoundMs = 5000;

/** Mean retry delay given to a caller whose group has all instances in evacuated zones, in milliseconds: evacuations last for seconds to hours. */
const evacuatedRetryMs = 1000;

/** Dependencies of an `InstanceGuard`. */
export type InstanceGuardDependencies = {
	readonly vm: string;
	readonly evacuations: EvacuationRegistry;
	readonly instances: InstanceRegistry;
	readonly configuration: ConfigurationView;
	readonly clock: Clock;
	readonly getSettings: AdjustableSettingsSource;
	/** Returns a random number in [0, 1). */
	readonly random: () => number;
};

/** Decides what this VM may send to instances of evacuated zones, to instances that return from an evacuation, and to cold ones. */
export class InstanceGuard {
	readonly #schedules = new Map<string, ColdSchedule>();
	readonly #phase: number;
	#rank: number | undefined;
	#vms = 1;
	/** Difference between the coordinator's clock and this VM's, in milliseconds. */
	#clockOffset = 0;

	constructor(private readonly dependencies: InstanceGuardDependencies) {
		this.#phase = dependencies.random();
	}

	/**
	 * Sets the place of this VM in the turns at cold instances.
	 * @param rank - Rank of this VM among all VMs; undefined keeps a place that follows from its name.
	 * @param vms - Number of VMs.
	 * @param stampMs - Time of the coordinator's clock now, in milliseconds.
	 */
	setTurn(rank: number | undefined, vms: number, stampMs: number): void {
		this.#rank = rank;
		this.#vms = Math.max(1, vms);
		this.#clockOffset = stampMs - this.dependencies.clock.now();
	}

	/** Returns what may be sent to an instance. */
	getAccess({zone}: Instance): InstanceAccess {
		return getInstanceAccess(this.dependencies.evacuations.getEvacuatedForMs(zone), this.#getBoundMs());
	}

	/** Returns whether nothing at all may be sent to an instance. */
	isCutOff(instance: Instance): boolean {
		return this.getAccess(instance) === 'none';
	}

	/** Returns the time for which work in progress at an evacuated instance may go on, in milliseconds; undefined if its zone is not evacuated. */
	getRemainingMs({zone}: Instance): number | undefined {
		const evacuatedForMs = this.dependencies.evacuations.getEvacuatedForMs(zone);
		return evacuatedForMs === undefined ? undefined : getWorkMs(this.#getBoundMs()) - evacuatedForMs;
	}

	/** Returns whether an instance may get a read now, as far as evacuations and coldness are concerned. */
	mayRead(instance: Instance): boolean {
		const {evacuations} = this.dependencies;
		if (evacuations.isEvacuated(instance.zone)) {
			return false;
		}

		const returnedForMs = evacuations.getReturnedForMs(instance.zone);
		const isReturned = returnedForMs === undefined || isReturnComplete(returnedForMs) || !this.#hasInstanceElsewhere(instance) || mayReadFromReturning(returnedForMs, this.#phase);
		return isReturned && this.mayUse(instance);
	}

	/** Returns whether an instance may get an operation now, as far as coldness is concerned. */
	mayUse(instance: Instance): boolean {
		const perS = this.#getColdLimit(instance);
		return perS === undefined || this.#getSchedule(instance).canUse(this.#createTurn(), perS);
	}

	/** Records that an operation is sent to an instance. */
	recordUse(instance: Instance): void {
		const perS = this.#getColdLimit(instance);
		if (perS !== undefined) {
			this.#getSchedule(instance).recordUse(this.#createTurn(), perS);
		}
	}

	/** Returns the refusal of operations on a group all of whose instances are in evacuated zones, undefined for any other group. */
	createRefusal(group: string): Refusal | undefined {
		const {evacuations, instances, random} = this.dependencies;
		if (evacuations.count === 0) {
			return undefined;
		}

		const members = instances.getGroupInstances(group);
		return members.length > 0 && members.every(({zone}) => evacuations.isEvacuated(zone))
			? refusals.groupEvacuated(group, evacuatedRetryMs * (0.5 + random()))
			: undefined;
	}

	/** Returns whether a group has a ready instance outside evacuated zones. */
	hasReadyInstance(group: string): boolean {
		return this.dependencies.instances.getGroupInstances(group).some(({state}) => state === 'ready');
	}

	/** Returns whether a group has a ready instance whose zone did not return from an evacuation lately. */
	#hasInstanceElsewhere({group, zone}: Instance): boolean {
		const {instances, evacuations} = this.dependencies;
		return instances.getGroupInstances(group).some(other => {
			const returnedForMs = evacuations.getReturnedForMs(other.zone);
			return other.zone !== zone && other.state === 'ready' && (returnedForMs === undefined || isReturnComplete(returnedForMs));
		});
	}

	/** Returns the limit of operations per second on an instance over all VMs, undefined if it is not cold or the group sets none. */
	#getColdLimit({id, group, zone}: Instance): number | undefined {
		const {configuration, evacuations, instances, clock} = this.dependencies;
		const perS = configuration.getGroup(group)?.coldPerS;
		if (perS === undefined) {
			return undefined;
		}

		const returnedForMs = evacuations.getReturnedForMs(zone);
		return instances.isCold(id, clock.now()) || (returnedForMs !== undefined && isColdnessUnknown(returnedForMs)) ? perS : undefined;
	}

	#getSchedule({id}: Instance): ColdSchedule {
		let schedule = this.#schedules.get(id);
		if (schedule === undefined) {
			this.#removeSchedules();
			schedule = new ColdSchedule();
			this.#schedules.set(id, schedule);
		}

		return schedule;
	}

	/** Removes the schedules of instances that are gone. */
	#removeSchedules(): void {
		for (const id of this.#schedules.keys()) {
			if (this.dependencies.instances.getInstance(id) === undefined) {
				this.#schedules.delete(id);
			}
		}
	}

	#createTurn(): ColdTurn {
		return {rank: this.#rank ?? hashName(this.dependencies.vm) * this.#vms, vms: this.#vms, sharedNow: this.dependencies.clock.now() + this.#clockOffset};
	}

	#getBoundMs(): number {
		return this.dependencies.getSettings().evacuateMs ?? defaultBoundMs;
	}
}

/** Returns a number from 0 (inclusive) to 1 (exclusive) that follows from a name. */
function hashName(name: string): number {
	let hash = 0;
	for (const character of name) {
		hash = ((hash * 31) + character.codePointAt(0)!) % 1_000_003;
	}

	return hash / 1_000_003;
}
