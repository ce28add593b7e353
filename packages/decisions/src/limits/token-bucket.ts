/** Rate and burst of a bucket. */
export type RateLimit = {
	readonly ratePerS: number;
	readonly burst: number;
};

const msPerSecond = 1000;

/** Counts operations against a rate that may change. */
export class TokenBucket {
	#tokens: number;
	#updatedAt: number;

	/**
	 * @param limit - Rate and burst to begin with.
	 * @param tokens - Tokens to begin with: a process that just started does not know what its predecessor used.
	 */
	constructor(private limit: RateLimit, tokens: number, now: number) {
		this.#tokens = tokens;
		this.#updatedAt = now;
	}

	/** Changes the limit; tokens beyond the new burst are lost. */
	setLimit(limit: RateLimit, now: number): void {
		this.#refill(now);
		this.limit = limit;
		this.#tokens = Math.min(this.#tokens, limit.burst);
	}

	/**
	 * Takes one token.
	 * @param overdraft - Tokens that may be owed.
	 * @returns Whether there was one.
	 */
	takeToken(now: number, overdraft: number): boolean {
		this.#refill(now);
		if (this.#tokens - 1 < -overdraft) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}

	/** Puts tokens in, up to the burst. */
	addTokens(count: number): void {
		this.#tokens = Math.min(this.limit.burst, this.#tokens + count);
	}

	/** Takes every token that is there. */
	clear(now: number): void {
		this.#refill(now);
		this.#tokens = Math.min(this.#tokens, 0);
	}

	/** Returns the part of the burst that is there. */
	getFillRatio(now: number): number {
		this.#refill(now);
		return this.limit.burst <= 0 ? 0 : this.#tokens / this.limit.burst;
	}

	/** Returns the time until a token is there, milliseconds. */
	getWaitMs(now: number): number {
		this.#refill(now);
		return this.#tokens >= 1 || this.limit.ratePerS <= 0 ? 0 : ((1 - this.#tokens) / this.limit.ratePerS) * msPerSecond;
	}

	#refill(now: number): void {
		const elapsed = Math.max(0, now - this.#updatedAt);
		this.#tokens = Math.min(this.limit.burst, this.#tokens + ((elapsed / msPerSecond) * this.limit.ratePerS));
		this.#updatedAt = now;
	}
}
