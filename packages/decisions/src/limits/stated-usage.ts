import {type SlidingWindowCounter} from './sliding-window-counter.js';

/** Usage of an account over all VMs, as a former issuer stated it in a grant. */
export type UsageStatement = {
	/** Operations in the window that ended with the grant. */
	readonly used: number;
	/** Monotonic time at which the grant was requested, in milliseconds. */
	readonly at: number;
};

/**
 * The operations of an account that a former issuer knew but no VM reports, because the processes that admitted them have ended.
 * Their times are not known, so they count until a window after the statement.
 */
export class StatedUsage {
	#statement: UsageStatement | undefined;
	/** Operations before the statement that VMs reported. */
	#reported = 0;

	/** @param windowMs - Length of the window over which limits hold, in milliseconds. */
	constructor(private readonly windowMs: number) {}

	/** Records a statement that a VM remembers; the newest one counts. */
	recordStatement(statement: UsageStatement): void {
		if (this.#statement === undefined || statement.at > this.#statement.at) {
			this.#statement = statement;
			this.#reported = 0;
		}
	}

	/** Returns the operations in the window that ends now that are stated and in no report. */
	countUnreported(counter: SlidingWindowCounter, now: number): number {
		if (this.#statement === undefined || now - this.#statement.at >= this.windowMs) {
			return 0;
		}

		// Reports arrive one after another, while the operations reported first begin to leave the window.
		this.#reported = Math.max(this.#reported, counter.countBefore(this.#statement.at, now));
		return Math.max(0, this.#statement.used - this.#reported);
	}
}
