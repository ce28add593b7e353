import {type AccountShare, type LimitsLookup, type ShareGrant} from './share-messages.js';

type HeldShare = {
	rateFraction: number;
	burstFraction: number;
	tokens: number;
	updatedAt: number;
	/** Tokens above the VM's share of the burst, returned with the next report. */
	excessTokens: number;
};

/** Tolerance for rounding errors when fractions are multiplied, in tokens. */
const tokenTolerance = 1e-9;

/** Holds the shares of account limits that one VM may use until they expire. */
export class ShareHolder {
	readonly #shares = new Map<string, HeldShare>();
	#sequence = 0;
	#validUntil = Number.NEGATIVE_INFINITY;

	constructor(private readonly getLimits: LimitsLookup) {}

	/** Sequence number of the last grant applied, zero for none. */
	get sequence(): number {
		return this.#sequence;
	}

	/** Monotonic time at which the shares expire, in milliseconds. */
	get validUntil(): number {
		return this.#validUntil;
	}

	getAccounts(): string[] {
		return [...this.#shares.keys()];
	}

	/** Returns the tokens that an account may use now. */
	getTokens(account: string, now: number): number {
		return this.#refillShare(account, now)?.tokens ?? 0;
	}

	/** Returns the local refill rate of an account, in tokens per second. */
	getRate(account: string, now: number): number {
		return now < this.#validUntil ? (this.#shares.get(account)?.rateFraction ?? 0) * (this.getLimits(account)?.rate ?? 0) : 0;
	}

	/** Takes one token of an account; returns whether there was one. */
	takeToken(account: string, now: number): boolean {
		const share = this.#refillShare(account, now);
		if (share === undefined || share.tokens < 1 - tokenTolerance) {
			return false;
		}

		share.tokens = Math.max(0, share.tokens - 1);
		return true;
	}

	/** Removes and returns the tokens to be returned to the allocator. */
	removeReturnedTokens(account: string): number {
		const share = this.#shares.get(account);
		const returned = share?.excessTokens ?? 0;
		if (share !== undefined) {
			share.excessTokens = 0;
		}

		return returned;
	}

	/**
	 * Applies a grant.
	 * @param grant - Response to the last report sent.
	 * @param sentAt - Monotonic time at which that report was sent, in milliseconds.
	 * @param isPartial - Whether accounts that the grant does not list keep their shares.
	 * @param now - Monotonic time in milliseconds.
	 */
	applyGrant(grant: ShareGrant, sentAt: number, isPartial: boolean, now: number): void {
		const listed = new Set(grant.accounts.map(share => share.account));
		for (const account of this.getAccounts()) {
			this.#refillShare(account, now);
			if (!isPartial && !listed.has(account)) {
				this.#shares.delete(account);
			}
		}

		for (const share of grant.accounts) {
			this.#applyShare(share, now);
		}

		this.#sequence = grant.sequence;
		this.#validUntil = sentAt + grant.validMs;
	}

	/** Drops all shares; the next report tells the allocator that no grant is in use. */
	clear(): void {
		this.#shares.clear();
		this.#sequence = 0;
		this.#validUntil = Number.NEGATIVE_INFINITY;
	}

	#applyShare(share: AccountShare, now: number): void {
		const held = this.#shares.get(share.account) ?? {
			rateFraction: 0, burstFraction: 0, tokens: 0, updatedAt: now, excessTokens: 0,
		};
		held.rateFraction = share.rateFraction;
		held.burstFraction = share.burstFraction;
		const capacity = share.burstFraction * (this.getLimits(share.account)?.burst ?? 0);
		const tokens = held.tokens + share.tokens;
		held.tokens = Math.min(tokens, capacity);
		held.excessTokens = tokens - held.tokens;
		held.updatedAt = now;
		this.#shares.set(share.account, held);
	}

	/** Refills and returns the share of an account; undefined if it has none, has no limits or the shares have expired. */
	#refillShare(account: string, now: number): HeldShare | undefined {
		if (now >= this.#validUntil) {
			this.clear();
			return undefined;
		}

		const share = this.#shares.get(account);
		const limits = this.getLimits(account);
		if (share === undefined || limits === undefined) {
			return undefined;
		}

		const seconds = (now - share.updatedAt) / 1000;
		share.tokens = Math.min(share.burstFraction * limits.burst, share.tokens + (seconds * share.rateFraction * limits.rate));
		share.updatedAt = now;
		return share;
	}
}
