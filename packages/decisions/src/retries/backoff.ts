/** Exponential backoff with jitter: delays double up to a maximum and differ between callers. */
export class Backoff {
	#failures = 0;

	/**
	 * @param initialDelayMs - First delay on average, milliseconds.
	 * @param maxDelayMs - Maximum delay on average, milliseconds.
	 * @param random - Returns a number from zero up to but not including one.
	 */
	constructor(private readonly initialDelayMs: number, private readonly maxDelayMs: number, private readonly random: () => number) {}

	/** Counts a failure and returns the delay before the next attempt, milliseconds. */
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
