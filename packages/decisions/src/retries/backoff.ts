/** Pauses between attempts at something that fails: they double up to a bound and differ between callers. */
export class Backoff {
	#failures = 0;

	/**
	 * @param initialDelayMs - First pause on average, milliseconds.
	 * @param maxDelayMs - Longest pause on average, milliseconds.
	 * @param random - Returns numbers from zero up to one.
	 */
	constructor(private readonly initialDelayMs: number, private readonly maxDelayMs: number, private readonly random: () => number) {}

	/** Returns the pause after one more failure, milliseconds. */
	getNextDelayMs(): number {
		const delayMs = Math.min(this.maxDelayMs, this.initialDelayMs * (2 ** this.#failures));
		this.#failures = Math.min(this.#failures + 1, 16);
		return delayMs * (0.5 + this.random());
	}

	/** Takes in a success. */
	reset(): void {
		this.#failures = 0;
	}
}
