import {
	type BucketLimit, evenPart, getEvenShare, TokenBucket,
} from '@chicorysaddle/decisions';
import {type ConfigurationView} from '../configuration/index.js';
import {type Clock} from '../ports/index.js';

/** Time for which a share holds without being renewed, milliseconds: four heartbeats. */
const shareLeaseMs = 2000;

/** Time over which demand is averaged, milliseconds. */
const demandWindowMs = 1000;

/** Operations that one VM may admit beyond its share before the coordinator has followed its demand. */
const overdraft = 2;

type AccountState = {
	readonly bucket: TokenBucket;
	limit: BucketLimit;
	asked: number;
	demandPerS: number;
};

/** Keeps this VM's part of each account's rate and burst. */
export class AccountLimiter {
	readonly #accounts = new Map<string, AccountState>();
	#members = 1;
	#shares: Readonly<Record<string, BucketLimit>> = {};
	#sharesUntil = Number.NEGATIVE_INFINITY;
	#measuredAt: number;

	constructor(private readonly configuration: ConfigurationView, private readonly clock: Clock) {
		this.#measuredAt = clock.now();
	}

	/** Sets how many VMs may hold a share. */
	setMembers(members: number): void {
		this.#members = Math.max(1, members);
	}

	/**
	 * Takes the right to one operation.
	 * @returns Zero when it was there, else the time until there is one, milliseconds.
	 */
	takeOperation(account: string): number {
		const now = this.clock.now();
		const state = this.#getState(account, now);
		state.asked += 1;
		this.#updateLimit(account, state, now);
		return state.bucket.takeToken(now, overdraft) ? 0 : Math.max(1, state.bucket.getWaitMs(now));
	}

	/**
	 * Takes in this VM's shares; an account that is not among them keeps the part that does not follow demand.
	 * @param at - Steady time at which the shares were asked for, milliseconds.
	 */
	applyShares(shares: Readonly<Record<string, BucketLimit>>, at: number): void {
		this.#shares = shares;
		this.#sharesUntil = at + shareLeaseMs;
	}

	/** Returns the operations a second that callers asked for, by account. */
	measureDemands(): Record<string, number> {
		const now = this.clock.now();
		const elapsed = Math.max(1, now - this.#measuredAt);
		const weight = Math.min(1, elapsed / demandWindowMs);
		this.#measuredAt = now;
		const demands: Record<string, number> = {};
		for (const [name, state] of this.#accounts) {
			state.demandPerS += weight * (((state.asked * 1000) / elapsed) - state.demandPerS);
			state.asked = 0;
			demands[name] = Math.round(state.demandPerS * 10) / 10;
		}

		return demands;
	}

	#getState(account: string, now: number): AccountState {
		let state = this.#accounts.get(account);
		if (state === undefined) {
			const limit = this.#getEvenShare(account);
			state = {
				bucket: new TokenBucket(limit, limit.burst, now), limit, asked: 0, demandPerS: 0,
			};
			this.#accounts.set(account, state);
		}

		return state;
	}

	#updateLimit(account: string, state: AccountState, now: number): void {
		const limit = now < this.#sharesUntil ? this.#shares[account] ?? this.#getFloorShare(account) : this.#getEvenShare(account);
		if (limit.ratePerS !== state.limit.ratePerS || limit.burst !== state.limit.burst) {
			state.limit = limit;
			state.bucket.setLimit(limit, now);
		}
	}

	#getFloorShare(name: string): BucketLimit {
		const share = this.#getEvenShare(name);
		return {ratePerS: share.ratePerS * evenPart, burst: share.burst * evenPart};
	}

	#getEvenShare(name: string): BucketLimit {
		const account = this.configuration.getAccount(name);
		return account === undefined ? {ratePerS: 0, burst: 0} : getEvenShare({ratePerS: account.ratePerS, burst: account.burst}, this.#members);
	}
}
