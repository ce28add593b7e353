import {type LogPosition} from '@chicorysaddle/model';
import {type ConfigurationView} from '../configuration/index.js';
import {type Clock} from '../ports/index.js';
import {instanceRetentionMs} from './group-sizes.js';
import {type Instance} from './instance.js';
import {type InstanceRegistry} from './instance-registry.js';

/** What became of an instance that is not listed any more: it may run on and receive commits, its process has ended, or it started again without what it had. */
export type Departure = 'unlisted' | 'ended' | 'restarted';

/** An instance that may hold acknowledged commits of its group. */
export type LogHolder = {
	readonly id: string;
	readonly address: string;
	/** Absent while the instance is listed. */
	readonly departure?: Departure;
	/** Monotonic time at which its departure became known, in milliseconds; absent while the instance is listed. */
	readonly departedAt?: number;
	/** Monotonic time by which it received no commit any more, in milliseconds; undefined if it may go on receiving. */
	readonly endedAt?: number | undefined;
	/** Position that covers every commit which it can have received; undefined if none is known. */
	readonly coveringPosition?: LogPosition | undefined;
	/** Whether it may return with its log. */
	readonly mayReturn: boolean;
};

/** An instance that is not listed any more. */
export type DepartedInstance = Omit<LogHolder, 'mayReturn'> & {
	readonly group: string;
	readonly departure: Departure;
	readonly departedAt: number;
	/** Undefined if another VM knew it. */
	readonly bornMs: number | undefined;
	/** Whether it was about to end when it left the list. */
	readonly isDraining: boolean;
};

/** What the coordinators record of an instance that may hold commits. */
export type KnownHolder = Pick<LogHolder, 'id' | 'address' | 'coveringPosition'>;

/** Time for which departed instances are kept, in milliseconds: longer than a change of primary waits for them. */
const departureRetentionMs = 2 * instanceRetentionMs;

/** Knows the instances whose logs may hold acknowledged commits: the listed ones and, where replicas acknowledge commits, those that departed a short time ago. */
export class LogHolderRegistry {
	/** Instances that are not listed any more, by id. */
	readonly #departed = new Map<string, DepartedInstance>();
	/** Earlier processes of instances that have started again, by id. */
	readonly #restarted = new Map<string, DepartedInstance>();
	/** Instances whose logs others have, by id. */
	readonly #succeeded = new Map<string, DepartedInstance>();
	/** Ids of instances that have stated their role and position, or that another VM knew: an entry alone may be that of another writer, and names no instance. */
	readonly #confirmed = new Set<string>();
	/** Groups of which the instances that had joined before this VM are known. */
	readonly #knownGroups = new Set<string>();

	constructor(private readonly instances: InstanceRegistry, private readonly configuration: ConfigurationView, private readonly clock: Clock) {
		instances.onChanged((before, after) => {
			this.#removeOutdated();
			if (this.configuration.getGroup((after ?? before)!.group)?.syncReplicas === 0) {
				return;
			}

			if (after !== undefined) {
				this.#recordListed(before, after);
			}

			// An entry may also name another group, whatever its instance goes on doing.
			if (before !== undefined && before.group !== after?.group) {
				this.#recordDeparted(before);
			}
		});
	}

	/**
	 * Returns the instances that may hold commits of a group that were acknowledged before a time.
	 * @param time - Monotonic time, in milliseconds; those that had gone for good by then are left out.
	 */
	getHolders(group: string, time = this.clock.now()): LogHolder[] {
		const now = this.clock.now();
		const listed = this.instances.getGroupInstances(group).map(({id, address}) => ({id, address, mayReturn: true}));
		const departed = [...this.#departed.values(), ...this.#restarted.values()].filter(instance => instance.group === group && instance.departedAt >= time - instanceRetentionMs);
		const holders: LogHolder[] = [...listed, ...departed.map(({
			id, address, departure, departedAt, endedAt, coveringPosition,
		}) => ({
			id, address, departure, departedAt, endedAt, coveringPosition, mayReturn: departure !== 'restarted' && now - departedAt < instanceRetentionMs,
		}))];
		return holders.filter(({id}) => !this.#knownGroups.has(group) || this.#confirmed.has(id));
	}

	/** Returns the listed instances of a group that have not stated their role and position yet; none before the instances that joined earlier are known. */
	getUnconfirmed(group: string): Instance[] {
		return this.#knownGroups.has(group) ? this.instances.getGroupInstances(group).filter(({id}) => !this.#confirmed.has(id)) : [];
	}

	/** Records that an instance has stated its role and position. */
	confirmInstance(id: string): void {
		this.#confirmed.add(id);
	}

	/** Returns whether an instance departed and another one has its log. */
	isSucceeded(id: string): boolean {
		return this.#succeeded.has(id);
	}

	/** Returns the instances of a group that are not listed any more, may hold commits, and of which no position covers all that they can have received. */
	getUncovered(group: string): DepartedInstance[] {
		const oldest = this.clock.now() - instanceRetentionMs;
		return [...this.#departed.values()].filter(instance => instance.group === group && instance.coveringPosition === undefined && instance.departedAt >= oldest && (!this.#knownGroups.has(group) || this.#confirmed.has(instance.id)));
	}

	/** Records that the process of an instance that is not listed has ended, so that it receives nothing any more. */
	recordEnded(id: string): void {
		const departed = this.#departed.get(id);
		if (departed?.departure === 'unlisted') {
			this.#departed.set(id, {...departed, departure: 'ended', endedAt: this.clock.now()});
		}
	}

	/** Records a position that covers every commit which an instance that has ended can have received. */
	recordCovered(id: string, coveringPosition: LogPosition): void {
		const departed = this.#departed.get(id);
		if (departed?.departure === 'ended') {
			this.#departed.set(id, {...departed, coveringPosition});
		}
	}

	/** Adds the instances of a group that another VM knew; those that are not listed count as departed from now on. */
	addKnown(group: string, known: readonly KnownHolder[]): void {
		this.#knownGroups.add(group);
		for (const {id, address, coveringPosition} of known) {
			this.#confirmed.add(id);
			const successor = this.instances.getGroupInstances(group).find(instance => instance.address === address);
			const departed = this.#departed.get(id);
			if (successor !== undefined) {
				this.#confirmed.add(successor.id);
			} else if (departed === undefined && this.instances.getInstance(id) === undefined && !this.#succeeded.has(id)) {
				this.#departed.set(id, {
					group, id, address, bornMs: undefined, isDraining: false, departedAt: this.clock.now(), coveringPosition, departure: coveringPosition === undefined ? 'unlisted' : 'ended',
				});
			} else if (departed !== undefined && departed.coveringPosition === undefined && coveringPosition !== undefined) {
				this.#departed.set(id, {...departed, departure: 'ended', coveringPosition});
			}
		}
	}

	#recordListed(before: Instance | undefined, {id, group, address, bornMs}: Instance): void {
		const departed = this.#departed.get(id)?.group === group ? this.#departed.get(id) : undefined;
		if (departed !== undefined) {
			this.#departed.delete(id);
		}

		this.#succeeded.delete(id);
		const formerBornMs = before?.bornMs ?? departed?.bornMs;
		if (formerBornMs !== undefined && formerBornMs !== bornMs) {
			const now = this.clock.now();
			this.#restarted.set(id, {
				group, id, address, bornMs: formerBornMs, isDraining: false, departure: 'restarted', departedAt: now, endedAt: now,
			});
		}

		for (const other of this.#departed.values()) {
			if (other.group === group && other.address === address) {
				this.#departed.delete(other.id);
				this.#recordSucceeded(other, id);
			}
		}
	}

	/** Records an instance that left the list: it may have ended, or run on without reaching the store. */
	#recordDeparted({id, group, address, bornMs}: Instance): void {
		const departed: DepartedInstance = {
			group, id, address, bornMs, isDraining: this.instances.getDrainingSince(id) !== undefined, departure: 'unlisted', departedAt: this.clock.now(),
		};
		const successor = this.instances.getGroupInstances(group).find(instance => instance.address === address);
		if (successor === undefined) {
			this.#departed.set(id, departed);
		} else {
			this.#recordSucceeded(departed, successor.id);
		}
	}

	/** Records that another instance has the address of a departed one: it has the log of one that drained, and that of another one does not return. */
	#recordSucceeded(departed: DepartedInstance, successorId: string): void {
		if (this.#confirmed.has(departed.id)) {
			this.#confirmed.add(successorId);
		}

		if (!departed.isDraining && departed.bornMs !== undefined) {
			this.#restarted.set(departed.id, {...departed, departure: 'restarted', endedAt: this.clock.now()});
		} else {
			this.#succeeded.set(departed.id, departed);
		}
	}

	#removeConfirmation(id: string): void {
		const isKept = this.instances.getInstance(id) !== undefined || [this.#departed, this.#restarted, this.#succeeded].some(departures => departures.has(id));
		if (!isKept) {
			this.#confirmed.delete(id);
		}
	}

	#removeOutdated(): void {
		const oldest = this.clock.now() - departureRetentionMs;
		for (const departures of [this.#departed, this.#restarted, this.#succeeded]) {
			for (const {id, departedAt} of departures.values()) {
				if (departedAt < oldest) {
					departures.delete(id);
					this.#removeConfirmation(id);
				}
			}
		}
	}
}
