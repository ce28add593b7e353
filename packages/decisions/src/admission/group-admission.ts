import {type Priority} from '../queueing/index.js';
import {type GroupLoad} from './group-load.js';
import {
	type QueueLoad, type QueueTarget, sumClasses, sumsFromAbove,
} from './queue-load.js';

/** Which requests of a priority class are refused: none, those of accounts far over their fair share of the queue, or those of all accounts that have their fair share. */
export type PressureLevel = 'none' | 'excess' | 'share';

/** Priority classes that may be refused in favor of higher ones. */
export type YieldingClass = 'normal' | 'low';

/** An operation that found no connection on its arrival. */
export type Arrival = {
	readonly group: string;
	readonly target: QueueTarget;
	readonly priority: Priority;
	readonly account: string;
	/** Time until the operation is refused if it still waits, in milliseconds. */
	readonly timeLeftMs: number;
	/** Waiting requests of the account in this queue on this VM, without this one. */
	readonly ownCount: number;
	/** Waiting requests of the same and higher classes in this queue on this VM, without this one; undefined if the operation is forwarded and waits on another VM. */
	readonly aheadOnVm: number | undefined;
};

/** Reason of a refusal: the operation cannot be placed in time, or it gives way to higher classes. */
export type AdmissionRefusalReason = 'hopeless' | 'pressure';

/** Outcome for an arriving operation. */
export type GroupAdmissionDecision =
	| {readonly kind: 'admit'}
	| {
		readonly kind: 'refuse';
		readonly reason: AdmissionRefusalReason;
		/** Estimated wait of the operation, in milliseconds. */
		readonly waitMs: number;
		/** Time before which a retry has little chance, in milliseconds: until the queue is short enough, or the level may have fallen. */
		readonly earliestMs: number;
		/** Rate at which the queue is served over all VMs, per second. */
		readonly placedPerS: number;
		/** Waiting requests of the queue on all VMs. */
		readonly waiting: number;
	};

/** Returns the lowest target latency of the routes of a class that use a queue, in milliseconds; undefined if there are none. */
export type TargetLookup = (group: string, target: QueueTarget, priority: Priority) => number | undefined;

/** A change of a level, for the log. */
export type LevelChange = {
	readonly group: string;
	readonly target: QueueTarget;
	readonly priority: YieldingClass;
	readonly before: PressureLevel;
	readonly level: PressureLevel;
};

type LevelState = {
	readonly group: string;
	/** Target and group. */
	readonly queue: string;
	readonly index: number;
	/** Monotonic time since which the pressure has been low enough for the next lower level, in milliseconds; undefined if it is not. */
	readonly lowSince: number | undefined;
};

/** Levels, the pressure from which each holds, and the multiple of its fair share at which an account is refused. Pressure is the wait divided by the target latency of the classes above. */
const levels: ReadonlyArray<{readonly level: PressureLevel; readonly minPressure: number; readonly shareFactor: number}> = [
	{level: 'none', minPressure: 0, shareFactor: Number.POSITIVE_INFINITY},
	{level: 'excess', minPressure: 1, shareFactor: 2},
	{level: 'share', minPressure: 2, shareFactor: 1},
];

/** Fraction of the pressure of a level below which the level may fall. */
const fallFraction = 0.7;

/** Time for which the pressure has to stay below that fraction before a level falls by one, in milliseconds: more than two heartbeats, so that one report does not lower it. */
const fallDelayMs = 1000;

/** Minimum rate from which waits are estimated, per second; a queue that is served more slowly has stopped, which says nothing about when it resumes. */
const minPlacedPerS = 4;

/** Standard errors by which the rate may be underestimated. The averages of the rate cover one second, so that its standard error is its square root. */
const rateErrors = 2;

/** Factor by which an estimated wait has to exceed the time left. Slots that are free go to one of the VMs that wait, not to the request that has waited longest, so some requests are placed sooner. */
const certaintyFactor = 1.25;

/** Sum of the waiting and the placed requests of a class from which lower classes give way to it; without it a class that sends nothing would cause refusals. */
const minProtectedCount = 0.5;

const classesAbove: Readonly<Record<YieldingClass, readonly Priority[]>> = {low: ['high', 'normal'], normal: ['high']};

const yieldingClasses: readonly YieldingClass[] = ['low', 'normal'];
const targets: readonly QueueTarget[] = ['primary', 'any'];

/**
 * Queues of the group whose higher classes a class gives way to. The lowest class also gives way to requests that wait for the primary, because its reads take up
 * slots of the primary when the replicas are busy. Requests of the normal class give way in their own queue only: refusing them for the sake of the other
 * queue lost more of them than it served requests of the high class in the load test.
 */
const pressureTargets: Readonly<Record<YieldingClass, (ownTarget: QueueTarget) => readonly QueueTarget[]>> = {
	low: () => targets,
	normal: ownTarget => [ownTarget],
};

/**
 * Decides on arrival whether an operation may wait, by the load of its group on all VMs. It refuses what surely cannot be placed in time and, while higher
 * classes wait longer than their target latency, lower classes of accounts that have their fair share of the queue. Without a recent load it admits everything.
 */
export class GroupAdmission {
	readonly #levels = new Map<string, LevelState>();

	constructor(private readonly loads: GroupLoad, private readonly getTargetMs: TargetLookup) {}

	/** Decides on an operation. */
	admitOperation(arrival: Arrival, now: number): GroupAdmissionDecision {
		const load = this.loads.getLoad(arrival.group, arrival.target, now);
		const rate = load === undefined ? undefined : getRate(load, arrival.priority);
		if (load === undefined || rate === undefined) {
			return {kind: 'admit'};
		}

		const heldCount = Math.max(arrival.ownCount, load.largest.get(arrival.account) ?? 0);
		// Fair queueing serves each waiting account once before an account has another turn, and VMs that wait for the same slots get them in equal parts,
		// so neither the queue of one account nor that of one VM holds up an operation for long.
		const aheadCount = Math.min(sumsFromAbove[arrival.priority](load.waiting), (heldCount + 1) * Math.max(1, load.accounts), ((arrival.aheadOnVm ?? Number.POSITIVE_INFINITY) + 1) * Math.max(1, load.vms));
		const waitMs = (aheadCount * 1000) / rate;
		const refusal = {
			kind: 'refuse', waitMs, placedPerS: sumClasses(load.placedPerS), waiting: sumClasses(load.waiting),
		} as const;
		if (waitMs > arrival.timeLeftMs * certaintyFactor) {
			return {...refusal, reason: 'hopeless', earliestMs: Math.max(0, waitMs - (arrival.timeLeftMs / 2))};
		}

		const isYielding = arrival.priority !== 'high' && this.#isYielding(arrival.priority, load, heldCount);
		return isYielding ? {...refusal, reason: 'pressure', earliestMs: Math.min(arrival.timeLeftMs / 2, Math.max(waitMs, fallDelayMs))} : {kind: 'admit'};
	}

	/** Returns the level of a queue for a class. */
	getLevel(group: string, target: QueueTarget, priority: YieldingClass): PressureLevel {
		return levels[this.#levels.get(getKey(group, target, priority))?.index ?? 0]!.level;
	}

	/** Returns the highest sum of the levels of a queue: 0 without pressure, at most 4. */
	getHighestLevel(): number {
		const sums = new Map<string, number>();
		for (const {queue, index} of this.#levels.values()) {
			sums.set(queue, (sums.get(queue) ?? 0) + index);
		}

		return Math.max(0, ...sums.values());
	}

	/** Updates the levels by the present loads and returns those that changed. A level rises at once; it falls by one step after a time of low pressure, and to none when there is no recent load. */
	updateLevels(now: number): LevelChange[] {
		const changes: LevelChange[] = [];
		const groups = new Set([...this.loads.getGroups(), ...[...this.#levels.values()].map(({group}) => group)]);
		for (const group of groups) {
			for (const target of targets) {
				for (const priority of yieldingClasses) {
					const change = this.#updateLevel(group, target, priority, now);
					changes.push(...change === undefined ? [] : [change]);
				}
			}
		}

		return changes;
	}

	#isYielding(priority: YieldingClass, load: QueueLoad, heldCount: number): boolean {
		const {shareFactor} = levels[this.#levels.get(getKey(load.group, load.target, priority))?.index ?? 0]!;
		const fairCount = Math.max(1, sumClasses(load.waiting) / Math.max(1, load.accounts));
		return heldCount >= shareFactor * fairCount;
	}

	#updateLevel(group: string, target: QueueTarget, priority: YieldingClass, now: number): LevelChange | undefined {
		const key = getKey(group, target, priority);
		const state = this.#levels.get(key);
		const before = state?.index ?? 0;
		const pressure = this.#computePressure(group, target, priority, now);
		const index = pressure === undefined ? 0 : nextLevelIndex(state, pressure, now);
		if (index === 0) {
			this.#levels.delete(key);
		} else {
			const isLow = pressure! < levels[index]!.minPressure * fallFraction;
			const knownSince = index === before ? state!.lowSince : undefined;
			const lowSince = isLow ? knownSince ?? now : undefined;
			this.#levels.set(key, {
				group, queue: `${target} ${group}`, index, lowSince,
			});
		}

		return index === before
			? undefined
			: {
				group, target, priority, before: levels[before]!.level, level: levels[index]!.level,
			};
	}

	/** Computes the quotient of the wait that a class and those above it cause and the target latency of those above it; undefined without a recent load. */
	#computePressure(group: string, ownTarget: QueueTarget, priority: YieldingClass, now: number): number | undefined {
		let pressure: number | undefined;
		for (const target of pressureTargets[priority](ownTarget)) {
			const load = this.loads.getLoad(group, target, now);
			const rate = load === undefined ? undefined : getRate(load, priority);
			if (load !== undefined) {
				const waitMs = rate === undefined ? 0 : (sumsFromAbove[priority](load.waiting) * 1000) / rate;
				const protectedClasses = classesAbove[priority].filter(above => load.waiting[above] + load.placedPerS[above] >= minProtectedCount);
				const targetMs = Math.min(...protectedClasses.map(above => this.getTargetMs(group, target, above) ?? Number.POSITIVE_INFINITY));
				pressure = Math.max(pressure ?? 0, waitMs / targetMs);
			}
		}

		return pressure;
	}
}

function getKey(group: string, target: QueueTarget, priority: YieldingClass): string {
	return `${priority} ${target} ${group}`;
}

/** Returns the highest rate at which requests of a class and those above it are likely to be placed, per second; undefined if the queue is not being served. */
function getRate({placedPerS}: QueueLoad, priority: Priority): number | undefined {
	const rate = sumsFromAbove[priority](placedPerS);
	return rate < minPlacedPerS ? undefined : rate + (rateErrors * Math.sqrt(rate));
}

function nextLevelIndex(state: LevelState | undefined, pressure: number, now: number): number {
	const risen = levels.findLastIndex(({minPressure}) => pressure >= minPressure);
	if (state === undefined || risen >= state.index) {
		return Math.max(0, risen);
	}

	return state.lowSince !== undefined && now - state.lowSince >= fallDelayMs ? state.index - 1 : state.index;
}
