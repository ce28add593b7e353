/** Returns the size of a majority of the voters. */
export function getMajority(voterCount: number): number {
	return Math.floor(voterCount / 2) + 1;
}

/** One round of promise requests to all voters. */
export type LeaseRound = {
	readonly term: number;
	/** Monotonic time at which the round started, in milliseconds; a lease that it gains starts then. */
	readonly sentAt: number;
};

/** Timing of a lease, in milliseconds. */
export type LeaseTiming = {
	readonly durationMs: number;
	/** Interval of renewals. */
	readonly renewalMs: number;
	/** Delay per rank of a candidate, which avoids competing rounds. */
	readonly staggerMs: number;
};

/** Acquires a lease from a majority of the voters and renews it. */
export class LeaseCandidate {
	#term = 0;
	#heldUntil = Number.NEGATIVE_INFINITY;
	#round: LeaseRound | undefined;
	#promisedVoters = new Set<string>();
	#nextAttemptAt = Number.NEGATIVE_INFINITY;
	#vacantSince: number | undefined;

	constructor(private readonly timing: LeaseTiming) {}

	get term(): number {
		return this.#term;
	}

	/** Monotonic time until which the lease is held, in milliseconds. */
	get heldUntil(): number {
		return this.#heldUntil;
	}

	/** Returns whether this candidate holds the lease. */
	isHeld(now: number): boolean {
		return now < this.#heldUntil;
	}

	/** Records whether no candidate holds the lease, as far as this VM knows. */
	recordVacancy(isVacant: boolean, now: number): void {
		this.#vacantSince = isVacant ? this.#vacantSince ?? now : undefined;
	}

	/** Returns whether a round may be due; whether it starts also depends on the candidate's rank. */
	isRoundDue(now: number): boolean {
		return now >= this.#nextAttemptAt && (this.isHeld(now) || this.#vacantSince !== undefined);
	}

	/**
	 * Starts a round if one is due.
	 * @param rank - Rank of this VM among the live candidates, zero for the first.
	 * @param now - Monotonic time in milliseconds.
	 * @returns The round to request promises for, undefined if none is due.
	 */
	startRound(rank: number, now: number): LeaseRound | undefined {
		const isRankDue = this.#vacantSince !== undefined && now >= this.#vacantSince + (rank * this.timing.staggerMs);
		if (now < this.#nextAttemptAt || (!this.isHeld(now) && !isRankDue)) {
			return undefined;
		}

		if (!this.isHeld(now)) {
			this.#term += 1;
		}

		this.#nextAttemptAt = now + this.timing.renewalMs;
		this.#promisedVoters = new Set();
		this.#round = {term: this.#term, sentAt: now};
		return this.#round;
	}

	/**
	 * Records the promise of one voter; a majority extends the lease.
	 * @returns Whether this promise completed the majority.
	 */
	recordPromise(round: LeaseRound, voter: string, voters: readonly string[]): boolean {
		if (round !== this.#round || !voters.includes(voter)) {
			return false;
		}

		this.#promisedVoters.add(voter);
		if (this.#promisedVoters.size !== getMajority(voters.length)) {
			return false;
		}

		this.#heldUntil = round.sentAt + this.timing.durationMs;
		return true;
	}

	/** Records that a voter has promised the lease to another candidate, and delays the next attempt until that promise expires. */
	recordRefusal(remainingMs: number, now: number): void {
		if (!this.isHeld(now)) {
			this.#nextAttemptAt = Math.max(this.#nextAttemptAt, now + Math.min(remainingMs, this.timing.durationMs));
		}
	}

	/** Starts a round regardless of earlier refusals, as the holder has offered the lease to this candidate. */
	startTakeoverRound(now: number): LeaseRound {
		this.#nextAttemptAt = now;
		this.#vacantSince = now;
		return this.startRound(0, now)!;
	}

	/** Adopts the term of another candidate if it is higher. */
	recordTerm(term: number): void {
		this.#term = Math.max(this.#term, term);
	}

	/** Ends the lease and the current round. */
	releaseLease(now: number): void {
		this.#heldUntil = now;
		this.#round = undefined;
	}
}
