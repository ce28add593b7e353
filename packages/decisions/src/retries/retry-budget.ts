/** Keeps retries to a share of the load, and spaces them out. */
export class RetryBudget {
	#tokens: number;

	/**
	 * @param share - Retries allowed for each request.
	 * @param reserve - Most retries that may come at once.
	 */
	constructor(private readonly share = 0.1, private readonly reserve = 10) {
		this.#tokens = reserve;
	}

	/** Takes in a request that is not a retry. */
	observeRequest(): void {
		this.#tokens = Math.min(this.reserve, this.#tokens + this.share);
	}

	/** Takes the right to one retry, where there is one. */
	takeRetry(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}

const firstDelayMs = 10;
const longestDelayMs = 200;

/**
 * Returns the pause before a retry: exponential, with full jitter.
 * @param attempt - Number of attempts made.
 * @param random - A number from zero up to one.
 */
export function getRetryDelayMs(attempt: number, random: number): number {
	return Math.min(longestDelayMs, firstDelayMs * (2 ** attempt)) * (0.5 + (random / 2));
}
