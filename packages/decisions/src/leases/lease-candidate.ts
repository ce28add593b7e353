/** Returns how many of a number of voters make a majority. */
export function getMajority(voters: number): number {
	return Math.floor(voters / 2) + 1;
}

/** One round of asking every voter for a promise. */
export type LeaseRound = {
	readonly term: number;
	readonly sentAt: number;
};

/** Timing of a lease. */
export type LeaseTiming = {
	readonly durationMs: number;
	readonly renewalMs: number;
	/** Time between the attempts of candidates of neighbouring ranks. */
	readonly staggerMs: number;
};

/** Seeks a lease from a majority of the voters and keeps it. */
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

	/** Time until which the lease is held. */
	get heldUntil(): number {
		return this.#heldUntil;
	}

	isHeld(now: number): boolean {
		return now < this.#heldUntil;
	}

	/** Takes in that the lease is, or is not, held by another. */
	observeVacancy(isVacant: boolean, now: number): void {
		this.#vacantSince = isVacant ? this.#vacantSince ?? now : undefined;
	}

	/** Says whether there may be a round to start. */
	isRoundDue(now: number): boolean {
		return now >= this.#nextAttemptAt && (this.isHeld(now) || this.#vacantSince !== undefined);
	}

	/**
	 * Starts a round when one is due.
	 * @param rank - Place of this VM among the live candidates, zero for the first.
	 * @param now - Monotonic time in milliseconds.
	 * @returns The round to ask promises for.
	 */
	startRound(rank: number, now: number): LeaseRound | undefined {
		const isMyTurn = this.#vacantSince !== undefined && now >= this.#vacantSince + (rank * this.timing.staggerMs);
		if (now < this.#nextAttemptAt || (!this.isHeld(now) && !isMyTurn)) {
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
	 * Takes in one voter's promise.
	 * @returns Whether this promise completed a majority.
	 */
	observePromise(round: LeaseRound, voter: string, voters: readonly string[]): boolean {
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

	/** Takes in that a voter has promised the lease to another for some time: until then there is no use in asking. */
	observeRefusal(remainingMs: number, now: number): void {
		if (!this.isHeld(now)) {
			this.#nextAttemptAt = Math.max(this.#nextAttemptAt, now + Math.min(remainingMs, this.timing.durationMs));
		}
	}

	/** Starts a round at once, whatever was refused before: the holder itself has offered the lease. */
	startTakeoverRound(now: number): LeaseRound {
		this.#nextAttemptAt = now;
		this.#vacantSince = now;
		return this.startRound(0, now)!;
	}

	/** Takes in a term that another candidate has reached. */
	observeTerm(term: number): void {
		this.#term = Math.max(this.#term, term);
	}

	/** Ends the lease at once. */
	releaseLease(now: number): void {
		this.#heldUntil = now;
		this.#round = undefined;
	}
}
