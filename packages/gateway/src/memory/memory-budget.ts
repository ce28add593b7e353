/** Memory that several connections share, in bytes. */
export class MemoryBudget {
	#used = 0;

	/**
	 * @param maxBytes - Sum of what all shares hold above which none may grow.
	 * @param freeBytes - Size up to which a share may always grow, so that a few large ones keep no others out.
	 */
	constructor(private readonly maxBytes: number, private readonly freeBytes = 0) {}

	get used(): number {
		return this.#used;
	}

	/** Creates the share of one connection, which holds nothing yet. */
	createShare(): BudgetShare {
		let held = 0;
		return {
			trySet: bytes => {
				const isAccepted = bytes <= Math.max(held, this.freeBytes) || this.#used - held + bytes <= this.maxBytes;
				if (isAccepted) {
					this.#used += bytes - held;
					held = bytes;
				}

				return isAccepted;
			},
		};
	}
}

/** What one connection holds of a budget. */
export type BudgetShare = {
	/** Sets the number of bytes that the connection holds; returns false, and changes nothing, if the budget does not allow so many. */
	trySet(bytes: number): boolean;
};
