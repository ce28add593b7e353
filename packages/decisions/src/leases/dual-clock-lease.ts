/** Reading of both clocks of a VM, in milliseconds. */
export type ClockReading = {
	/** Monotonic clock, which stops while the VM is suspended. */
	readonly monotonicMs: number;
	/** Wall clock, which includes suspensions and may jump. */
	readonly wallMs: number;
};

/**
 * Lease that is valid for a fixed time after its last renewal.
 * It expires as soon as either clock exceeds that time, so a jump of the wall clock can only end it early.
 */
export class DualClockLease {
	#renewedAt: ClockReading | undefined;

	/** @param durationMs - Validity of a renewal, in milliseconds. */
	constructor(readonly durationMs: number) {}

	/**
	 * Renews the lease, unless a later renewal is already in effect.
	 * @param at - Clock reading when the renewal was requested.
	 */
	renew(at: ClockReading): void {
		if (this.#renewedAt === undefined || at.monotonicMs > this.#renewedAt.monotonicMs) {
			this.#renewedAt = at;
		}
	}

	/** Returns whether the lease is in effect. */
	isHeld(now: ClockReading): boolean {
		return this.getRemainingMs(now) > 0;
	}

	/** Returns the time until the lease expires by the stricter of both clocks, in milliseconds; zero if it is not held. */
	getRemainingMs(now: ClockReading): number {
		if (this.#renewedAt === undefined || now.wallMs < this.#renewedAt.wallMs) {
			return 0;
		}

		const elapsed = Math.max(now.monotonicMs - this.#renewedAt.monotonicMs, now.wallMs - this.#renewedAt.wallMs);
		return Math.max(0, this.durationMs - elapsed);
	}

	/** Ends the lease. */
	release(): void {
		this.#renewedAt = undefined;
	}
}
