/** Token bucket that limits retries to a fraction of the requests. */
export class RetryBudget {
	#tokens: number;

	/**
	 * @param retriesPerRequest - Number of retries allowed per request.
	 * @param maxTokens - Maximum burst of retries.
	 */
	constructor(private readonly retriesPerRequest = 0.1, private readonly maxTokens = 10) {
		this.#tokens = maxTokens;
	}

	/** Records a request that is not a retry. */
	recordRequest(): void {
		this.#tokens = Math.min(this.maxTokens, this.#tokens + this.retriesPerRequest);
	}

	/** Takes a token for one retry; returns whether there was one. */
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
 * Returns the delay before a retry, in milliseconds: exponential, with jitter over its upper half.
 * @param attempt - Number of attempts made.
 * @param random - Random number from zero up to one.
 */
export function getRetryDelayMs(attempt: number, random: number): number {
	return Math.min(maxDelayMs, initialDelayMs * (2 ** attempt)) * (0.5 + (random / 2));
}
