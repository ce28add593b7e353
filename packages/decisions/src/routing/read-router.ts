import {isAtLeast, type LogPosition} from '@chicorysaddle/model';
import {isReturnComplete, mayReadFromReturning} from '../evacuation/index.js';
import {type InstanceCandidate, InstanceChooser, type RoundTripTracker} from '../placement/index.js';
import {type GroupState} from './group-state.js';
import {type InstanceView} from './instance-view.js';

/** Requirements of a read on the instance that serves it. */
export type ReadRequirements = {
	readonly position: LogPosition;
	readonly primaryOnly: boolean;
	/** Maximum staleness that the read accepts, in milliseconds; zero means any. */
	readonly maxStalenessMs: number;
	/** Instances that have already failed to serve it. */
	readonly tried: ReadonlySet<string>;
};

/** Where to send a read next. */
export type ReadChoice =
	/** The instance gets `waitMs` milliseconds to reach the position. */
	| {readonly kind: 'send'; readonly instance: InstanceView; readonly waitMs: number}
	/** At least one instance could serve it, but none of them has capacity. */
	| {readonly kind: 'wait'}
	/** No instance can serve it. */
	| {readonly kind: 'none'};

/** Policies for placing reads; the default is `product`, the others are for comparison. */
export type ReadPolicy =
	/** The least loaded replica that is fresh enough and has reached the position or will soon, otherwise the primary. */
	| 'product'
	| 'primary-only'
	/** Each replica in turn, whatever its position, otherwise the primary. */
	| 'round-robin';

/** Maximum time that a replica gets to reach a position, in milliseconds. */
export const maxReplicaWaitMs = 25;

/** Places reads on the instances of a group. */
export class ReadRouter {
	readonly #chooser: InstanceChooser;
	#roundRobinCount = 0;

	/**
	 * @param distance - Availability zone of this proxy, or its round trips where there are several regions.
	 * @param policy - How reads are placed.
	 * @param phase - Fixed number from 0 (inclusive) to 1 (exclusive), by which the moments at which the VMs use a returning instance differ.
	 */
	constructor(distance: string | RoundTripTracker, private readonly policy: ReadPolicy = 'product', private readonly phase = 0) {
		this.#chooser = new InstanceChooser(distance);
	}

	/**
	 * Chooses the instance for a read.
	 * @param group - State of the group.
	 * @param requirements - Requirements of the read.
	 * @param now - Monotonic time in milliseconds.
	 */
	chooseInstance(group: GroupState, requirements: ReadRequirements, now: number): ReadChoice {
		// An instance that has not accepted the group's term may hold writes that were never acknowledged.
		const usable = group.instances.filter(instance => !instance.isLeaving && !instance.isEvacuated && instance.isReachable && instance.term === group.term && !requirements.tried.has(instance.name));
		const settled = usable.filter(({returnedAt}) => returnedAt === undefined || isReturnComplete(now - returnedAt));
		const due = settled.length === 0 ? usable : usable.filter(({returnedAt}) => returnedAt === undefined || mayReadFromReturning(now - returnedAt, this.phase));
		return this.#policies[this.policy](group, requirements, due, now);
	}

	readonly #policies: Readonly<Record<ReadPolicy, (group: GroupState, requirements: ReadRequirements, usable: InstanceView[], now: number) => ReadChoice>> = {
		product: (group, requirements, usable, now) => this.#chooseByPosition(group, requirements, usable, now),
		'primary-only': (group, _requirements, usable) => this.#choosePrimary(group, usable),
		'round-robin': (group, requirements, usable) => this.#chooseRoundRobin(group, requirements, usable),
	};

	#chooseByPosition(group: GroupState, requirements: ReadRequirements, usable: InstanceView[], now: number): ReadChoice {
		if (requirements.primaryOnly) {
			return this.#choosePrimary(group, usable);
		}

		const replicas = usable.filter(instance => instance.name !== group.primaryName && isFreshEnough(instance, requirements, now));
		const ready = replicas.filter(instance => isAtLeast(instance.position, requirements.position));
		if (ready.length > 0) {
			return this.#chooseLeastLoaded(ready, 0, now);
		}

		const catchingUp = replicas.filter(instance => instance.reportedLagMs <= maxReplicaWaitMs);
		return catchingUp.length > 0 ? this.#chooseLeastLoaded(catchingUp, maxReplicaWaitMs, now) : this.#choosePrimary(group, usable);
	}

	#chooseRoundRobin(group: GroupState, requirements: ReadRequirements, usable: InstanceView[]): ReadChoice {
		const others = usable.filter(instance => instance.name !== group.primaryName);
		if (requirements.primaryOnly || others.length === 0) {
			return this.#choosePrimary(group, usable);
		}

		this.#roundRobinCount += 1;
		const instance = others[this.#roundRobinCount % others.length]!;
		return instance.hasCapacity ? {kind: 'send', instance, waitMs: 0} : {kind: 'wait'};
	}

	#choosePrimary(group: GroupState, usable: InstanceView[]): ReadChoice {
		const primary = usable.find(instance => instance.name === group.primaryName);
		if (primary === undefined) {
			return {kind: 'none'};
		}

		return primary.hasCapacity ? {kind: 'send', instance: primary, waitMs: 0} : {kind: 'wait'};
	}

	#chooseLeastLoaded(instances: InstanceView[], waitMs: number, now: number): ReadChoice {
		const free = instances.filter(instance => instance.hasCapacity);
		const choice = this.#chooser.chooseInstance(free.map(instance => createCandidate(instance)), now);
		return choice === undefined ? {kind: 'wait'} : {kind: 'send', instance: choice.candidate.instance, waitMs};
	}
}

function createCandidate(instance: InstanceView): InstanceCandidate & {readonly instance: InstanceView} {
	return {
		instance, zone: instance.zone, isPrimary: false, latencyMs: (instance.inUse + 1) * (instance.latencyMs + 1), hasIdleConnection: true,
	};
}

function isFreshEnough(instance: InstanceView, requirements: ReadRequirements, now: number): boolean {
	return requirements.maxStalenessMs === 0 || instance.getStalenessMs(now) <= requirements.maxStalenessMs;
}
