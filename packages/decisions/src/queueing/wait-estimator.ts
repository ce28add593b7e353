/** Weight of the newest interval in the moving average. */
const smoothingFactor = 0.1;

/** Maximum interval that enters the average, in milliseconds; a longer one is an outage, which says nothing about the service rate. */
const maxIntervalMs = 1000;

/**
 * Estimates how long a request will wait, from the mean interval at which requests leave the queue. With the estimate an overloaded
 * queue can refuse requests on arrival instead of at their deadline, so that those that are served wait less.
 */
export class WaitEstimator {
	#meanIntervalMs = 0;
	#lastPlacedAt: number | undefined;

	/**
	 * Records that a waiting request was placed.
	 * @param remaining - Number of requests that still wait.
	 */
	recordPlacement(remaining: number, now: number): void {
		if (this.#lastPlacedAt !== undefined && now - this.#lastPlacedAt <= maxIntervalMs) {
			this.#meanIntervalMs += smoothingFactor * (now - this.#lastPlacedAt - this.#meanIntervalMs);
		}

		// When no request waits, the next interval depends on arrivals and not on the service rate.
		this.#lastPlacedAt = remaining > 0 ? now : undefined;
	}

	/**
	 * Estimates the wait of a request, in milliseconds.
	 * @param ahead - Number of requests that will be placed before it.
	 */
	estimateWaitMs(ahead: number): number {
		return (ahead + 1) * this.#meanIntervalMs;
	}
}
