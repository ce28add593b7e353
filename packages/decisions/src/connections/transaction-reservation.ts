/** Pause that is assumed before the first measurement, in milliseconds: a round trip to a caller and a little time of its own. */
const initialPauseMs = 30;

/** Weight of the newest measurement in the moving averages. */
const smoothingFactor = 0.1;

/** Number of mean deviations beyond the mean pause for which a connection is held. */
const deviationFactor = 4;

/** Maximum time for which a connection is held for a transaction without a statement, in milliseconds. */
const maxHoldMs = 400;

/**
 * Decides whether a transaction reserves a connection when it begins, before its first statement arrives, and for how long it
 * may hold one without using it. The reservation hides the connection's handshake behind the round trip to the caller; callers that
 * begin a transaction and then rest must not keep connections from others.
 */
export class TransactionReservation {
	#meanPauseMs = initialPauseMs;
	#meanDeviationMs = initialPauseMs / 2;

	/**
	 * Returns whether a transaction may reserve a connection now.
	 * @param waiting - Number of statements at hand that wait for a connection to the same instances.
	 */
	canReserve(waiting: number): boolean {
		return waiting === 0;
	}

	/** Returns the time for which a reserved connection is held without a statement, in milliseconds. */
	getHoldMs(): number {
		return Math.min(maxHoldMs, this.#meanPauseMs + (deviationFactor * this.#meanDeviationMs));
	}

	/** Records the time between the beginning of a transaction and its first statement, in milliseconds. */
	recordPause(pauseMs: number): void {
		const error = Math.min(pauseMs, maxHoldMs) - this.#meanPauseMs;
		this.#meanPauseMs += smoothingFactor * error;
		this.#meanDeviationMs += smoothingFactor * (Math.abs(error) - this.#meanDeviationMs);
	}
}
