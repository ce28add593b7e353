/** Weight of the newest gap in the average. */
const averageWeight = 0.1;

/** Longest gap that is taken as one of a queue that moves, milliseconds: a longer one is an outage, which says nothing of the pace. */
const longestGapMs = 1000;

/**
 * Estimates how long a request will wait from the pace at which a queue moves. Answers a load beyond capacity: with a queue
 * that holds whatever comes, whoever is not served learns it at the deadline; by the estimate, on arrival, and those who are served wait less.
 */
export class WaitEstimator {
	#gapMs = 0;
	#placedAt: number | undefined;

	/**
	 * Takes in that a waiting request was placed.
	 * @param left - Requests that still wait.
	 */
	observePlaced(left: number, now: number): void {
		if (this.#placedAt !== undefined && now - this.#placedAt <= longestGapMs) {
			this.#gapMs += averageWeight * (now - this.#placedAt - this.#gapMs);
		}

		// Without anyone waiting the next gap is the callers' and not the queue's.
		this.#placedAt = left > 0 ? now : undefined;
	}

	/**
	 * Estimates the wait behind others, milliseconds.
	 * @param ahead - Requests that will be placed before.
	 */
	estimateMs(ahead: number): number {
		return (ahead + 1) * this.#gapMs;
	}
}
