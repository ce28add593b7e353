/** Weight of the newest gap in the average. */
const smoothingFactor = 0.1;

/** Longest gap that is taken as one of a queue that moves, milliseconds: a longer one is an outage, which says nothing of the pace. */
const maxIntervalMs = 1000;

/**
 * Estimates how long a request will wait from the pace at which a queue moves. Answers a load beyond capacity: with a queue
 * that holds whatever comes, whoever is not served learns it at the deadline; by the estimate, on arrival, and those who are served wait less.
 */
export class WaitEstimator {
	#meanIntervalMs = 0;
	#lastPlacedAt: number | undefined;

	/**
	 * Takes in that a waiting request was placed.
	 * @param remaining - Requests that still wait.
	 */
	observePlaced(remaining: number, now: number): void {
		if (this.#lastPlacedAt !== undefined && now - this.#lastPlacedAt <= maxIntervalMs) {
			this.#meanIntervalMs += smoothingFactor * (now - this.#lastPlacedAt - this.#meanIntervalMs);
		}

		// Without anyone waiting the next gap is the callers' and not the queue's.
		this.#lastPlacedAt = remaining > 0 ? now : undefined;
	}

	/**
	 * Estimates the wait behind others, milliseconds.
	 * @param ahead - Requests that will be placed before.
	 */
	estimateWaitMs(ahead: number): number {
		return (ahead + 1) * this.#meanIntervalMs;
	}
}
