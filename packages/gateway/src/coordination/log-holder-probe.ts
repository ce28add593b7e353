import {type ConfigurationView} from '../configuration/index.js';
import {
	createUnlisted, type DepartedInstance, type InstanceRegistry, type LogHolderRegistry,
} from '../instances/index.js';
import {type Clock} from '../ports/index.js';
import {type InstanceStatusReader, type InstanceWithStatus} from '../positions/index.js';
import {type TermRegistry} from '../terms/index.js';

/** Interval at which instances that may run on are asked, in milliseconds. */
const probeIntervalMs = 1000;

/** Timeout of a handshake and of a status request, in milliseconds. */
const statusTimeoutMs = 400;

/** Dependencies of a `LogHolderProbe`. */
export type LogHolderProbeDependencies = {
	readonly configuration: ConfigurationView;
	readonly instances: InstanceRegistry;
	readonly logHolders: LogHolderRegistry;
	readonly terms: TermRegistry;
	readonly statusReader: InstanceStatusReader;
	readonly clock: Clock;
};

/**
 * Finds out whether instances that left the list run on, and which position covers the commits that those which have ended can have received.
 * An entry is removed when its instance ends and when the store does not hear the instance, which goes on receiving then.
 */
export class LogHolderProbe {
	/** Monotonic times at which instances were asked last, by id, in milliseconds. */
	readonly #probedAt = new Map<string, number>();
	#isRunning = false;

	constructor(private readonly dependencies: LogHolderProbeDependencies) {}

	/** Asks the instances that left the list, of groups whose commits are acknowledged by replicas; only the coordinator may call this. */
	async probeIfDue(): Promise<void> {
		const {configuration, logHolders} = this.dependencies;
		const uncovered = [...configuration.getGroups()].flatMap(({name, syncReplicas = 0}) => syncReplicas === 0 ? [] : logHolders.getUncovered(name));
		if (this.#isRunning || uncovered.length === 0) {
			return;
		}

		this.#isRunning = true;
		try {
			await Promise.all(uncovered.map(async departed => this.#probe(departed)));
			const groups = new Set(uncovered.map(({group}) => group));
			await Promise.all([...groups].map(async group => this.#recordCovered(group)));
		} finally {
			this.#isRunning = false;
		}
	}

	/** Reads the statuses of the instances of a group that left the list and run on. */
	async readDeparted(group: string): Promise<InstanceWithStatus[]> {
		const unlisted = this.dependencies.logHolders.getUncovered(group).filter(({departure}) => departure === 'unlisted');
		const readings = await Promise.all(unlisted.map(async departed => this.#readProcess(departed)));
		return readings.filter(reading => typeof reading !== 'string');
	}

	async #probe(departed: DepartedInstance): Promise<void> {
		const {clock} = this.dependencies;
		const isDue = clock.now() - (this.#probedAt.get(departed.id) ?? Number.NEGATIVE_INFINITY) >= probeIntervalMs;
		if (departed.departure === 'unlisted' && isDue) {
			this.#removeOutdated();
			this.#probedAt.set(departed.id, clock.now());
			await this.#readProcess(departed);
		}
	}

	async #readProcess({group, id, address}: DepartedInstance): Promise<InstanceWithStatus | 'busy' | 'ended' | 'unreachable'> {
		const {statusReader, logHolders} = this.dependencies;
		const reading = await statusReader.readProcess(createUnlisted(group, id, address), statusTimeoutMs);
		if (reading === 'ended') {
			logHolders.recordEnded(id);
		}

		return reading;
	}

	/** Records the positions that cover what ended instances of a group can have received; asks the primary if none is known. */
	async #recordCovered(group: string): Promise<void> {
		const {logHolders, terms} = this.dependencies;
		const ended = logHolders.getUncovered(group).flatMap(({id, endedAt}) => endedAt === undefined ? [] : [{id, endedAt}]);
		const newestEnd = Math.max(...ended.map(({endedAt}) => endedAt));
		if (ended.length > 0 && terms.getPositionCovering(group, newestEnd) === undefined) {
			await this.#readPrimary(group);
		}

		for (const {id, endedAt} of ended) {
			const position = terms.getPositionCovering(group, endedAt);
			if (position !== undefined) {
				logHolders.recordCovered(id, position);
			}
		}
	}

	/** Reads the position of a group's primary, if this VM may rely on its term. */
	async #readPrimary(group: string): Promise<void> {
		const {instances, terms, statusReader, clock} = this.dependencies;
		const primaryId = terms.getUsablePrimary(group);
		const primary = primaryId === undefined ? undefined : instances.getInstance(primaryId);
		if (primary === undefined) {
			return;
		}

		const sentAt = clock.now();
		const reading = await statusReader.readStatus(primary, statusTimeoutMs);
		if (typeof reading !== 'string' && reading.status.role === 'primary' && terms.isUsablePrimary(group, primary.id)) {
			terms.recordPosition(group, reading.status.position, sentAt);
		}
	}

	#removeOutdated(): void {
		for (const [id, at] of this.#probedAt) {
			if (this.dependencies.clock.now() - at >= probeIntervalMs) {
				this.#probedAt.delete(id);
			}
		}
	}
}
