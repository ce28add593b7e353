/** Request for a promise or for its renewal. */
export type PromiseRequest = {
	/** VM and incarnation of the candidate. */
	readonly holder: string;
	readonly term: number;
	readonly durationMs: number;
	/** Previous holder that handed the lease over to the candidate, empty for none. */
	readonly predecessor: string;
};

/** Response to a promise request. */
export type PromiseResponse = {
	readonly promised: boolean;
	/** Holder of the promise in force, empty for none. */
	readonly holder: string;
	readonly term: number;
	/** Time until a promise to another candidate is possible, in milliseconds. */
	readonly remainingMs: number;
};

/** Assumed maximum difference in speed between the clocks of two VMs, as a fraction of a duration. */
export const maxClockDriftFraction = 0.01;

/**
 * Promises a lease to one holder at a time.
 * After a restart it has lost its promises and makes none for the duration of one lease.
 */
export class LeaseVoter {
	#holder = '';
	#term = 0;
	#promisedUntil = Number.NEGATIVE_INFINITY;

	/**
	 * @param startedAt - Monotonic time at which this process started, in milliseconds.
	 * @param maxLeaseMs - Maximum duration that any candidate requests, in milliseconds.
	 */
	constructor(private readonly startedAt: number, private readonly maxLeaseMs: number) {}

	/** Returns the holder of the promise in force, empty for none. */
	getHolder(now: number): string {
		return now < this.#promisedUntil ? this.#holder : '';
	}

	/** Highest term for which this voter has promised the lease, zero for none. */
	get term(): number {
		return this.#term;
	}

	/** Promises the lease to the candidate unless the promise to another holder is in force, and returns the response. */
	handlePromiseRequest(request: PromiseRequest, now: number): PromiseResponse {
		const startupDelayMs = this.startedAt + (this.maxLeaseMs * (1 + maxClockDriftFraction)) - now;
		if (startupDelayMs > 0) {
			return {
				promised: false, holder: '', term: this.#term, remainingMs: startupDelayMs,
			};
		}

		const isTaken = now < this.#promisedUntil && this.#holder !== request.holder && this.#holder !== request.predecessor;
		if (isTaken) {
			return this.#createResponse(false, now);
		}

		this.#holder = request.holder;
		this.#term = Math.max(this.#term, request.term);
		this.#promisedUntil = now + (Math.min(request.durationMs, this.maxLeaseMs) * (1 + maxClockDriftFraction));
		return this.#createResponse(true, now);
	}

	/** Ends the promise to a holder that released the lease. */
	releasePromise(holder: string): void {
		if (this.#holder === holder) {
			this.#promisedUntil = Number.NEGATIVE_INFINITY;
		}
	}

	#createResponse(promised: boolean, now: number): PromiseResponse {
		return {
			promised, holder: this.getHolder(now), term: this.#term, remainingMs: Math.max(0, this.#promisedUntil - now),
		};
	}
}
