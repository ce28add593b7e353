/** Rate in operations per second, and maximum burst in operations. */
export type RateLimit = {
	readonly ratePerS: number;
	readonly burst: number;
};

const msPerSecond = 1000;

/** Token bucket whose limit may change. */
export class TokenBucket {
	#tokens: number;
	#updatedAt: number;

	/**
	 * @param limit - Initial limit.
	 * @param tokens - Initial number of tokens; less than the burst if the process does not know what its predecessor used.
	 * @param now - Monotonic time in milliseconds.
	 */
	constructor(private limit: RateLimit, tokens: number, now: number) {
		this.#tokens = tokens;
		this.#updatedAt = now;
	}

	/** Sets the limit and drops tokens above the new burst. */
	setLimit(limit: RateLimit, now: number): void {
		this.#refill(now);
		this.limit = limit;
		this.#tokens = Math.min(this.#tokens, limit.burst);
	}

	/**
	 * Takes one token.
	 * @param overdraft - Number of tokens by which the level may fall below zero; if negative, the number that have to be left.
	 * @returns Whether a token was taken.
	 */
	takeToken(now: number, overdraft: number): boolean {
		this.#refill(now);
		if (this.#tokens - 1 < -overdraft) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}

	/** Adds tokens, up to the burst. */
	addTokens(count: number): void {
		this.#tokens = Math.min(this.limit.burst, this.#tokens + count);
	}

	/** Removes tokens, down to zero; a negative level remains. */
	removeTokens(count: number, now: number): void {
		this.#refill(now);
		this.#tokens = Math.min(this.#tokens, Math.max(0, this.#tokens - count));
	}

	/**
	 * Removes the tokens; a negative level remains negative.
	 * @param kept - Number of tokens that are left, if there are as many.
	 */
	clear(now: number, kept = 0): void {
		this.#refill(now);
		this.#tokens = Math.min(this.#tokens, kept);
	}

	/** Returns the tokens as a fraction of the burst. */
	getFillRatio(now: number): number {
		this.#refill(now);
		return this.limit.burst <= 0 ? 0 : this.#tokens / this.limit.burst;
	}

	/**
	 * Returns the time until a token is available, in milliseconds.
	 * @param kept - Number of tokens that have to be left.
	 */
	getWaitMs(now: number, kept = 0): number {
		this.#refill(now);
		const missing = 1 + kept - this.#tokens;
		return missing <= 0 || this.limit.ratePerS <= 0 ? 0 : (missing / this.limit.ratePerS) * msPerSecond;
	}

	#refill(now: number): void {
		const elapsed = Math.max(0, now - this.#updatedAt);
		this.#tokens = Math.min(this.limit.burst, this.#tokens + ((elapsed / msPerSecond) * this.limit.ratePerS));
		this.#updatedAt = now;
	}
}
