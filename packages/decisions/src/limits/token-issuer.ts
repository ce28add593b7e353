import {type RateLimit} from './token-bucket.js';
import {countAllowedPerWindow, SlidingWindowLimiter} from './sliding-window-limiter.js';

/** What a VM wants of one account's limit. */
export type TokenDemand = {
	/** Operations that wait for a token now. */
	readonly needed: number;
	/** Tokens that would save the next question. */
	readonly extra: number;
};

/** Tokens that a VM was given. */
export type TokenGrant = {
	readonly count: number;
	/** Time until there are more, milliseconds; zero where all that were needed were given. */
	readonly waitMs: number;
};

/** Who asks for tokens of which account. */
export type TokenRequest = {
	readonly vm: string;
	readonly account: string;
	readonly demand: TokenDemand;
	/** Limit of the account over all VMs. */
	readonly limit: RateLimit;
};

/** Part of a burst that a new issuer begins with: it does not know what its predecessor gave. */
const initialBurstFraction = 0.3;

/** Fill of a bucket above which tokens are given ahead of need. */
const minPrefetchFillRatio = 0.5;

/** Factor on what it used in the last window to which a VM goes on that cannot ask: the overage that deployments allow. */
const isolatedUsageFactor = 1.1;

/** Least part of a limit that is given out, however much silent VMs may use. */
const minLimitFraction = 0.3;

/** Time over which a VM's pace is averaged, milliseconds. */
const usageTimeConstantMs = 3000;

const msPerSecond = 1000;

type UsageRate = {perSecond: number; at: number};

type AccountState = {
	readonly limit: SlidingWindowLimiter;
	/** What each VM was given lately. */
	readonly usageRates: Map<string, UsageRate>;
};

/** Who may go on without asking, as far as the issuer knows. */
export type SilentMembers = {
	/** VMs that are not heard and may live. */
	readonly silent: readonly string[];
	/** VMs that share a limit, the silent ones included. */
	readonly members: number;
};

/**
 * Returns what a VM that cannot ask may use of a limit in a window: its even share, or what it used of late with the overage.
 * @param members - VMs that share the limit.
 * @param used - Operations that it used in the last window.
 */
export function countAllowedInIsolation(limit: RateLimit, windowMs: number, members: number, used: number): number {
	return Math.max(countAllowedPerWindow(limit, windowMs) / Math.max(1, members), used * isolatedUsageFactor);
}

/** Gives out the operations of each account to the VMs. */
export class TokenIssuer {
	readonly #accounts = new Map<string, AccountState>();

	/** @param windowMs - Window over which limits hold, milliseconds. */
	constructor(private readonly windowMs: number) {}

	/**
	 * Gives tokens to a VM.
	 * @param silence - VMs that may go on without asking, see {@link countAllowedInIsolation}.
	 * @param now - Steady time in milliseconds.
	 */
	grantTokens({vm, account, demand: want, limit}: TokenRequest, silence: SilentMembers, now: number): TokenGrant {
		const known = this.#accounts.get(account);
		const state = known ?? this.#addAccount(account, limit, now);
		state.limit.setLimit(limit, this.#countReserved(state, limit, silence), minLimitFraction, now);
		if (known === undefined) {
			state.limit.assumePriorUsage(limit, limit.burst * initialBurstFraction, now);
		}

		let count = 0;
		while (count < want.needed && state.limit.takeToken(now)) {
			count += 1;
		}

		const isShort = count < want.needed;
		const most = isShort ? count : want.needed + want.extra;
		while (count < most && state.limit.getFillRatio(now) > minPrefetchFillRatio && state.limit.takeToken(now)) {
			count += 1;
		}

		recordUsage(state.usageRates, vm, count, now);
		return {count, waitMs: isShort ? Math.max(1, state.limit.getWaitMs(now)) : 0};
	}

	/** Forgets the pace of a VM whose process began anew. */
	removeVm(vm: string): void {
		for (const {usageRates: paces} of this.#accounts.values()) {
			paces.delete(vm);
		}
	}

	#addAccount(account: string, limit: RateLimit, now: number): AccountState {
		const state = {limit: new SlidingWindowLimiter(limit, this.windowMs, now), usageRates: new Map<string, UsageRate>()};
		this.#accounts.set(account, state);
		return state;
	}

	/** Returns the operations of a window that VMs may use which cannot ask now. */
	#countReserved(state: AccountState, limit: RateLimit, {silent, members}: SilentMembers): number {
		let reserved = 0;
		for (const vm of silent) {
			reserved += countAllowedInIsolation(limit, this.windowMs, members, ((state.usageRates.get(vm)?.perSecond ?? 0) * this.windowMs) / msPerSecond);
		}

		return reserved;
	}
}

/** Takes in operations into an average that decays with time. */
export function recordUsage(paces: Map<string, UsageRate>, key: string, count: number, now: number): void {
	const pace = paces.get(key) ?? {perSecond: 0, at: now};
	const kept = Math.exp(-(now - pace.at) / usageTimeConstantMs);
	paces.set(key, {perSecond: (pace.perSecond * kept) + ((count * msPerSecond) / usageTimeConstantMs), at: now});
}
