import {type BudgetShare, MemoryBudget} from './memory-budget.js';
/** What one peer has not read of what it was sent. */
export type UnreadShare = {
	/**
	 * Sets the memory that it takes, in bytes, and disconnects peers until it fits.
	 * @param hasRead - Whether the peer has read something since the last call.
	 */
	set(bytes: number, hasRead: boolean): void;
	/** Gives the memory back, after the connection has ended. */
	remove(): void;
};

/** Bounds what several peers together have not read of what they were sent: beyond the bound, those that have read nothing for the longest are disconnected. */
export class UnreadOutput {
	readonly #budget: MemoryBudget;
	/** Shares above the free size, each with what disconnects its peer; the one whose peer has read nothing for the longest first. */
	readonly #large = new Map<BudgetShare, () => void>();

	/**
	 * @param maxBytes - Maximum memory of the output to all peers, in bytes.
	 * @param freeBytes - Memory up to which no peer is disconnected, in bytes.
	 */
	constructor(maxBytes: number, private readonly freeBytes: number) {
		this.#budget = new MemoryBudget(maxBytes, freeBytes);
	}

	/**
	 * Creates the share of one peer, which holds nothing yet.
	 * @param disconnect - Ends the connection at once, with what was not read.
	 */
	createShare(disconnect: () => void): UnreadShare {
		const share = this.#budget.createShare();
		return {
			set: (bytes, hasRead) => {
				if (hasRead || bytes <= this.freeBytes) {
					this.#large.delete(share);
				}

				if (bytes > this.freeBytes) {
					this.#large.set(share, disconnect);
				}

				if (!share.trySet(bytes)) {
					this.#closeUntilFits(share, bytes);
				}
			},
			remove: () => {
				this.#remove(share);
			},
		};
	}

	#closeUntilFits(share: BudgetShare, bytes: number): void {
		for (const [slowest, disconnect] of this.#large) {
			this.#remove(slowest);
			disconnect();
			if (slowest === share || share.trySet(bytes)) {
				return;
			}
		}
	}

	#remove(share: BudgetShare): void {
		this.#large.delete(share);
		share.trySet(0);
	}
}
