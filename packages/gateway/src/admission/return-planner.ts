import {type Priority, ReturnSchedule} from '@chicorysaddle/decisions';

/** An operation that is refused because its queue is overloaded. */
export type OverloadedOperation = {
	readonly group: string;
	readonly target: string;
	readonly priority: Priority;
	/** Time before which a retry has little chance, in milliseconds. */
	readonly earliestMs: number;
	/** Time for which the operation may wait, in milliseconds; a retry after it is useless. */
	readonly patienceMs: number;
	/** Rate at which the queue serves callers of this VM, per second. */
	readonly placedPerS: number;
};

/** An operation that is refused because its account is over its limit. */
export type LimitedOperation = {
	readonly account: string;
	readonly priority: Priority;
	/** Time until the account may run another operation, in milliseconds. */
	readonly waitMs: number;
	/** Time after which a retry is useless, in milliseconds. */
	readonly patienceMs: number;
	/** Part of the account's rate for callers of this VM, per second. */
	readonly ratePerS: number;
};

/** Plans when the callers that this VM refuses return. */
export class ReturnPlanner {
	readonly #schedule: ReturnSchedule;

	/** @param random - Returns a number in [0, 1). */
	constructor(random: () => number) {
		this.#schedule = new ReturnSchedule(random);
	}

	/** Returns the retry delay of an operation whose queue is overloaded, in milliseconds. */
	computeOverloadDelay({group, target, priority, earliestMs, patienceMs, placedPerS}: OverloadedOperation, now: number): number {
		return this.#schedule.reserveReturn({
			key: `${target} ${group}`, priority, perS: placedPerS, earliestMs, latestMs: patienceMs,
		}, now);
	}

	/** Returns the retry delay of an operation whose account is over its limit, in milliseconds; it is never shorter than the time until the account may run another one. */
	computeLimitDelay({account, priority, waitMs, patienceMs, ratePerS}: LimitedOperation, now: number): number {
		const patience = Math.max(waitMs, patienceMs);
		return Math.max(waitMs, this.#schedule.reserveReturn({
			key: `account ${account}`, priority, perS: ratePerS, earliestMs: waitMs, latestMs: patience,
		}, now));
	}
}
