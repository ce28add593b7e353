import {
	observePace, TokenBucket, unheardPaceFactor, type TokenGrant, type TokenWant,
} from '@chicorysaddle/decisions';
import {type ConfigurationView} from '../configuration/index.js';
import {type DecisionLog, type GatewayMetrics} from '../observability/index.js';
import {type Clock} from '../ports/index.js';

/** Asks the coordinator for tokens; undefined when it does not answer. */
export type TokenChannel = (wants: Readonly<Record<string, TokenWant>>) => Promise<Readonly<Record<string, TokenGrant>> | undefined>;

/** Time for which tokens that were given ahead of need may be used, milliseconds. */
const stockMs = 1000;

/** Time of demand for which tokens are asked ahead, seconds. */
const aheadS = 0.3;

/** Longest time for which a refusal of the coordinator is repeated without asking, milliseconds. */
const repeatMs = 150;

/** Operations of one account that may be admitted at once without word from the coordinator. */
const unheardBurst = 1;

type Waiter = (waitMs: number) => void;

type AccountState = {
	stock: number;
	stockUntil: number;
	deniedUntil: number;
	isAsking: boolean;
	waiting: Waiter[];
	/** Limit while the coordinator does not answer: the pace of before. */
	unheard: TokenBucket | undefined;
};

/** Admits operations within each account's rate and burst over all VMs. */
export class AccountLimiter {
	readonly #accounts = new Map<string, AccountState>();
	readonly #paces = new Map<string, {perS: number; at: number}>();
	#channel: TokenChannel | undefined;
	#members = 1;
	#isFlushing = false;
	/** Since when the coordinator does not answer. */
	#localSince: number | undefined;

	constructor(private readonly configuration: ConfigurationView, private readonly clock: Clock, private readonly metrics: GatewayMetrics, private readonly log: DecisionLog) {}

	/** Sets the way to the coordinator. */
	setChannel(channel: TokenChannel): void {
		this.#channel = channel;
	}

	/** Sets how many VMs an account's limit is divided over while nobody coordinates. */
	setMembers(members: number): void {
		this.#members = Math.max(1, members);
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
			observePace(this.#paces, account, 1, now);
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

	/** Describes an account's limit and who keeps it, for a refusal. */
	describeLimit(account: string): string {
		const limit = this.configuration.getAccount(account);
		const keeper = this.#localSince === undefined ? 'over all VMs' : `kept by this VM alone, one of ${this.#members}`;
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
		const wants: Record<string, TokenWant> = {};
		for (const [account, state] of this.#accounts) {
			if (state.waiting.length > 0 && !state.isAsking) {
				state.isAsking = true;
				asked.set(account, state.waiting);
				wants[account] = {needed: state.waiting.length, extra: Math.floor((this.#paces.get(account)?.perS ?? 0) * aheadS)};
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
		state.unheard = undefined;
		if (this.#localSince !== undefined) {
			this.log.logEvent('limits.shared', {localMs: Math.round(now - this.#localSince)});
			this.#localSince = undefined;
		}

		for (const [index, settle] of waiters.entries()) {
			if (index < grant.count) {
				observePace(this.#paces, account, 1, now);
				settle(0);
			} else {
				settle(Math.max(1, grant.waitMs));
			}
		}

		state.stock = Math.max(0, grant.count - waiters.length);
		state.stockUntil = now + stockMs;
		if (grant.waitMs > 0) {
			state.deniedUntil = now + Math.min(repeatMs, grant.waitMs);
		}
	}

	#settleUnheard(account: string, state: AccountState, waiters: readonly Waiter[]): void {
		const now = this.clock.now();
		const limit = this.configuration.getAccount(account);
		const even = (limit?.ratePerS ?? 0) / this.#members;
		this.metrics.addCount('limit_unheard');
		if (this.#localSince === undefined) {
			this.#localSince = now;
			this.log.logEvent('limits.local', {members: this.#members});
		}

		state.unheard ??= new TokenBucket({
			ratePerS: Math.max(even, (this.#paces.get(account)?.perS ?? 0) * unheardPaceFactor), burst: Math.max(unheardBurst, (limit?.burst ?? 0) / this.#members),
		}, unheardBurst, now);
		for (const settle of waiters) {
			settle(state.unheard.takeToken(now, 0) ? 0 : Math.max(1, state.unheard.getWaitMs(now)));
		}
	}

	#getState(account: string): AccountState {
		let state = this.#accounts.get(account);
		if (state === undefined) {
			state = {
				stock: 0, stockUntil: 0, deniedUntil: 0, isAsking: false, waiting: [], unheard: undefined,
			};
			this.#accounts.set(account, state);
		}

		return state;
	}
}
