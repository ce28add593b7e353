/** A moment on both clocks of a VM, milliseconds. */
export type ClockReading = {
	/** Steady clock; it stands still while a VM is suspended. */
	readonly monotonicMs: number;
	/** Time of day; it may jump, and counts suspensions. */
	readonly wallMs: number;
};

/**
 * A right to act until a time after its last confirmation.
 * It ends when either clock says so: a jump of the time of day can only end it early.
 */
export class DualClockLease {
	#renewedAt: ClockReading | undefined;

	/** @param durationMs - Time for which a confirmation holds. */
	constructor(readonly durationMs: number) {}

	/**
	 * Takes in a confirmation.
	 * @param at - Moment at which the confirmation was asked for.
	 */
	renew(at: ClockReading): void {
		if (this.#renewedAt === undefined || at.monotonicMs > this.#renewedAt.monotonicMs) {
			this.#renewedAt = at;
		}
	}

	isHeld(now: ClockReading): boolean {
		return this.getRemainingMs(now) > 0;
	}

	/** Returns the time that is left by the stricter of both clocks. */
	getRemainingMs(now: ClockReading): number {
		if (this.#renewedAt === undefined || now.wallMs < this.#renewedAt.wallMs) {
			return 0;
		}

		const elapsed = Math.max(now.monotonicMs - this.#renewedAt.monotonicMs, now.wallMs - this.#renewedAt.wallMs);
		return Math.max(0, this.durationMs - elapsed);
	}

	/** Ends the lease at once. */
	release(): void {
		this.#renewedAt = undefined;
	}
}
