/** A request for, or the renewal of, a promise. */
export type PromiseRequest = {
	/** VM and incarnation of the candidate. */
	readonly holder: string;
	readonly term: number;
	readonly durationMs: number;
	/** Holder that handed the lease over to the candidate, empty for none. */
	readonly predecessor: string;
};

/** Answer to a request for a promise. */
export type PromiseAnswer = {
	readonly promised: boolean;
	/** Holder of the promise in force, empty for none. */
	readonly holder: string;
	readonly term: number;
	readonly remainingMs: number;
};

/** Allowance for clocks that run at different speeds, as a share of a duration. */
export const maxClockDriftFraction = 0.01;

/**
 * Promises a lease to one holder at a time.
 * A voter that has just started has forgotten its promises and makes none for one lease.
 */
export class LeaseVoter {
	#holder = '';
	#term = 0;
	#promisedUntil = Number.NEGATIVE_INFINITY;

	/**
	 * @param startedAt - Time at which this process started.
	 * @param maxLeaseMs - Longest duration that any candidate asks for.
	 */
	constructor(private readonly startedAt: number, private readonly maxLeaseMs: number) {}

	/** Returns the holder of the promise in force, empty for none. */
	getHolder(now: number): string {
		return now < this.#promisedUntil ? this.#holder : '';
	}

	get term(): number {
		return this.#term;
	}

	/** Promises the lease, or says who holds it. */
	handlePromiseRequest(request: PromiseRequest, now: number): PromiseAnswer {
		const quietMs = this.startedAt + (this.maxLeaseMs * (1 + maxClockDriftFraction)) - now;
		if (quietMs > 0) {
			return {
				promised: false, holder: '', term: this.#term, remainingMs: quietMs,
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

	/** Ends the promise to a holder that has given the lease up. */
	release(holder: string): void {
		if (this.#holder === holder) {
			this.#promisedUntil = Number.NEGATIVE_INFINITY;
		}
	}

	#createResponse(promised: boolean, now: number): PromiseAnswer {
		return {
			promised, holder: this.getHolder(now), term: this.#term, remainingMs: Math.max(0, this.#promisedUntil - now),
		};
	}
}
