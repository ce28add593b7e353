import {
	countAllowedInIsolation, SlidingWindowCounter, type TokenGrant, type TokenDemand,
} from '@chicorysaddle/decisions';
import {type ConfigurationView} from '../configuration/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type AdjustableSettingsSource, type Clock} from '../ports/index.js';

/** Asks the coordinator for tokens; undefined when it does not answer. */
export type TokenRequester = (wants: Readonly<Record<string, TokenDemand>>) => Promise<Readonly<Record<string, TokenGrant>> | undefined>;

/** Time for which tokens that were given ahead of need may be used, milliseconds. */
const prefetchedTokenLifetimeMs = 500;

/** Time of demand for which tokens are asked ahead, seconds. */
const prefetchHorizonS = 0.3;

/** Longest time for which a refusal of the coordinator is repeated without asking, milliseconds. */
const maxRejectionCacheMs = 150;

/** Time for which a token that was given back may be used again, milliseconds: the next statements of the account. */
const releasedTokenLifetimeMs = 300;

/** Part of its share that a process without word from the coordinator begins with: what its VM used in the window before is not known. */
const initialLimitFraction = 0.1;

const msPerSecond = 1000;

type Waiter = (waitMs: number) => void;

type AccountState = {
	availableTokens: number;
	tokensExpireAt: number;
	rejectedUntil: number;
	isRequestPending: boolean;
	waiters: Waiter[];
	/** What this VM used in the window. */
	readonly usage: SlidingWindowCounter;
	/** What this VM may use in a window while the coordinator does not answer. */
	localLimit: number | undefined;
};

/** Admits operations within each account's rate and burst over all VMs. */
export class AccountLimiter {
	readonly #accounts = new Map<string, AccountState>();
	#requestTokens: TokenRequester | undefined;
	/** Absent until the store told who the VMs are. */
	#memberCount: number | undefined;
	#isFlushScheduled = false;
	/** Since when the coordinator does not answer. */
	#localModeSince: number | undefined;

	readonly #startedAt: number;

	constructor(
		private readonly configuration: ConfigurationView,
		private readonly getSettings: AdjustableSettingsSource,
		private readonly clock: Clock,
		private readonly metrics: GatewayMetrics,
		private readonly log: EventLog,
	) {
		this.#startedAt = clock.now();
	}

	/** Sets the way to the coordinator. */
	setTokenRequester(requestTokens: TokenRequester): void {
		this.#requestTokens = requestTokens;
	}

	/** Sets how many VMs an account's limit is divided over while nobody coordinates. */
	setMemberCount(members: number): void {
		if (members > 0 && members !== this.#memberCount) {
			this.#memberCount = members;
			for (const state of this.#accounts.values()) {
				state.localLimit = undefined;
			}
		}
	}

	/**
	 * Takes the right to one operation.
	 * @returns Zero when it was there, else the time until there may be one, milliseconds.
	 */
	async acquireOperation(account: string): Promise<number> {
		const now = this.clock.now();
		const state = this.#getState(account);
		if (state.availableTokens > 0 && now < state.tokensExpireAt) {
			state.availableTokens -= 1;
			state.usage.add(1, now);
			return 0;
		}

		state.availableTokens = 0;
		if (now < state.rejectedUntil) {
			return state.rejectedUntil - now;
		}

		return new Promise(resolve => {
			state.waiters.push(resolve);
			this.#scheduleFlush();
		});
	}

	/** Takes back the right to an operation that never reached an instance: the next one of the account may use it. */
	releaseOperation(account: string): void {
		const state = this.#accounts.get(account);
		if (state === undefined) {
			return;
		}

		const now = this.clock.now();
		state.usage.add(-1, now);
		if (state.localLimit === undefined) {
			state.availableTokens = now < state.tokensExpireAt ? state.availableTokens + 1 : 1;
			state.tokensExpireAt = Math.max(state.tokensExpireAt, now + releasedTokenLifetimeMs);
		}
	}

	/** Describes an account's limit and who keeps it, for a refusal. */
	describeLimit(account: string): string {
		const limit = this.configuration.getAccount(account);
		const scope = this.#localModeSince === undefined ? 'over all VMs' : `kept by this VM alone, one of ${this.#memberCount ?? 'an unknown number'}`;
		return `${limit?.ratePerS ?? 0} operations a second, ${limit?.burst ?? 0} at once, ${scope}`;
	}

	#scheduleFlush(): void {
		if (!this.#isFlushScheduled) {
			this.#isFlushScheduled = true;
			setImmediate(() => {
				this.#isFlushScheduled = false;
				void this.#requestPendingTokens();
			});
		}
	}

	async #requestPendingTokens(): Promise<void> {
		const asked = new Map<string, Waiter[]>();
		const wants: Record<string, TokenDemand> = {};
		const now = this.clock.now();
		const prefetchFraction = (prefetchHorizonS * msPerSecond) / this.getSettings().limitWindowMs;
		for (const [account, state] of this.#accounts) {
			if (state.waiters.length > 0 && !state.isRequestPending) {
				state.isRequestPending = true;
				asked.set(account, state.waiters);
				wants[account] = {needed: state.waiters.length, extra: Math.floor(state.usage.getCount(now) * prefetchFraction)};
				state.waiters = [];
			}
		}

		if (asked.size === 0) {
			return;
		}

		const grants = await this.#requestTokens?.(wants);
		for (const [account, waiters] of asked) {
			const state = this.#getState(account);
			state.isRequestPending = false;
			const grant = grants?.[account];
			if (grant === undefined) {
				this.#applyLocalLimit(account, state, waiters);
			} else {
				this.#applyGrant(account, state, waiters, grant);
			}
		}

		if ([...this.#accounts.values()].some(state => state.waiters.length > 0)) {
			this.#scheduleFlush();
		}
	}

	#applyGrant(account: string, state: AccountState, waiters: readonly Waiter[], grant: TokenGrant): void {
		const now = this.clock.now();
		state.localLimit = undefined;
		if (this.#localModeSince !== undefined) {
			this.log.logEvent('limits.shared', {localMs: Math.round(now - this.#localModeSince)});
			this.#localModeSince = undefined;
		}

		for (const [index, settle] of waiters.entries()) {
			if (index < grant.count) {
				state.usage.add(1, now);
				settle(0);
			} else {
				settle(Math.max(1, grant.waitMs));
			}
		}

		state.availableTokens = (now < state.tokensExpireAt ? state.availableTokens : 0) + Math.max(0, grant.count - waiters.length);
		state.tokensExpireAt = now + prefetchedTokenLifetimeMs;
		if (grant.waitMs > 0) {
			state.rejectedUntil = now + Math.min(maxRejectionCacheMs, grant.waitMs);
		}
	}

	#applyLocalLimit(account: string, state: AccountState, waiters: readonly Waiter[]): void {
		const now = this.clock.now();
		this.metrics.addCount('limit_unheard');
		if (this.#localModeSince === undefined) {
			this.#localModeSince = now;
			this.log.logEvent('limits.local', {members: this.#memberCount ?? 0});
		}

		if (this.#memberCount === undefined) {
			// Nothing runs before the store has told of terms and VMs: what waits for that is not over its limit.
			for (const settle of waiters) {
				state.usage.add(1, now);
				settle(0);
			}

			return;
		}

		state.localLimit ??= this.#computeLocalLimit(account, this.#memberCount, state, now);
		const maxUsage = Math.max(1, state.localLimit * this.#getUsableFraction(now));
		for (const settle of waiters) {
			if (state.usage.getCount(now) + 1 <= maxUsage) {
				state.usage.add(1, now);
				settle(0);
			} else {
				settle(state.usage.getWaitMs(maxUsage - 1, now));
			}
		}
	}

	/** Returns what this VM may use of an account's limit in a window without asking. */
	#computeLocalLimit(account: string, members: number, state: AccountState, now: number): number {
		const {limitWindowMs} = this.getSettings();
		const limit = this.configuration.getAccount(account);
		return limit === undefined ? 0 : countAllowedInIsolation(limit, limitWindowMs, members, state.usage.getCount(now));
	}

	/** Returns the part of a window of which this process knows what its VM used. */
	#getUsableFraction(now: number): number {
		return Math.min(1, initialLimitFraction + ((now - this.#startedAt) / this.getSettings().limitWindowMs));
	}

	#getState(account: string): AccountState {
		let state = this.#accounts.get(account);
		if (state === undefined) {
			state = {
				availableTokens: 0, tokensExpireAt: 0, rejectedUntil: 0, isRequestPending: false, waiters: [], usage: new SlidingWindowCounter(this.getSettings().limitWindowMs), localLimit: undefined,
			};
			this.#accounts.set(account, state);
		}

		return state;
	}
}
