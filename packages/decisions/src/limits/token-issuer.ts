import {type BucketLimit} from './token-bucket.js';
import {countAllowed, WindowLimit} from './window-limit.js';

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
const unheardFactor = 1.1;

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

/** Who may go on without asking, as far as the issuer knows. */
export type Silence = {
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
export function countAloneAllowed(limit: BucketLimit, windowMs: number, members: number, used: number): number {
	return Math.max(countAllowed(limit, windowMs) / Math.max(1, members), used * unheardFactor);
}

/** Gives out the operations of each account to the VMs. */
export class TokenIssuer {
	readonly #accounts = new Map<string, AccountTokens>();

	/** @param windowMs - Window over which limits hold, milliseconds. */
	constructor(private readonly windowMs: number) {}

	/**
	 * Gives tokens to a VM.
	 * @param silence - VMs that may go on without asking, see {@link countAloneAllowed}.
	 * @param now - Steady time in milliseconds.
	 */
	issue({vm, account, want, limit}: TokenRequestOptions, silence: Silence, now: number): TokenGrant {
		const known = this.#accounts.get(account);
		const state = known ?? this.#addState(account, limit, now);
		state.limit.setLimit(limit, this.#countReserved(state, limit, silence), leastPart, now);
		if (known === undefined) {
			state.limit.assumeUsed(limit, limit.burst * initialBurstPart, now);
		}

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

	#addState(account: string, limit: BucketLimit, now: number): AccountTokens {
		const state = {limit: new WindowLimit(limit, this.windowMs, now), paces: new Map<string, Pace>()};
		this.#accounts.set(account, state);
		return state;
	}

	/** Returns the operations of a window that VMs may use which cannot ask now. */
	#countReserved(state: AccountTokens, limit: BucketLimit, {silent, members}: Silence): number {
		let reserved = 0;
		for (const vm of silent) {
			reserved += countAloneAllowed(limit, this.windowMs, members, ((state.paces.get(vm)?.perS ?? 0) * this.windowMs) / msPerSecond);
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
