import {
	type AccountUsage, countAllowedLocally, type LocalUsage, SlidingWindowCounter, type TokenGrant, type TokenDemand, UrgentReserve, type UsageStatement,
} from '@chicorysaddle/decisions';
import {getOwnValue} from '@chicorysaddle/model';
import {type ConfigurationView} from '../configuration/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type AdjustableSettingsSource, type Clock} from '../ports/index.js';
import {type BackgroundTasks} from '../tasks/index.js';

/** Requests tokens from the coordinator; resolves to undefined if it does not respond. */
export type TokenRequester = (demands: Readonly<Record<string, TokenDemand>>) => Promise<Readonly<Record<string, TokenGrant>> | undefined>;

/** Lifetime of tokens granted ahead of demand, in milliseconds. */
const prefetchedTokenLifetimeMs = 500;

/** Time ahead for which tokens are prefetched, in seconds. */
const prefetchHorizonS = 0.3;

/** Maximum time for which a rejection by the coordinator is cached, in milliseconds. */
const maxRejectionCacheMs = 150;

/** Minimum lifetime of a released token, in milliseconds: long enough for the next statements of the account. */
const releasedTokenLifetimeMs = 300;

/** Retry delay of operations on which no decision could be made because of an error, in milliseconds. */
const undecidedRetryMs = 200;

const msPerSecond = 1000;

/** Dependencies of an `AccountLimiter`. */
export type AccountLimiterDependencies = {
	readonly configuration: ConfigurationView;
	readonly getSettings: AdjustableSettingsSource;
	readonly clock: Clock;
	readonly metrics: GatewayMetrics;
	readonly log: EventLog;
	readonly tasks: BackgroundTasks;
};

/** An operation that waits for a token. */
type Waiter = {
	readonly isUrgent: boolean;
	/** Resolves it with the time after which to retry, in milliseconds; 0 admits it. */
	readonly settle: (waitMs: number) => void;
};

type AccountState = {
	availableTokens: number;
	/** Monotonic time at which the available tokens expire, in milliseconds. */
	tokensExpireAt: number;
	/** Monotonic time until which operations without a token are rejected, in milliseconds; for urgent ones, and for the others. */
	urgentRejectedUntil: number;
	rejectedUntil: number;
	isRequestPending: boolean;
	waiters: Waiter[];
	/** Tokens kept for urgent operations while this VM enforces its limit alone. */
	readonly reserve: UrgentReserve;
	/** Operations admitted by this VM in the sliding window. */
	readonly usage: SlidingWindowCounter;
	/** Operations admitted without tokens that no coordinator was told of yet, and those of a report that is not confirmed. */
	admitted: SlidingWindowCounter;
	reported: SlidingWindowCounter;
	/** Operations that the account had left over all VMs, according to the last grant; undefined if none stated it. */
	lastFree: {readonly count: number; readonly at: number} | undefined;
	/** Operations of the account over all VMs, according to the last grant; undefined if none stated them. */
	lastStated: UsageStatement | undefined;
	/** Usage when this VM began to enforce the limit alone; undefined while the coordinator responds. */
	local: (LocalUsage & {readonly since: number}) | undefined;
};

/** Enforces each account's rate and burst limit across all VMs. */
export class AccountLimiter {
	readonly #accounts = new Map<string, AccountState>();
	/** Monotonic time at which the states of dropped accounts were removed last, in milliseconds. */
	#cleanedAt = Number.NEGATIVE_INFINITY;
	#requestTokens: TokenRequester | undefined;
	/** Number of VMs; undefined until it is read from the store or reported by the coordinator. */
	#memberCount: number | undefined;
	#isTokenRequestScheduled = false;
	/** Monotonic time since which limits are enforced locally, in milliseconds; undefined while the coordinator responds. */
	#localModeSince: number | undefined;

	constructor(private readonly dependencies: AccountLimiterDependencies) {}

	/** Sets the function that requests tokens from the coordinator. */
	setTokenRequester(requestTokens: TokenRequester): void {
		this.#requestTokens = requestTokens;
	}

	/** Sets the number of VMs to divide each account's limit by while there is no coordinator. */
	setMemberCount(memberCount: number): void {
		if (memberCount > 0) {
			this.#memberCount = memberCount;
		}
	}

	/** Returns the usage of all accounts with operations in the last window, for a coordinator that may not know it. */
	createUsageReport(): AccountUsage[] {
		const now = this.dependencies.clock.now();
		return [...this.#accounts].flatMap(([account, state]) => {
			state.admitted.moveTo(state.reported, 1, now);
			const counts = state.usage.exportCounts(now);
			const stated = state.lastStated !== undefined && now - state.lastStated.at < this.dependencies.getSettings().limitWindowMs ? state.lastStated : undefined;
			return counts.length === 0 && stated === undefined
				? []
				: [{
					account, admitted: state.reported.exportCounts(now), counts, stated,
				}];
		});
	}

	/** Records that the coordinator received the last report of the usage. */
	confirmUsageReport(): void {
		for (const state of this.#accounts.values()) {
			state.reported = this.#createCounter();
		}
	}

	/**
	 * Acquires a token for one operation.
	 * @param isUrgent - Whether the operation is preferred when the account exceeds its limit.
	 * @returns 0 if the operation is admitted, otherwise the time after which to retry, in milliseconds.
	 */
	async acquireToken(account: string, isUrgent: boolean): Promise<number> {
		const now = this.dependencies.clock.now();
		const state = this.#getState(account);
		if (state.availableTokens > 0 && now < state.tokensExpireAt) {
			state.availableTokens -= 1;
			state.usage.add(1, now);
			return 0;
		}

		state.availableTokens = 0;
		const rejectedUntil = isUrgent ? state.urgentRejectedUntil : state.rejectedUntil;
		if (now < rejectedUntil) {
			return rejectedUntil - now;
		}

		return new Promise(resolve => {
			state.waiters.push({isUrgent, settle: resolve});
			this.#scheduleTokenRequest();
		});
	}

	/** Releases the token of an operation that never reached an instance, for the next operation of the account. */
	releaseToken(account: string): void {
		const state = this.#accounts.get(account);
		if (state === undefined) {
			return;
		}

		const now = this.dependencies.clock.now();
		state.usage.add(-1, now);
		if (state.local === undefined) {
			state.availableTokens = now < state.tokensExpireAt ? state.availableTokens + 1 : 1;
			state.tokensExpireAt = Math.max(state.tokensExpireAt, now + releasedTokenLifetimeMs);
		} else {
			state.admitted.add(-1, now);
		}
	}

	/** Describes an account's limit, and whether it is enforced across all VMs or by this one alone, for a refusal message. */
	formatLimit(account: string): string {
		const limit = this.dependencies.configuration.getAccount(account);
		const scope = this.#localModeSince === undefined ? 'over all VMs' : `kept by this VM alone, one of ${this.#memberCount ?? 'an unknown number'}`;
		return `${limit?.ratePerS ?? 0} operations a second, ${limit?.burst ?? 0} at once, ${scope}`;
	}

	#scheduleTokenRequest(): void {
		if (!this.#isTokenRequestScheduled) {
			this.#isTokenRequestScheduled = true;
			setImmediate(() => {
				this.#isTokenRequestScheduled = false;
				this.dependencies.tasks.run('token request', async () => this.#requestPendingTokens());
			});
		}
	}

	async #requestPendingTokens(): Promise<void> {
		const waitersByAccount = new Map<string, Waiter[]>();
		const admittedByAccount = new Map<string, SlidingWindowCounter>();
		const demands = new Map<string, TokenDemand>();
		const now = this.dependencies.clock.now();
		const prefetchFraction = (prefetchHorizonS * msPerSecond) / this.dependencies.getSettings().limitWindowMs;
		for (const [account, state] of this.#accounts) {
			if (state.waiters.length > 0 && !state.isRequestPending) {
				state.isRequestPending = true;
				const urgent = state.waiters.filter(({isUrgent}) => isUrgent);
				waitersByAccount.set(account, [...urgent, ...state.waiters.filter(({isUrgent}) => !isUrgent)]);
				demands.set(account, {
					needed: state.waiters.length, urgent: urgent.length === 0 ? undefined : urgent.length, extra: Math.floor(state.usage.getCount(now) * prefetchFraction), admitted: state.admitted.getCount(now) === 0 ? undefined : state.admitted.exportCounts(now),
				});
				admittedByAccount.set(account, state.admitted);
				state.admitted = this.#createCounter();
				state.waiters = [];
			}
		}

		if (waitersByAccount.size === 0) {
			return;
		}

		const grants = await this.#tryRequestTokens(Object.fromEntries(demands));
		for (const [account, waiters] of waitersByAccount) {
			const state = this.#getState(account);
			state.isRequestPending = false;
			const isDecided = this.dependencies.tasks.tryCall('token request', () => {
				const grant = grants && getOwnValue(grants, account);
				if (grant === undefined) {
					admittedByAccount.get(account)!.moveTo(state.admitted, 1, this.dependencies.clock.now());
					this.#applyLocalLimit(account, state, waiters);
				} else {
					this.#applyGrant(state, waiters, {grant, requestedAt: now});
				}
			});
			for (const {settle} of isDecided ? [] : waiters) {
				settle(undecidedRetryMs);
			}
		}

		if ([...this.#accounts.values()].some(state => state.waiters.length > 0)) {
			this.#scheduleTokenRequest();
		}
	}

	/** Requests tokens; an error counts as no answer of the coordinator. */
	async #tryRequestTokens(demands: Readonly<Record<string, TokenDemand>>): ReturnType<TokenRequester> {
		try {
			return await this.#requestTokens?.(demands);
		} catch (error) {
			this.dependencies.tasks.recordFailure('token request', error);
			return undefined;
		}
	}

	/** @param waiters - The waiting operations, urgent ones first. */
	#applyGrant(state: AccountState, waiters: readonly Waiter[], {grant, requestedAt}: {readonly grant: TokenGrant; readonly requestedAt: number}): void {
		const now = this.dependencies.clock.now();
		state.local = undefined;
		state.lastFree = grant.free === undefined ? state.lastFree : {count: grant.free, at: now};
		state.lastStated = grant.used === undefined ? state.lastStated : {used: grant.used, at: requestedAt};
		if (this.#localModeSince !== undefined) {
			this.dependencies.log.logEvent('limits.shared', {localMs: Math.round(now - this.#localModeSince)});
			this.#localModeSince = undefined;
		}

		for (const [index, {settle}] of waiters.entries()) {
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
			state.urgentRejectedUntil = waiters[grant.count]?.isUrgent === true ? state.rejectedUntil : state.urgentRejectedUntil;
		}
	}

	#applyLocalLimit(account: string, state: AccountState, waiters: readonly Waiter[]): void {
		const now = this.dependencies.clock.now();
		this.dependencies.metrics.addCount('limit_unheard');
		if (this.#localModeSince === undefined) {
			this.#localModeSince = now;
			this.dependencies.log.logEvent('limits.local', {members: this.#memberCount ?? 0});
		}

		if (this.#memberCount === undefined) {
			// Without members there are no terms, and no statement runs, so admitting these operations does not exceed the limit.
			for (const {settle} of waiters) {
				this.#admitLocally(state, settle, now);
			}

			return;
		}

		const maxUsage = Math.max(1, this.#countAllowedLocally(account, this.#memberCount, state, now));
		state.reserve.recordUrgent(waiters.filter(({isUrgent}) => isUrgent).length, now);
		for (const {isUrgent, settle} of waiters) {
			const usableCount = maxUsage - 1 - (isUrgent ? 0 : state.reserve.getReserve(maxUsage, now));
			if (state.usage.getCount(now) <= usableCount) {
				this.#admitLocally(state, settle, now);
			} else {
				settle(state.usage.getWaitMs(usableCount, now));
			}
		}
	}

	#admitLocally(state: AccountState, settle: Waiter['settle'], now: number): void {
		this.dependencies.metrics.addCount('limit_admitted_locally');
		state.admitted.add(1, now);
		state.usage.add(1, now);
		settle(0);
	}

	/** Returns the operations that this VM may admit without the coordinator in the window that ends now. */
	#countAllowedLocally(account: string, memberCount: number, state: AccountState, now: number): number {
		const {limitWindowMs} = this.dependencies.getSettings();
		const limit = this.dependencies.configuration.getAccount(account);
		state.local ??= {
			used: state.usage.getCount(now), free: state.lastFree?.count ?? 0, freeAgeMs: now - (state.lastFree?.at ?? Number.NEGATIVE_INFINITY), since: now,
		};
		return limit === undefined ? 0 : countAllowedLocally(limit, limitWindowMs, memberCount, state.local, now - state.local.since);
	}

	/** Removes the states of accounts that the configuration lacks and that have no operations in the last window, at most once in a window. */
	#removeDroppedAccounts(): void {
		const {configuration, clock, getSettings} = this.dependencies;
		const {limitWindowMs} = getSettings();
		const now = clock.now();
		if (now - this.#cleanedAt < limitWindowMs) {
			return;
		}

		this.#cleanedAt = now;
		for (const [account, state] of this.#accounts) {
			const isWaiting = state.waiters.length > 0 || state.isRequestPending;
			const isStated = state.lastStated !== undefined && now - state.lastStated.at < limitWindowMs;
			if (configuration.getAccount(account) === undefined && !isWaiting && !isStated && now >= state.tokensExpireAt && state.usage.getCount(now) === 0) {
				this.#accounts.delete(account);
			}
		}
	}

	#createCounter(): SlidingWindowCounter {
		return new SlidingWindowCounter(this.dependencies.getSettings().limitWindowMs);
	}

	#getState(account: string): AccountState {
		let state = this.#accounts.get(account);
		if (state === undefined) {
			this.#removeDroppedAccounts();
			state = {
				availableTokens: 0, tokensExpireAt: 0, urgentRejectedUntil: 0, rejectedUntil: 0, isRequestPending: false, waiters: [], reserve: new UrgentReserve(), usage: this.#createCounter(),
				admitted: this.#createCounter(), reported: this.#createCounter(), lastFree: undefined, lastStated: undefined, local: undefined,
			};
			this.#accounts.set(account, state);
		}

		return state;
	}
}
