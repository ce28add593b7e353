/** Time that is added to the age at which a replica was still behind, in milliseconds: small, because a read that waits for too long could as well have been sent to the other region. */
const laggingMarginMs = 5;

/** Weight of a position that the replica had sooner than estimated. */
const smoothingFactor = 0.1;

/** Half-life of the estimate, in milliseconds: after a slow phase the replica is tried again. */
const halfLifeMs = 30_000;

/** Maximum estimate, in milliseconds: above it no read waits anyway, and a lower maximum is forgotten sooner. */
const maxLagMs = 300;

/** Estimates the replication lag of one replica from reads that required a position of known age. */
export class ReplicaLagEstimator {
	#lagMs: number | undefined;
	#updatedAt = Number.NEGATIVE_INFINITY;

	/**
	 * Records that a read found the replica behind.
	 * @param ageMs - Time from the commit of the required position until the read was sent, in milliseconds.
	 */
	recordLagging(ageMs: number, now: number): void {
		this.#lagMs = Math.min(maxLagMs, Math.max(this.getLagMs(now) ?? 0, Math.max(0, ageMs) + laggingMarginMs));
		this.#updatedAt = now;
	}

	/** Records that the replica had a required position of an age; an age above the estimate shows nothing. */
	recordCaughtUp(ageMs: number, now: number): void {
		const lagMs = this.getLagMs(now);
		if (lagMs !== undefined && ageMs < lagMs) {
			this.#lagMs = lagMs + (smoothingFactor * (Math.max(0, ageMs) - lagMs));
			this.#updatedAt = now;
		}
	}

	/** Returns the estimated lag, in milliseconds; undefined while the replica was never found behind. */
	getLagMs(now: number): number | undefined {
		return this.#lagMs === undefined ? undefined : this.#lagMs * (0.5 ** (Math.max(0, now - this.#updatedAt) / halfLifeMs));
	}
}
