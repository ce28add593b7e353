/** Fraction of a burst that is not assumed to be used, so that a small account need not wait for its first operation. */
const unassumedBurstFraction = 0.3;

/** Time for which computed fractions are used again, in milliseconds: within it they change by a hundredth of a window at most. */
const fractionsTtlMs = 50;

const noFractions: UsageFractions = {even: 0, burst: 0};

/** Fractions of an account's limit, of the part that is spread over a window and of the burst. */
export type UsageFractions = {
	readonly even: number;
	readonly burst: number;
};

/**
 * What accounts are assumed to have used in the last window, for VMs whose usage is not known: those that have not reported it to this
 * coordinator, and those whose process started less than a window before it took over. Each of them counts as having used its even share of the limit until
 * then. A process that ended after it could not be heard counts as having used that share for the time.
 */
export class UsageAssumption {
	/** Monotonic times up to which the usage of the VMs is unknown that have reported theirs, in milliseconds. */
	readonly #unknownUntil = new Map<string, number>();
	/** Processes that ended unheard: the part of a window for which they were, and when their VMs returned, in milliseconds. */
	#lostProcesses: Array<{readonly windows: number; readonly at: number}> = [];
	/** Fractions taken over from a predecessor, which knew the rest. */
	#inherited: (UsageFractions & {readonly at: number}) | undefined;
	/** Fractions as computed last; undefined after something was recorded. */
	#computed: {readonly fractions: UsageFractions; readonly at: number} | undefined;

	/**
	 * @param windowMs - Length of the window over which limits hold, in milliseconds.
	 * @param startedAt - Monotonic time since which this coordinator knows what it grants, in milliseconds.
	 */
	constructor(private readonly windowMs: number, private readonly startedAt: number) {}

	/** Returns whether the usage of a VM before this coordinator is known. */
	isKnown(vm: string): boolean {
		return this.#inherited !== undefined || this.#unknownUntil.has(vm);
	}

	/** Records that a VM reported its usage since the start of its process. */
	recordReport(vm: string, processStartedAt: number): void {
		// Tokens that were granted to a former process since this coordinator took over are known.
		this.#unknownUntil.set(vm, Math.min(processStartedAt, this.startedAt));
		this.#computed = undefined;
	}

	/**
	 * Records that the process of a VM ended without having reported what it admitted alone.
	 * @param unheardMs - Time for which nothing was heard of it before its end, in milliseconds.
	 */
	recordLostProcess(unheardMs: number, now: number): void {
		this.#lostProcesses = [...this.#lostProcesses.filter(({at}) => now - at < this.windowMs), {windows: Math.min(1, Math.max(0, unheardMs) / this.windowMs), at: now}];
		this.#computed = undefined;
	}

	/** Removes a VM that has left and admits nothing any more. */
	removeVm(vm: string): void {
		this.#unknownUntil.delete(vm);
		this.#computed = undefined;
	}

	/** Takes over the fractions of a predecessor that knew the usage of all VMs but for these. */
	importFractions({even, burst}: UsageFractions, now: number): void {
		this.#inherited = {even, burst, at: now};
		this.#computed = undefined;
	}

	/**
	 * Returns the fractions of every limit that are assumed to be used in the window that ends now.
	 * @param members - Number of VMs that share the limits.
	 * @param silent - VMs that have a part of the limits reserved instead.
	 */
	getFractions(members: number, silent: readonly string[], now: number): UsageFractions {
		// Nothing is assumed any more once all that was recorded is older than a window.
		if (this.#computed === undefined || (this.#computed.fractions !== noFractions && now - this.#computed.at >= fractionsTtlMs)) {
			const fractions = this.#computeFractions(members, silent, now);
			this.#computed = {fractions: now - this.startedAt >= this.windowMs && fractions.even === 0 && fractions.burst === 0 ? noFractions : fractions, at: now};
		}

		return this.#computed.fractions;
	}

	#computeFractions(members: number, silent: readonly string[], now: number): UsageFractions {
		const unreportedCount = Math.max(0, members - this.#unknownUntil.size - silent.filter(vm => !this.#unknownUntil.has(vm)).length);
		const unknown = [...this.#unknownUntil.values()].map(at => ({windows: 1, at}));
		const parts = this.#inherited === undefined ? [{windows: unreportedCount, at: this.startedAt}, ...unknown, ...this.#lostProcesses] : this.#lostProcesses;
		const count = Math.max(1, members, this.#unknownUntil.size);
		let even = (this.#inherited?.even ?? 0) * this.#getRemainingFraction(now - (this.#inherited?.at ?? now));
		let burst = now - (this.#inherited?.at ?? now) < this.windowMs ? this.#inherited?.burst ?? 0 : 0;
		for (const {windows, at} of parts) {
			even += (windows * this.#getRemainingFraction(now - at)) / count;
			burst += now - at < this.windowMs ? (windows * (1 - unassumedBurstFraction)) / count : 0;
		}

		return {even, burst};
	}

	/** Returns the part of an evenly used window that is still inside the window some time after its end. */
	#getRemainingFraction(ageMs: number): number {
		return Math.max(0, 1 - (ageMs / this.windowMs));
	}
}
