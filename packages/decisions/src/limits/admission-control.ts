import {
	type AccountDemand, type DemandReport, type LimitsLookup, type ShareGrant,
} from './share-messages.js';
import {ShareHolder} from './share-holder.js';

/** What became of a request for admission. */
export type AdmissionDecision =
	| {readonly kind: 'admitted'; readonly id: number}
	| {readonly kind: 'refused'; readonly id: number; readonly retryAfterMs: number};

type Waiter = {readonly id: number; readonly expiresAt: number};

type Arrivals = {weight: number; updatedAt: number};

/** Longest time that a request waits for a token of an account with a high rate, in milliseconds. */
export const minAdmissionTimeoutMs = 400;
/** Longest time that a request waits for a token of an account with a low rate, in milliseconds. */
export const maxAdmissionTimeoutMs = 1000;

/** Time for which a pool counts as empty after it was, in milliseconds. */
const emptyPoolTtlMs = 250;

/** Time between two reports of everything, in milliseconds. */
const fullReportIntervalMs = 500;
/** Pauses between reports for requests that wait, longer while nothing comes of them, in milliseconds. */
const partialReportIntervalsMs = [0, 25, 50, 75, 100] as const;

/** Pause before the allocator is told that tokens of a small burst are spent, in milliseconds. */
const spentTokensReportDelayMs = 40;
/** A burst of less than what comes in during this time is small, in milliseconds. */
const smallBurstRefillMs = 1500;

/** An allocator that has not answered for this long is silent, in milliseconds. */
const allocatorTimeoutMs = 700;

const demandTimeConstantMs = 1000;
const minArrivalWeight = 0.01;

/** Reports that an admission control sends: of everything, or of the accounts whose requests wait. */
export type DemandReportKind = 'full' | 'partial';

/** Admits requests against the shares held and asks for more where requests wait. */
export class AdmissionControl {
	readonly #holder: ShareHolder;
	readonly #waiters = new Map<string, Waiter[]>();
	readonly #arrivals = new Map<string, Arrivals>();
	/** When the allocator last had no token for an account's waiting requests, and when it expected one. */
	readonly #emptyPools = new Map<string, {readonly at: number; readonly nextTokenMs: number}>();

	/** Accounts whose last tokens the allocator should soon know to be spent. */
	readonly #unreportedSpending = new Set<string>();
	#lastReportAt = Number.NEGATIVE_INFINITY;
	#lastGrantAt = Number.NEGATIVE_INFINITY;
	#lastFullReportAt = Number.NEGATIVE_INFINITY;
	#consecutiveEmptyGrants = 0;

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
		this.#recordArrival(account, now);
		const waiters = this.#waiters.get(account) ?? [];
		if (waiters.length === 0 && this.#holder.takeToken(account, now)) {
			return {kind: 'admitted', id};
		}

		const expectedMs = this.#estimateWaitMs(account, waiters.length, now);
		const longestWaitMs = this.#getAdmissionTimeoutMs(account, now);
		if (expectedMs > Math.min(longestWaitMs, deadline - now)) {
			return {kind: 'refused', id, retryAfterMs: Math.ceil(expectedMs)};
		}

		waiters.push({id, expiresAt: Math.min(deadline, now + longestWaitMs)});
		this.#waiters.set(account, waiters);
		return undefined;
	}

	/** Decides on the requests that have waited. */
	processWaiters(now: number): AdmissionDecision[] {
		const decisions: AdmissionDecision[] = [];
		for (const [account, waiters] of this.#waiters) {
			this.#processAccountWaiters(account, waiters, decisions, now);
			if (waiters.length === 0) {
				this.#waiters.delete(account);
			}
		}

		return decisions;
	}

	/** Returns the report that is due, undefined where none is. */
	getDueReportKind(now: number): DemandReportKind | undefined {
		const isKnown = this.#arrivals.size > 0 || this.#holder.getAccounts().length > 0;
		if (isKnown && now - this.#lastFullReportAt >= fullReportIntervalMs) {
			return 'full';
		}

		const pauseMs = partialReportIntervalsMs[Math.min(this.#consecutiveEmptyGrants, partialReportIntervalsMs.length - 1)]!;
		const isSettlementDue = this.#unreportedSpending.size > 0 && now - this.#lastReportAt >= spentTokensReportDelayMs;
		return isSettlementDue || (this.hasWaiters() && now - this.#lastReportAt >= pauseMs) ? 'partial' : undefined;
	}

	/**
	 * Writes a report for the allocator.
	 * @param vm - This VM.
	 * @param incarnation - This process.
	 * @param isPartial - Whether to list only accounts whose requests wait.
	 * @param now - Monotonic time in milliseconds.
	 */
	createReport(vm: string, incarnation: string, isPartial: boolean, now: number): DemandReport {
		this.#lastReportAt = now;
		this.#lastFullReportAt = isPartial ? this.#lastFullReportAt : now;
		const accounts = isPartial ? [...new Set([...this.#waiters.keys(), ...this.#unreportedSpending])] : this.#getKnownAccounts(now);
		this.#unreportedSpending.clear();
		return {
			vm, incarnation, appliedSequence: this.#getAppliedSequence(now), leaving: false, partial: isPartial,
			accounts: accounts.map(account => this.#createAccountDemand(account, now)),
		};
	}

	/** Writes the last report of a process that shuts down: everything goes back. */
	createFinalReport(vm: string, incarnation: string, now: number): DemandReport {
		const report = this.createReport(vm, incarnation, false, now);
		const accounts = report.accounts.map(demand => ({
			...demand, returnedTokens: demand.returnedTokens + demand.heldTokens, heldTokens: 0, waiting: 0,
		}));
		this.#holder.clear();
		return {...report, leaving: true, accounts};
	}

	applyGrant(grant: ShareGrant, sentAt: number, isPartial: boolean, now: number): void {
		this.#holder.applyGrant(grant, sentAt, isPartial, now);
		this.#lastGrantAt = now;
		this.#updateReportBackoff(grant);
		for (const {account, tokens, nextTokenMs} of grant.accounts) {
			if (tokens > 0 && this.#hasSmallBurst(account)) {
				this.#unreportedSpending.add(account);
			}

			if (tokens < 1 && this.#waiters.has(account)) {
				this.#emptyPools.set(account, {at: now, nextTokenMs});
			}
		}
	}

	/** Time in which two tokens come in, within bounds; the longest while the allocator is silent, which soon has a successor. */
	#getAdmissionTimeoutMs(account: string, now: number): number {
		if (now - this.#lastGrantAt > allocatorTimeoutMs) {
			return maxAdmissionTimeoutMs;
		}

		const rate = this.getLimits(account)?.rate ?? 1;
		return Math.min(maxAdmissionTimeoutMs, Math.max(minAdmissionTimeoutMs, 2000 / rate));
	}

	/** Spaces reports out while requests wait and no token comes. */
	#updateReportBackoff(grant: ShareGrant): void {
		const waiting = grant.accounts.filter(share => this.#waiters.has(share.account));
		if (waiting.length > 0) {
			this.#consecutiveEmptyGrants = waiting.some(share => share.tokens > 0) ? 0 : this.#consecutiveEmptyGrants + 1;
		}
	}

	/** Whether tokens that the allocator does not know to be spent would take up much of an account's burst. */
	#hasSmallBurst(account: string): boolean {
		const limits = this.getLimits(account);
		return limits !== undefined && limits.burst < (limits.rate * smallBurstRefillMs) / 1000;
	}

	#getAppliedSequence(now: number): number {
		return now < this.#holder.validUntil ? this.#holder.sequence : 0;
	}

	#getKnownAccounts(now: number): string[] {
		for (const [account, arrivals] of this.#arrivals) {
			if (getDecayedWeight(arrivals, now) < minArrivalWeight) {
				this.#arrivals.delete(account);
			}
		}

		return [...new Set([...this.#arrivals.keys(), ...this.#holder.getAccounts()])];
	}

	#createAccountDemand(account: string, now: number): AccountDemand {
		const arrivals = this.#arrivals.get(account);
		return {
			account,
			perSecond: arrivals === undefined ? 0 : getDecayedWeight(arrivals, now) / (demandTimeConstantMs / 1000),
			waiting: this.#waiters.get(account)?.length ?? 0,
			heldTokens: this.#holder.getTokens(account, now),
			returnedTokens: this.#holder.removeReturnedTokens(account),
		};
	}

	#processAccountWaiters(account: string, waiters: Waiter[], decisions: AdmissionDecision[], now: number): void {
		while (waiters.length > 0) {
			const [first] = waiters;
			const isLate = now >= first!.expiresAt;
			if (!isLate && !this.#holder.takeToken(account, now)) {
				return;
			}

			waiters.shift();
			decisions.push(isLate
				? {kind: 'refused', id: first!.id, retryAfterMs: Math.ceil(this.#estimateWaitMs(account, waiters.length, now))}
				: {kind: 'admitted', id: first!.id});
		}
	}

	#recordArrival(account: string, now: number): void {
		const arrivals = this.#arrivals.get(account);
		this.#arrivals.set(account, {weight: (arrivals === undefined ? 0 : getDecayedWeight(arrivals, now)) + 1, updatedAt: now});
	}

	/** Time until the tokens for the requests ahead and this one have come in. */
	#estimateWaitMs(account: string, ahead: number, now: number): number {
		const limits = this.getLimits(account);
		if (limits === undefined) {
			return maxAdmissionTimeoutMs;
		}

		const missing = Math.max(0, ahead + 1 - this.#holder.getTokens(account, now));
		// Until the allocator has just said otherwise, the pool can be hoped for.
		const starved = this.#emptyPools.get(account);
		const isStarved = starved !== undefined && now - starved.at < emptyPoolTtlMs;
		const fromPoolMs = isStarved ? starved.nextTokenMs + ((missing * 1000) / limits.rate) - (now - starved.at) : 0;
		const localRate = this.#holder.getRate(account, now);
		const locallyMs = localRate > 0 ? (missing * 1000) / localRate : Number.POSITIVE_INFINITY;
		return Math.max(0, Math.min(fromPoolMs, locallyMs));
	}
}

function getDecayedWeight(arrivals: Arrivals, now: number): number {
	return arrivals.weight * Math.exp((arrivals.updatedAt - now) / demandTimeConstantMs);
}
