/** Time over which failures are counted, in milliseconds. */
const windowMs = 10_000;

/** Maximum number of failures in that time. */
const maxFailures = 10;

/**
 * Decides whether a process goes on after an unexpected error. One bad message or one failed task must not end the work of all
 * callers; an error that keeps coming back shows that the state of the process is broken, and a restart is the way out.
 */
export class FailureBudget {
	#failedAt: number[] = [];

	/**
	 * Records an unexpected error.
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether the process may go on.
	 */
	recordFailure(now: number): boolean {
		this.#failedAt = [...this.#failedAt.filter(at => now - at < windowMs), now];
		return this.#failedAt.length <= maxFailures;
	}
}
