import {type BackgroundTasks} from '../tasks/index.js';
import {type Clock} from '../ports/index.js';

/** Minimum number of failures in a row after which the coordinator gives up its role. */
const minFailureCount = 5;

/** Time for which a duty has to fail before the coordinator gives up its role for the first time, in milliseconds. */
const initialToleranceMs = 3000;

/** Maximum of that time, in milliseconds. It doubles with each resignation, so that the role passes on rarely where a duty fails on every VM. */
const maxToleranceMs = 60_000;

/** Maximum time between failures that count as following each other, in milliseconds: several times the longest interval of a duty. */
const maxFailureGapMs = 20_000;

/** Failures of a duty without a success in between. */
type Failures = {readonly count: number; readonly startedAt: number; readonly lastAt: number};

/** Numbers of failures and successes of a duty so far, as other parts count them. */
export type DutyCounts = {readonly failures: number; readonly successes: number};

/** A duty that fails each time. */
export type FailingDuty = {readonly duty: string; readonly failures: number; readonly failingMs: number};

/** Tracks which duties of the coordinator fail each time, so that it gives its role up although its lease is renewed. */
export class DutyMonitor {
	readonly #failures = new Map<string, Failures>();
	readonly #counts = new Map<string, DutyCounts>();
	#toleranceMs = initialToleranceMs;
	/** Duty for which this VM resigned last. */
	#resignedFor: string | undefined;

	constructor(private readonly tasks: BackgroundTasks, private readonly clock: Clock) {}

	/** Does a part of a duty; an error in it is counted and logged, and reaches no other duty. */
	tryCall(duty: string, callback: () => void): void {
		if (this.tasks.tryCall(duty, callback)) {
			this.recordSuccess(duty);
		} else {
			this.recordFailure(duty);
		}
	}

	/** Does a part of a duty whose errors the caller handles. */
	run(duty: string, operation: () => void): void {
		try {
			operation();
		} catch (error) {
			this.recordFailure(duty);
			throw error;
		}

		this.recordSuccess(duty);
	}

	/** Records that a duty was done. */
	recordSuccess(duty: string): void {
		this.#failures.delete(duty);
		if (duty === this.#resignedFor) {
			this.#resignedFor = undefined;
			this.#toleranceMs = initialToleranceMs;
		}
	}

	/** Records that a duty failed. */
	recordFailure(duty: string): void {
		this.#removeOutdated();
		const now = this.clock.now();
		const {count, startedAt} = this.#failures.get(duty) ?? {count: 0, startedAt: now};
		this.#failures.set(duty, {count: count + 1, startedAt, lastAt: now});
	}

	/** Records what happened to a duty since the last call. */
	updateCounts(duty: string, counts: DutyCounts): void {
		const before = this.#counts.get(duty);
		if (before?.failures === counts.failures && before.successes === counts.successes) {
			return;
		}

		this.#counts.set(duty, counts);
		if (before !== undefined && counts.successes !== before.successes) {
			this.recordSuccess(duty);
		}

		if (before !== undefined && counts.failures !== before.failures) {
			this.recordFailure(duty);
		}
	}

	/** Returns a duty that has failed each time for longer than is tolerated, undefined if there is none. */
	findFailingDuty(): FailingDuty | undefined {
		this.#removeOutdated();
		for (const [duty, {count, startedAt, lastAt}] of this.#failures) {
			if (count >= minFailureCount && lastAt - startedAt >= this.#toleranceMs) {
				return {duty, failures: count, failingMs: lastAt - startedAt};
			}
		}

		return undefined;
	}

	/** Records that this VM gives up the role because of a duty. */
	recordResignation(duty: string): void {
		this.#failures.clear();
		this.#resignedFor = duty;
		this.#toleranceMs = Math.min(maxToleranceMs, this.#toleranceMs * 2);
	}

	/** Forgets the failures of an earlier time as the coordinator. */
	reset(): void {
		this.#failures.clear();
	}

	/** Removes the failures of duties that have not come up since, such as those of a group that is gone. */
	#removeOutdated(): void {
		const now = this.clock.now();
		for (const [duty, {lastAt}] of this.#failures) {
			if (now - lastAt > maxFailureGapMs) {
				this.#failures.delete(duty);
			}
		}
	}
}
