/** Exponential backoff with jitter: delays double up to a maximum and differ between callers. */
export class Backoff {
	#failures = 0;

	/**
	 * @param initialDelayMs - Mean of the first delay, in milliseconds.
	 * @param maxDelayMs - Maximum mean of a delay, in milliseconds.
	 * @param random - Returns a number from zero up to but not including one.
	 */
	constructor(private readonly initialDelayMs: number, private readonly maxDelayMs: number, private readonly random: () => number) {}

	/** Counts a failure and returns the delay before the next attempt, in milliseconds. */
	getNextDelayMs(): number {
		const delayMs = Math.min(this.maxDelayMs, this.initialDelayMs * (2 ** this.#failures));
		this.#failures = Math.min(this.#failures + 1, 16);
		return delayMs * (0.5 + this.random());
	}

	/** Starts over after a success. */
	reset(): void {
		this.#failures = 0;
	}
}
