/** Keeps retries to a share of the load, and spaces them out. */
export class RetryBudget {
	#tokens: number;

	/**
	 * @param retriesPerRequest - Retries allowed for each request.
	 * @param maxTokens - Most retries that may come at once.
	 */
	constructor(private readonly retriesPerRequest = 0.1, private readonly maxTokens = 10) {
		this.#tokens = maxTokens;
	}

	/** Takes in a request that is not a retry. */
	observeRequest(): void {
		this.#tokens = Math.min(this.maxTokens, this.#tokens + this.retriesPerRequest);
	}

	/** Takes the right to one retry, where there is one. */
	acquireRetry(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}

const initialDelayMs = 10;
const maxDelayMs = 200;

/**
 * Returns the pause before a retry: exponential, with full jitter.
 * @param attempt - Number of attempts made.
 * @param random - A number from zero up to one.
 */
export function getRetryDelayMs(attempt: number, random: number): number {
	return Math.min(maxDelayMs, initialDelayMs * (2 ** attempt)) * (0.5 + (random / 2));
}
