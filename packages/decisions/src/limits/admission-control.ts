import {
	type AccountDemand, type DemandReport, type LimitsLookup, type ShareGrant,
} from './account-demand.js';
import {ShareHolder} from './share-holder.js';

/** What became of a request for admission. */
export type AdmissionDecision =
	| {readonly kind: 'admitted'; readonly id: number}
	| {readonly kind: 'refused'; readonly id: number; readonly retryAfterMs: number};

type Waiter = {readonly id: number; readonly giveUpAt: number};

type Arrivals = {weight: number; updatedAt: number};

/** Longest time that a request waits for a token, in milliseconds. */
export const longestAdmissionWaitMs = 400;

/** Share of a rate that a VM may hope for from a pool that was empty. */
const starvedPoolShare = 0.05;
/** Time for which a pool counts as empty after it was, in milliseconds. */
const starvedMs = 250;

const demandTimeConstantMs = 1000;
const forgottenWeight = 0.01;

/** Admits requests against the shares held and asks for more where requests wait. */
export class AdmissionControl {
	readonly #holder: ShareHolder;
	readonly #waiters = new Map<string, Waiter[]>();
	readonly #arrivals = new Map<string, Arrivals>();
	/** Time at which the allocator last had no token for an account's waiting requests. */
	readonly #starvedAt = new Map<string, number>();

	constructor(private readonly getLimits: LimitsLookup) {
		this.#holder = new ShareHolder(getLimits);
	}

	get holder(): ShareHolder {
		return this.#holder;
	}

	hasWaiters(): boolean {
		return this.#waiters.size > 0;
	}

	/**
	 * Asks for the admission of a request.
	 * @param id - Identity by which a later decision is told.
	 * @param account - Client account of the request.
	 * @param deadline - Time after which the request is of no use.
	 * @param now - Monotonic time in milliseconds.
	 * @returns The decision, or undefined when the request waits.
	 */
	requestAdmission(id: number, account: string, deadline: number, now: number): AdmissionDecision | undefined {
		this.#observeArrival(account, now);
		const waiters = this.#waiters.get(account) ?? [];
		if (waiters.length === 0 && this.#holder.takeToken(account, now)) {
			return {kind: 'admitted', id};
		}

		const expectedMs = this.#estimateWaitMs(account, waiters.length, now);
		if (expectedMs > Math.min(longestAdmissionWaitMs, deadline - now)) {
			return {kind: 'refused', id, retryAfterMs: Math.ceil(expectedMs)};
		}

		waiters.push({id, giveUpAt: Math.min(deadline, now + longestAdmissionWaitMs)});
		this.#waiters.set(account, waiters);
		return undefined;
	}

	/** Decides on the requests that have waited. */
	advance(now: number): AdmissionDecision[] {
		const decisions: AdmissionDecision[] = [];
		for (const [account, waiters] of this.#waiters) {
			this.#advanceAccount(account, waiters, decisions, now);
			if (waiters.length === 0) {
				this.#waiters.delete(account);
			}
		}

		return decisions;
	}

	/**
	 * Writes a report for the allocator.
	 * @param vm - This VM.
	 * @param incarnation - This process.
	 * @param isPartial - Whether to list only accounts whose requests wait.
	 * @param now - Monotonic time in milliseconds.
	 */
	createReport(vm: string, incarnation: string, isPartial: boolean, now: number): DemandReport {
		const accounts = isPartial ? [...this.#waiters.keys()] : this.#getKnownAccounts(now);
		return {
			vm, incarnation, appliedSequence: this.#getAppliedSequence(now), leaving: false, partial: isPartial,
			accounts: accounts.map(account => this.#describeDemand(account, now)),
		};
	}

	/** Writes the last report of a process that shuts down: everything goes back. */
	createFarewell(vm: string, incarnation: string, now: number): DemandReport {
		const report = this.createReport(vm, incarnation, false, now);
		const accounts = report.accounts.map(demand => ({
			...demand, returnedTokens: demand.returnedTokens + demand.heldTokens, heldTokens: 0, waiting: 0,
		}));
		this.#holder.clear();
		return {...report, leaving: true, accounts};
	}

	applyGrant(grant: ShareGrant, sentAt: number, isPartial: boolean, now: number): void {
		this.#holder.applyGrant(grant, sentAt, isPartial, now);
		for (const {account, tokens} of grant.accounts) {
			if (tokens < 1 && this.#waiters.has(account)) {
				this.#starvedAt.set(account, now);
			}
		}
	}

	#getAppliedSequence(now: number): number {
		return now < this.#holder.validUntil ? this.#holder.sequence : 0;
	}

	#getKnownAccounts(now: number): string[] {
		for (const [account, arrivals] of this.#arrivals) {
			if (getWeight(arrivals, now) < forgottenWeight) {
				this.#arrivals.delete(account);
			}
		}

		return [...new Set([...this.#arrivals.keys(), ...this.#holder.getAccounts()])];
	}

	#describeDemand(account: string, now: number): AccountDemand {
		const arrivals = this.#arrivals.get(account);
		return {
			account,
			perSecond: arrivals === undefined ? 0 : getWeight(arrivals, now) / (demandTimeConstantMs / 1000),
			waiting: this.#waiters.get(account)?.length ?? 0,
			heldTokens: this.#holder.getTokens(account, now),
			returnedTokens: this.#holder.removeReturnedTokens(account),
		};
	}

	#advanceAccount(account: string, waiters: Waiter[], decisions: AdmissionDecision[], now: number): void {
		while (waiters.length > 0) {
			const [first] = waiters;
			const isLate = now >= first!.giveUpAt;
			if (!isLate && !this.#holder.takeToken(account, now)) {
				return;
			}

			waiters.shift();
			decisions.push(isLate
				? {kind: 'refused', id: first!.id, retryAfterMs: Math.ceil(this.#estimateWaitMs(account, waiters.length, now))}
				: {kind: 'admitted', id: first!.id});
		}
	}

	#observeArrival(account: string, now: number): void {
		const arrivals = this.#arrivals.get(account);
		this.#arrivals.set(account, {weight: (arrivals === undefined ? 0 : getWeight(arrivals, now)) + 1, updatedAt: now});
	}

	/** Time until the tokens for the requests ahead and this one have come in. */
	#estimateWaitMs(account: string, ahead: number, now: number): number {
		const limits = this.getLimits(account);
		if (limits === undefined) {
			return longestAdmissionWaitMs;
		}

		const missing = Math.max(0, ahead + 1 - this.#holder.getTokens(account, now));
		// Until the allocator has just said otherwise, the pool can be hoped for.
		const isStarved = now - (this.#starvedAt.get(account) ?? Number.NEGATIVE_INFINITY) < starvedMs;
		const rate = Math.max(this.#holder.getRate(account, now), limits.rate * (isStarved ? starvedPoolShare : 1));
		return (missing / rate) * 1000;
	}
}

function getWeight(arrivals: Arrivals, now: number): number {
	return arrivals.weight * Math.exp((arrivals.updatedAt - now) / demandTimeConstantMs);
}
