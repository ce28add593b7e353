import {
	countAllowedInIsolation, SlidingWindowCounter, type TokenGrant, type TokenDemand,
} from '@chicorysaddle/decisions';
import {type ConfigurationView} from '../configuration/index.js';
import {type DecisionLog, type GatewayMetrics} from '../observability/index.js';
import {type AdjustableSettingsSource, type Clock} from '../ports/index.js';

/** Asks the coordinator for tokens; undefined when it does not answer. */
export type TokenChannel = (wants: Readonly<Record<string, TokenDemand>>) => Promise<Readonly<Record<string, TokenGrant>> | undefined>;

/** Time for which tokens that were given ahead of need may be used, milliseconds. */
const stockMs = 500;

/** Time of demand for which tokens are asked ahead, seconds. */
const aheadS = 0.3;

/** Longest time for which a refusal of the coordinator is repeated without asking, milliseconds. */
const repeatMs = 150;

/** Time for which a token that was given back may be used again, milliseconds: the next statements of the account. */
const givenBackMs = 300;

/** Part of its share that a process without word from the coordinator begins with: what its VM used in the window before is not known. */
const youngPart = 0.1;

const msPerSecond = 1000;

type Waiter = (waitMs: number) => void;

type AccountState = {
	stock: number;
	stockUntil: number;
	deniedUntil: number;
	isAsking: boolean;
	waiting: Waiter[];
	/** What this VM used in the window. */
	readonly used: SlidingWindowCounter;
	/** What this VM may use in a window while the coordinator does not answer. */
	unheardMost: number | undefined;
};

/** Admits operations within each account's rate and burst over all VMs. */
export class AccountLimiter {
	readonly #accounts = new Map<string, AccountState>();
	#channel: TokenChannel | undefined;
	/** Absent until the store told who the VMs are. */
	#members: number | undefined;
	#isFlushing = false;
	/** Since when the coordinator does not answer. */
	#localSince: number | undefined;

	readonly #startedAt: number;

	constructor(
		private readonly configuration: ConfigurationView,
		private readonly getSettings: AdjustableSettingsSource,
		private readonly clock: Clock,
		private readonly metrics: GatewayMetrics,
		private readonly log: DecisionLog,
	) {
		this.#startedAt = clock.now();
	}

	/** Sets the way to the coordinator. */
	setChannel(channel: TokenChannel): void {
		this.#channel = channel;
	}

	/** Sets how many VMs an account's limit is divided over while nobody coordinates. */
	setMembers(members: number): void {
		if (members > 0 && members !== this.#members) {
			this.#members = members;
			for (const state of this.#accounts.values()) {
				state.unheardMost = undefined;
			}
		}
	}

	/**
	 * Takes the right to one operation.
	 * @returns Zero when it was there, else the time until there may be one, milliseconds.
	 */
	async takeOperation(account: string): Promise<number> {
		const now = this.clock.now();
		const state = this.#getState(account);
		if (state.stock > 0 && now < state.stockUntil) {
			state.stock -= 1;
			state.used.add(1, now);
			return 0;
		}

		state.stock = 0;
		if (now < state.deniedUntil) {
			return state.deniedUntil - now;
		}

		return new Promise(resolve => {
			state.waiting.push(resolve);
			this.#flushSoon();
		});
	}

	/** Takes back the right to an operation that never reached an instance: the next one of the account may use it. */
	giveBack(account: string): void {
		const state = this.#accounts.get(account);
		if (state === undefined) {
			return;
		}

		const now = this.clock.now();
		state.used.add(-1, now);
		if (state.unheardMost === undefined) {
			state.stock = now < state.stockUntil ? state.stock + 1 : 1;
			state.stockUntil = Math.max(state.stockUntil, now + givenBackMs);
		}
	}

	/** Describes an account's limit and who keeps it, for a refusal. */
	describeLimit(account: string): string {
		const limit = this.configuration.getAccount(account);
		const keeper = this.#localSince === undefined ? 'over all VMs' : `kept by this VM alone, one of ${this.#members ?? 'an unknown number'}`;
		return `${limit?.ratePerS ?? 0} operations a second, ${limit?.burst ?? 0} at once, ${keeper}`;
	}

	#flushSoon(): void {
		if (!this.#isFlushing) {
			this.#isFlushing = true;
			setImmediate(() => {
				this.#isFlushing = false;
				void this.#flush();
			});
		}
	}

	async #flush(): Promise<void> {
		const asked = new Map<string, Waiter[]>();
		const wants: Record<string, TokenDemand> = {};
		const now = this.clock.now();
		const aheadPart = (aheadS * msPerSecond) / this.getSettings().limitWindowMs;
		for (const [account, state] of this.#accounts) {
			if (state.waiting.length > 0 && !state.isAsking) {
				state.isAsking = true;
				asked.set(account, state.waiting);
				wants[account] = {needed: state.waiting.length, extra: Math.floor(state.used.getCount(now) * aheadPart)};
				state.waiting = [];
			}
		}

		if (asked.size === 0) {
			return;
		}

		const grants = await this.#channel?.(wants);
		for (const [account, waiters] of asked) {
			const state = this.#getState(account);
			state.isAsking = false;
			const grant = grants?.[account];
			if (grant === undefined) {
				this.#settleUnheard(account, state, waiters);
			} else {
				this.#settle(account, state, waiters, grant);
			}
		}

		if ([...this.#accounts.values()].some(state => state.waiting.length > 0)) {
			this.#flushSoon();
		}
	}

	#settle(account: string, state: AccountState, waiters: readonly Waiter[], grant: TokenGrant): void {
		const now = this.clock.now();
		state.unheardMost = undefined;
		if (this.#localSince !== undefined) {
			this.log.logEvent('limits.shared', {localMs: Math.round(now - this.#localSince)});
			this.#localSince = undefined;
		}

		for (const [index, settle] of waiters.entries()) {
			if (index < grant.count) {
				state.used.add(1, now);
				settle(0);
			} else {
				settle(Math.max(1, grant.waitMs));
			}
		}

		state.stock = (now < state.stockUntil ? state.stock : 0) + Math.max(0, grant.count - waiters.length);
		state.stockUntil = now + stockMs;
		if (grant.waitMs > 0) {
			state.deniedUntil = now + Math.min(repeatMs, grant.waitMs);
		}
	}

	#settleUnheard(account: string, state: AccountState, waiters: readonly Waiter[]): void {
		const now = this.clock.now();
		this.metrics.addCount('limit_unheard');
		if (this.#localSince === undefined) {
			this.#localSince = now;
			this.log.logEvent('limits.local', {members: this.#members ?? 0});
		}

		if (this.#members === undefined) {
			// Nothing runs before the store has told of terms and VMs: what waits for that is not over its limit.
			for (const settle of waiters) {
				state.used.add(1, now);
				settle(0);
			}

			return;
		}

		state.unheardMost ??= this.#chooseUnheardMost(account, this.#members, state, now);
		const most = Math.max(1, state.unheardMost * this.#getKnownPart(now));
		for (const settle of waiters) {
			if (state.used.getCount(now) + 1 <= most) {
				state.used.add(1, now);
				settle(0);
			} else {
				settle(state.used.getWaitMs(most - 1, now));
			}
		}
	}

	/** Returns what this VM may use of an account's limit in a window without asking. */
	#chooseUnheardMost(account: string, members: number, state: AccountState, now: number): number {
		const {limitWindowMs} = this.getSettings();
		const limit = this.configuration.getAccount(account);
		return limit === undefined ? 0 : countAllowedInIsolation(limit, limitWindowMs, members, state.used.getCount(now));
	}

	/** Returns the part of a window of which this process knows what its VM used. */
	#getKnownPart(now: number): number {
		return Math.min(1, youngPart + ((now - this.#startedAt) / this.getSettings().limitWindowMs));
	}

	#getState(account: string): AccountState {
		let state = this.#accounts.get(account);
		if (state === undefined) {
			state = {
				stock: 0, stockUntil: 0, deniedUntil: 0, isAsking: false, waiting: [], used: new SlidingWindowCounter(this.getSettings().limitWindowMs), unheardMost: undefined,
			};
			this.#accounts.set(account, state);
		}

		return state;
	}
}
