import {type BucketLimit, TokenBucket} from './token-bucket.js';

/** What a VM wants of one account's limit. */
export type TokenWant = {
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
export type TokenRequestOptions = {
	readonly vm: string;
	readonly account: string;
	readonly want: TokenWant;
	/** Limit of the account over all VMs. */
	readonly limit: BucketLimit;
};

/** Part of the limit by which the sum may exceed it: half of the overage that deployments allow. */
const rateFactor = 1.05;

/** Part of a burst that a new issuer begins with: it does not know what its predecessor gave. */
const initialBurstPart = 0.3;

/** Fill of a bucket above which tokens are given ahead of need. */
const extraFill = 0.5;

/** Time over which a VM's pace is averaged, milliseconds. */
const paceWindowMs = 3000;

/** Factor on its former pace at which a VM goes on that cannot ask. */
export const unheardPaceFactor = 1.2;

/** Least part of a limit that is given out, however much silent VMs may use. */
const leastPart = 0.3;

const msPerSecond = 1000;

type Pace = {perS: number; at: number};

type AccountTokens = {
	readonly bucket: TokenBucket;
	limit: BucketLimit;
	/** What each VM was given lately. */
	readonly paces: Map<string, Pace>;
};

/** Gives out the operations of each account to the VMs, from one bucket an account. */
export class TokenIssuer {
	readonly #accounts = new Map<string, AccountTokens>();

	/**
	 * Gives tokens to a VM.
	 * @param silent - VMs that cannot ask now and go on at their former pace.
	 * @param now - Steady time in milliseconds.
	 */
	issue({vm, account, want, limit}: TokenRequestOptions, silent: readonly string[], now: number): TokenGrant {
		const state = this.#getState(account, limit, now);
		state.bucket.setLimit(this.#reduceLimit(state, limit, silent), now);
		let count = 0;
		while (count < want.needed && state.bucket.takeToken(now, 0)) {
			count += 1;
		}

		if (count < want.needed) {
			observePace(state.paces, vm, count, now);
			return {count, waitMs: Math.max(1, state.bucket.getWaitMs(now))};
		}

		while (count < want.needed + want.extra && state.bucket.getFill(now) > extraFill && state.bucket.takeToken(now, 0)) {
			count += 1;
		}

		observePace(state.paces, vm, count, now);
		return {count, waitMs: 0};
	}

	/** Forgets the pace of a VM whose process began anew. */
	removeVm(vm: string): void {
		for (const {paces} of this.#accounts.values()) {
			paces.delete(vm);
		}
	}

	#getState(account: string, limit: BucketLimit, now: number): AccountTokens {
		let state = this.#accounts.get(account);
		if (state === undefined) {
			state = {bucket: new TokenBucket(limit, limit.burst * initialBurstPart, now), limit, paces: new Map()};
			this.#accounts.set(account, state);
		}

		return state;
	}

	#reduceLimit(state: AccountTokens, limit: BucketLimit, silent: readonly string[]): BucketLimit {
		let reserved = 0;
		for (const vm of silent) {
			reserved += (state.paces.get(vm)?.perS ?? 0) * unheardPaceFactor;
		}

		return {ratePerS: Math.max(limit.ratePerS * leastPart, (limit.ratePerS * rateFactor) - reserved), burst: limit.burst};
	}
}

/** Takes in operations into an average that decays with time. */
export function observePace(paces: Map<string, Pace>, key: string, count: number, now: number): void {
	const pace = paces.get(key) ?? {perS: 0, at: now};
	const kept = Math.exp(-(now - pace.at) / paceWindowMs);
	paces.set(key, {perS: (pace.perS * kept) + ((count * msPerSecond) / paceWindowMs), at: now});
}
