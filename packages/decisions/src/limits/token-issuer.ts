import {type RateLimit} from './token-bucket.js';
import {SlidingWindowCounter} from './sliding-window-counter.js';
import {countAllowedPerWindow, SlidingWindowLimiter} from './sliding-window-limiter.js';
import {StatedUsage, type UsageStatement} from './stated-usage.js';
import {UrgentReserve} from './urgent-reserve.js';
import {UsageAssumption, type UsageFractions} from './usage-assumption.js';
import {updateUsageRate, type UsageRate} from './usage-rate.js';

/** Tokens of one account that a VM requests. */
export type TokenDemand = {
	/** Number of operations waiting for a token. */
	readonly needed: number;
	/** Number of the waiting operations that are urgent; undefined counts as none. */
	readonly urgent: number | undefined;
	/** Number of tokens requested in advance, to save the next request. */
	readonly extra: number;
	/** Operations of the last window that the VM admitted without tokens and has not reported yet, see {@link SlidingWindowCounter.exportCounts}; undefined counts as none. */
	readonly admitted: number[] | undefined;
};

/** Tokens granted to a VM. */
export type TokenGrant = {
	readonly count: number;
	/** Time until another token is available, in milliseconds; zero if all needed tokens were granted. */
	readonly waitMs: number;
	/** Number of operations that the account has left in the window that ends now; undefined if a former build granted the tokens. */
	readonly free: number | undefined;
	/** Number of operations that are known to be in the window that ends now, without those that are only assumed; undefined if a former build granted the tokens. */
	readonly used: number | undefined;
};

/** Request of a VM for tokens of one account. */
export type TokenRequest = {
	readonly vm: string;
	readonly account: string;
	readonly demand: TokenDemand;
	/** Limit of the account over all VMs. */
	readonly limit: RateLimit;
};

/** Operations of one account that a VM admitted. */
export type AccountUsage = {
	readonly account: string;
	/** Operations of the last window that it admitted without tokens and has not reported yet. */
	readonly admitted: readonly number[];
	/** All operations that it admitted in the last window, see {@link SlidingWindowCounter.exportCounts}. */
	readonly counts: readonly number[];
	/** Usage over all VMs according to its last grant; undefined if no grant of the last window stated it. */
	readonly stated: UsageStatement | undefined;
};

/** What an issuer knows of the usage of all accounts, for its successor. */
export type IssuedUsage = {
	/** Operations in the last window by account, see {@link SlidingWindowCounter.exportCounts}. */
	readonly accounts: ReadonlyArray<readonly [account: string, counts: readonly number[]]>;
	/** Fractions of every limit that are assumed to be used besides. */
	readonly assumed: UsageFractions;
};

/** Fill ratio of a bucket above which tokens are granted in advance. */
const minPrefetchFillRatio = 0.5;

/** Ratio of what a VM that cannot reach the issuer may admit to its usage in the last window: the excess that deployments allow. */
const isolatedUsageFactor = 1.1;

/** Maximum of the fraction of a limit that stays available to VMs that request tokens, however much is reserved for silent ones; it is not more than their even shares. */
const maxKeptFraction = 0.3;

const msPerSecond = 1000;

type AccountState = {
	readonly limiter: SlidingWindowLimiter;
	/** Average rate of tokens granted, by VM. */
	readonly usageRates: Map<string, UsageRate>;
	readonly reserve: UrgentReserve;
};

/** VMs that the issuer does not hear from but that may be running, and then admit operations without requesting tokens. */
export type SilentMembers = {
	/** Names of these VMs. */
	readonly silent: readonly string[];
	/** Number of VMs that share a limit, including the silent ones. */
	readonly members: number;
};

/**
 * Returns the number of operations that a VM that can't reach the issuer may admit in a window:
 * its even share of the limit, or its recent usage plus the allowed excess if that is more.
 * @param members - Number of VMs that share the limit.
 * @param used - Number of operations that the VM admitted in the last window.
 */
export function countAllowedInIsolation(limit: RateLimit, windowMs: number, members: number, used: number): number {
	return Math.max(countAllowedPerWindow(limit, windowMs) / Math.max(1, members), used * isolatedUsageFactor);
}

/** Grants the operations that each account's limit allows to the VMs. */
export class TokenIssuer {
	readonly #accounts = new Map<string, AccountState>();
	/** Operations of each account in the last window, as far as they are known. */
	readonly #counters = new Map<string, SlidingWindowCounter>();
	/** What former issuers stated in their grants, by account. */
	readonly #statedUsages = new Map<string, StatedUsage>();
	readonly #assumption: UsageAssumption;

	/**
	 * @param windowMs - Length of the window over which limits hold, in milliseconds.
	 * @param startedAt - Monotonic time since which this issuer decides, in milliseconds.
	 */
	constructor(private readonly windowMs: number, private readonly startedAt: number) {
		this.#assumption = new UsageAssumption(windowMs, startedAt);
	}

	/**
	 * Grants tokens to a VM: as many of those needed as the limit allows, urgent ones first, and then those requested in advance.
	 * @param silentMembers - VMs that may admit operations without requesting tokens, see {@link countAllowedInIsolation}.
	 * @param now - Monotonic time in milliseconds.
	 */
	grantTokens({vm, account, demand, limit}: TokenRequest, silentMembers: SilentMembers, now: number): TokenGrant {
		const existing = this.#accounts.get(account);
		const state = existing ?? this.#addAccount(account, limit, now);
		const {silent, members} = silentMembers;
		const keptFraction = Math.min(maxKeptFraction, Math.max(0, members - silent.length) / Math.max(1, members));
		state.limiter.setLimit(limit, this.#countReserved(state, limit, silentMembers), keptFraction, now);
		const assumed = this.#assumption.getFractions(members, silent, now);
		const assumedCount = this.#countAssumed(limit, assumed);
		const unreportedCount = this.#statedUsages.get(account)?.countUnreported(this.#getCounter(account), now) ?? 0;
		// Both estimate the usage of the same VMs. What was stated does not decrease before it leaves the window.
		state.limiter.setAssumedUsage(Math.max(assumedCount, unreportedCount), unreportedCount > assumedCount ? 0 : (limit.ratePerS * assumed.even) / msPerSecond);
		if (existing === undefined) {
			state.limiter.fillBucket(now);
		}

		state.limiter.recordUsage(demand.admitted ?? [], now);
		const urgent = Math.min(demand.needed, demand.urgent ?? 0);
		state.reserve.recordUrgent(urgent, now);
		let count = 0;
		while (count < urgent && state.limiter.takeToken(now)) {
			count += 1;
		}

		const reserve = state.reserve.getReserve(limit.burst, now);
		while (count >= urgent && count < demand.needed && state.limiter.takeToken(now, reserve)) {
			count += 1;
		}

		const isShort = count < demand.needed;
		const maxCount = isShort ? count : demand.needed + demand.extra;
		while (count < maxCount && state.limiter.getFillRatio(now) > minPrefetchFillRatio && state.limiter.takeToken(now)) {
			count += 1;
		}

		state.usageRates.set(vm, updateUsageRate(state.usageRates.get(vm), count, now));
		return {
			count, waitMs: isShort ? Math.max(1, state.limiter.getWaitMs(now, count < urgent ? 0 : reserve)) : 0, free: Math.floor(state.limiter.getFreeCount(now)), used: Math.round(this.#getCounter(account).getCount(now) + unreportedCount),
		};
	}

	/**
	 * Records what a VM has used: all of it if it was not known to this issuer, or else what it admitted without tokens.
	 * @param processStartedAt - Monotonic time at which the process of the VM started, in milliseconds.
	 */
	recordUsage(vm: string, usage: readonly AccountUsage[], processStartedAt: number, now: number): void {
		const isKnown = this.#assumption.isKnown(vm);
		for (const {account, admitted, counts, stated} of usage) {
			this.#getCounter(account).importCounts(isKnown ? admitted : counts, now);
			// What this issuer itself has stated it counts already.
			if (!isKnown && stated !== undefined && stated.at < this.startedAt) {
				this.#getStatedUsage(account).recordStatement(stated);
			}
		}

		if (!isKnown) {
			this.#assumption.recordReport(vm, processStartedAt);
		}
	}

	/** Returns what this issuer knows of the usage of all accounts, for its successor. */
	exportUsage({silent, members}: SilentMembers, now: number): IssuedUsage {
		const accounts = [...this.#counters].map(([account, counter]) => [account, counter.exportCounts(now)] as const);
		return {accounts: accounts.filter(([, counts]) => counts.length > 0), assumed: this.#assumption.getFractions(members, silent, now)};
	}

	/** Starts from what a predecessor knew when it ended. */
	importUsage({accounts, assumed}: IssuedUsage, now: number): void {
		for (const [account, counts] of accounts) {
			this.#getCounter(account).importCounts(counts, now);
		}

		this.#assumption.importFractions(assumed, now);
	}

	/** Removes what is kept of accounts that have no limit any more, once no operation of theirs is in the window that ends now. */
	removeAccounts(hasLimit: (account: string) => boolean, now: number): void {
		for (const [account, counter] of this.#counters) {
			const unreportedCount = this.#statedUsages.get(account)?.countUnreported(counter, now) ?? 0;
			if (!hasLimit(account) && counter.getCount(now) === 0 && unreportedCount === 0) {
				this.#accounts.delete(account);
				this.#counters.delete(account);
				this.#statedUsages.delete(account);
			}
		}
	}

	/** Returns the number of operations of an account that count as used in the window that ends now; undefined if no token of it was requested yet. */
	getUsedCount(account: string, now: number): number | undefined {
		return this.#accounts.get(account)?.limiter.getUsedCount(now);
	}

	/**
	 * Discards the recorded usage of a VM whose process restarted.
	 * @param unheardMs - Time for which nothing was heard of the former process before its end, in milliseconds.
	 */
	removeVmUsage(vm: string, unheardMs: number, now: number): void {
		this.#assumption.recordLostProcess(unheardMs, now);
		for (const {usageRates} of this.#accounts.values()) {
			usageRates.delete(vm);
		}
	}

	/** Removes what is kept of a VM that has left; the tokens that it was granted still count. */
	removeVm(vm: string): void {
		this.#assumption.removeVm(vm);
		for (const {usageRates} of this.#accounts.values()) {
			usageRates.delete(vm);
		}
	}

	#addAccount(account: string, limit: RateLimit, now: number): AccountState {
		const state = {limiter: new SlidingWindowLimiter(limit, this.windowMs, now, this.#getCounter(account)), usageRates: new Map<string, UsageRate>(), reserve: new UrgentReserve()};
		this.#accounts.set(account, state);
		return state;
	}

	#getCounter(account: string): SlidingWindowCounter {
		let counter = this.#counters.get(account);
		if (counter === undefined) {
			counter = new SlidingWindowCounter(this.windowMs);
			this.#counters.set(account, counter);
		}

		return counter;
	}

	#getStatedUsage(account: string): StatedUsage {
		let statedUsage = this.#statedUsages.get(account);
		if (statedUsage === undefined) {
			statedUsage = new StatedUsage(this.windowMs);
			this.#statedUsages.set(account, statedUsage);
		}

		return statedUsage;
	}

	/** Returns the number of operations in the last window that are assumed for VMs whose usage is not known. */
	#countAssumed(limit: RateLimit, {even, burst}: UsageFractions): number {
		return ((countAllowedPerWindow(limit, this.windowMs) - limit.burst) * even) + (limit.burst * burst);
	}

	/** Returns the number of operations per window reserved for silent VMs. */
	#countReserved(state: AccountState, limit: RateLimit, {silent, members}: SilentMembers): number {
		let reserved = 0;
		for (const vm of silent) {
			reserved += countAllowedInIsolation(limit, this.windowMs, members, ((state.usageRates.get(vm)?.perSecond ?? 0) * this.windowMs) / msPerSecond);
		}

		return reserved;
	}
}
