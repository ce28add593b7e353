import {type AccountLimits} from '@chicorysaddle/model';

/** Returns the limits of a client account in the active configuration, undefined for an unknown account. */
export type LimitsLookup = (account: string) => AccountLimits | undefined;

/** Demand and tokens of one client account at one VM. */
export type AccountDemand = {
	readonly account: string;
	/** Exponentially smoothed arrivals per second. */
	readonly perSecond: number;
	/** Number of requests waiting for a token. */
	readonly waiting: number;
	/** Tokens held by the sender. */
	readonly heldTokens: number;
	/** Tokens returned to the pool; the sender has already deducted them. */
	readonly returnedTokens: number;
};

/** Report that one VM sends to the allocator. */
export type DemandReport = {
	readonly vm: string;
	readonly incarnation: string;
	/** Sequence number of the last grant that the sender applied; all other grants to it are void. */
	readonly appliedSequence: number;
	/** Whether the sender shuts down and returns all shares and tokens. */
	readonly leaving: boolean;
	/** Whether accounts that are not listed keep their shares. */
	readonly partial: boolean;
	readonly accounts: readonly AccountDemand[];
};

/** One VM's share of an account's limits, as fractions of the rate and burst. */
export type AccountShare = {
	readonly account: string;
	readonly rateFraction: number;
	readonly burstFraction: number;
	/** Tokens moved from the pool to the receiver. */
	readonly tokens: number;
	/** Estimated time until the pool has another token for the receiver, in milliseconds. */
	readonly nextTokenMs: number;
};

/** A grant that may still be in use, as handed over to the next allocator. */
export type GrantState = {
	/** VM and incarnation that hold the grant. */
	readonly holder: string;
	readonly sequence: number;
	readonly expiresInMs: number;
	readonly accounts: readonly AccountShare[];
};

/** State that an allocator hands over to its successor. */
export type AllocatorState = {
	readonly sequence: number;
	readonly pools: ReadonlyArray<{readonly account: string; readonly level: number}>;
	readonly grants: readonly GrantState[];
};

/** Shares granted to one VM for a limited time. */
export type ShareGrant = {
	readonly sequence: number;
	/** Time for which the shares may be used, in milliseconds, counted from when the report was sent. */
	readonly validMs: number;
	readonly accounts: readonly AccountShare[];
};
