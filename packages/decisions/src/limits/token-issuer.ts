import {type BucketLimit} from './token-bucket.js';
import {WindowLimit} from './window-limit.js';

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

/** Part of a burst that a new issuer begins with: it does not know what its predecessor gave. */
const initialBurstPart = 0.3;

/** Fill of a bucket above which tokens are given ahead of need. */
const extraFill = 0.5;

/** Factor on what it used in the last window to which a VM goes on that cannot ask: the overage that deployments allow. */
export const unheardFactor = 1.1;

/** Least part of a limit that is given out, however much silent VMs may use. */
const leastPart = 0.3;

/** Time over which a VM's pace is averaged, milliseconds. */
const paceWindowMs = 3000;

const msPerSecond = 1000;

type Pace = {perS: number; at: number};

type AccountTokens = {
	readonly limit: WindowLimit;
	/** What each VM was given lately. */
	readonly paces: Map<string, Pace>;
};

/** Gives out the operations of each account to the VMs. */
export class TokenIssuer {
	readonly #accounts = new Map<string, AccountTokens>();

	/** @param windowMs - Window over which limits hold, milliseconds. */
	constructor(private readonly windowMs: number) {}

	/**
	 * Gives tokens to a VM.
	 * @param silent - VMs that cannot ask now and go on at their former pace.
	 * @param now - Steady time in milliseconds.
	 */
	issue({vm, account, want, limit}: TokenRequestOptions, silent: readonly string[], now: number): TokenGrant {
		const state = this.#getState(account, limit, now);
		state.limit.setLimit(limit, this.#countReserved(state, silent), leastPart, now);
		let count = 0;
		while (count < want.needed && state.limit.takeToken(now)) {
			count += 1;
		}

		const isShort = count < want.needed;
		const most = isShort ? count : want.needed + want.extra;
		while (count < most && state.limit.getFill(now) > extraFill && state.limit.takeToken(now)) {
			count += 1;
		}

		observePace(state.paces, vm, count, now);
		return {count, waitMs: isShort ? Math.max(1, state.limit.getWaitMs(now)) : 0};
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
			state = {limit: new WindowLimit(limit, this.windowMs, now, initialBurstPart), paces: new Map()};
			this.#accounts.set(account, state);
		}

		return state;
	}

	/** Returns the operations of a window that VMs may use which cannot ask now. */
	#countReserved(state: AccountTokens, silent: readonly string[]): number {
		let reserved = 0;
		for (const vm of silent) {
			reserved += ((state.paces.get(vm)?.perS ?? 0) * unheardFactor * this.windowMs) / msPerSecond;
		}

		return reserved;
	}
}

/** Takes in operations into an average that decays with time. */
export function observePace(paces: Map<string, Pace>, key: string, count: number, now: number): void {
	const pace = paces.get(key) ?? {perS: 0, at: now};
	const kept = Math.exp(-(now - pace.at) / paceWindowMs);
	paces.set(key, {perS: (pace.perS * kept) + ((count * msPerSecond) / paceWindowMs), at: now});
}
