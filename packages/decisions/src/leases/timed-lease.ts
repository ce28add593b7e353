/** A moment on both clocks of a VM, milliseconds. */
export type Moment = {
	/** Steady clock; it stands still while a VM is suspended. */
	readonly steady: number;
	/** Time of day; it may jump, and counts suspensions. */
	readonly wall: number;
};

/**
 * A right to act until a time after its last confirmation.
 * It ends when either clock says so: a jump of the time of day can only end it early.
 */
export class TimedLease {
	#confirmedAt: Moment | undefined;

	/** @param durationMs - Time for which a confirmation holds. */
	constructor(readonly durationMs: number) {}

	/**
	 * Takes in a confirmation.
	 * @param at - Moment at which the confirmation was asked for.
	 */
	confirm(at: Moment): void {
		if (this.#confirmedAt === undefined || at.steady > this.#confirmedAt.steady) {
			this.#confirmedAt = at;
		}
	}

	isHeld(now: Moment): boolean {
		return this.getRemainingMs(now) > 0;
	}

	/** Returns the time that is left by the stricter of both clocks. */
	getRemainingMs(now: Moment): number {
		if (this.#confirmedAt === undefined || now.wall < this.#confirmedAt.wall) {
			return 0;
		}

		const elapsed = Math.max(now.steady - this.#confirmedAt.steady, now.wall - this.#confirmedAt.wall);
		return Math.max(0, this.durationMs - elapsed);
	}

	/** Ends the lease at once. */
	end(): void {
		this.#confirmedAt = undefined;
	}
}
