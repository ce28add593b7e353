/** Pauses between attempts at something that fails: they double up to a bound and differ between callers. */
export class Backoff {
	#failures = 0;

	/**
	 * @param firstMs - First pause on average, milliseconds.
	 * @param longestMs - Longest pause on average, milliseconds.
	 * @param random - Returns numbers from zero up to one.
	 */
	constructor(private readonly firstMs: number, private readonly longestMs: number, private readonly random: () => number) {}

	/** Returns the pause after one more failure, milliseconds. */
	takePauseMs(): number {
		const pauseMs = Math.min(this.longestMs, this.firstMs * (2 ** this.#failures));
		this.#failures = Math.min(this.#failures + 1, 16);
		return pauseMs * (0.5 + this.random());
	}

	/** Takes in a success. */
	reset(): void {
		this.#failures = 0;
	}
}
