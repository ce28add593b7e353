import {type AccountLimits} from '@chicorysaddle/model';

/** Looks up the limits of a client account in the configuration in force. */
export type LimitsLookup = (account: string) => AccountLimits | undefined;

/** What one VM reports of one client account. */
export type AccountDemand = {
	readonly account: string;
	/** Smoothed arrivals a second. */
	readonly perSecond: number;
	/** Requests that wait for a token. */
	readonly waiting: number;
	/** Tokens held by the sender. */
	readonly heldTokens: number;
	/** Tokens given back; already deducted by the sender. */
	readonly returnedTokens: number;
};

/** What one VM reports to the allocator. */
export type DemandReport = {
	readonly vm: string;
	readonly incarnation: string;
	/** Last grant applied by the sender; earlier and unapplied ones are void. */
	readonly appliedSequence: number;
	readonly leaving: boolean;
	/** Whether accounts that are not listed keep their share. */
	readonly partial: boolean;
	readonly accounts: readonly AccountDemand[];
};

/** Share of one account's limits, as fractions of its rate and burst. */
export type AccountShare = {
	readonly account: string;
	readonly rateFraction: number;
	readonly burstFraction: number;
	/** Tokens moved to the receiver. */
	readonly tokens: number;
	/** Expected time until the pool has another token for the receiver, in milliseconds. */
	readonly nextTokenMs: number;
};

/** A grant that may still be in use, as one allocator tells its successor. */
export type GrantState = {
	/** VM and incarnation of the holder. */
	readonly holder: string;
	readonly sequence: number;
	readonly expiresInMs: number;
	readonly accounts: readonly AccountShare[];
};

/** Everything that a successor has to know of an allocator. */
export type AllocatorState = {
	readonly sequence: number;
	readonly pools: ReadonlyArray<{readonly account: string; readonly level: number}>;
	readonly grants: readonly GrantState[];
};

/** Shares granted to one VM for a time. */
export type ShareGrant = {
	readonly sequence: number;
	/** Time that the shares may be used, from the sending of the report. */
	readonly validMs: number;
	readonly accounts: readonly AccountShare[];
};
