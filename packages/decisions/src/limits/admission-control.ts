import {
	type AccountDemand, type DemandReport, type LimitsLookup, type ShareGrant,
} from './share-messages.js';
import {ShareHolder} from './share-holder.js';

/** Outcome of an admission request. */
export type AdmissionDecision =
	| {readonly kind: 'admitted'; readonly id: number}
	| {readonly kind: 'refused'; readonly id: number; readonly retryAfterMs: number};

type Waiter = {readonly id: number; readonly expiresAt: number};

type Arrivals = {weight: number; updatedAt: number};

/** Admission timeout for accounts with a high rate, in milliseconds. */
export const minAdmissionTimeoutMs = 400;
/** Admission timeout for accounts with a low rate, in milliseconds. */
export const maxAdmissionTimeoutMs = 1000;

/** Time for which a pool counts as empty after a grant without tokens, in milliseconds. */
const emptyPoolTtlMs = 250;

/** Interval of full reports, in milliseconds. */
const fullReportIntervalMs = 500;
/** Intervals of partial reports while requests wait, in milliseconds; one step longer after each grant without tokens. */
const partialReportIntervalsMs = [0, 25, 50, 75, 100] as const;

/** Delay before spent tokens of an account with a small burst are reported, in milliseconds. */
const spentTokensReportDelayMs = 40;
/** A burst that the account's rate refills in less than this time is small, in milliseconds. */
const smallBurstRefillMs = 1500;

/** Time without a grant after which the allocator counts as unresponsive, in milliseconds. */
const allocatorTimeoutMs = 700;

/** Time constant of the exponential average of arrivals, in milliseconds. */
const demandTimeConstantMs = 1000;
/** Weight below which an account's arrivals are dropped. */
const minArrivalWeight = 0.01;

/** Scope of a report: every known account, or only accounts with waiting requests or newly spent tokens. */
export type DemandReportKind = 'full' | 'partial';

/** Admits requests against the shares held by this VM and requests more tokens while requests wait. */
export class AdmissionControl {
	readonly #holder: ShareHolder;
	readonly #waiters = new Map<string, Waiter[]>();
	readonly #arrivals = new Map<string, Arrivals>();
	/** When the allocator last had no token for an account's waiting requests, and its estimate of the next one. */
	readonly #emptyPools = new Map<string, {readonly observedAt: number; readonly nextTokenMs: number}>();

	/** Accounts with a small burst whose last tokens have to be reported as spent. */
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
	 * Requests admission.
	 * @param id - Identifier of the request in a later decision.
	 * @param account - Client account of the request.
	 * @param deadline - Time at which the request expires, in milliseconds of the monotonic clock.
	 * @param now - Monotonic time in milliseconds.
	 * @returns The decision, or undefined if the request waits for a token.
	 */
	requestAdmission(id: number, account: string, deadline: number, now: number): AdmissionDecision | undefined {
		this.#recordArrival(account, now);
		const waiters = this.#waiters.get(account) ?? [];
		if (waiters.length === 0 && this.#holder.takeToken(account, now)) {
			return {kind: 'admitted', id};
		}

		const waitMs = this.#estimateWaitMs(account, waiters.length, now);
		const timeoutMs = this.#getAdmissionTimeoutMs(account, now);
		if (waitMs > Math.min(timeoutMs, deadline - now)) {
			return {kind: 'refused', id, retryAfterMs: Math.ceil(waitMs)};
		}

		waiters.push({id, expiresAt: Math.min(deadline, now + timeoutMs)});
		this.#waiters.set(account, waiters);
		return undefined;
	}

	/** Admits or refuses waiting requests; returns the decisions made. */
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

	/** Returns the kind of the report that is due, undefined if none is. */
	getDueReportKind(now: number): DemandReportKind | undefined {
		const hasAccounts = this.#arrivals.size > 0 || this.#holder.getAccounts().length > 0;
		if (hasAccounts && now - this.#lastFullReportAt >= fullReportIntervalMs) {
			return 'full';
		}

		const intervalMs = partialReportIntervalsMs[Math.min(this.#consecutiveEmptyGrants, partialReportIntervalsMs.length - 1)]!;
		const isSpendingDue = this.#unreportedSpending.size > 0 && now - this.#lastReportAt >= spentTokensReportDelayMs;
		return isSpendingDue || (this.hasWaiters() && now - this.#lastReportAt >= intervalMs) ? 'partial' : undefined;
	}

	/**
	 * Creates a report for the allocator and restarts the report intervals.
	 * @param vm - Name of this VM.
	 * @param incarnation - Identifier of this process.
	 * @param isPartial - Whether to list only accounts with waiting requests or newly spent tokens.
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

	/** Creates the last report of a process that shuts down, which returns all tokens, and drops all shares. */
	createFinalReport(vm: string, incarnation: string, now: number): DemandReport {
		const report = this.createReport(vm, incarnation, false, now);
		const accounts = report.accounts.map(demand => ({
			...demand, returnedTokens: demand.returnedTokens + demand.heldTokens, heldTokens: 0, waiting: 0,
		}));
		this.#holder.clear();
		return {...report, leaving: true, accounts};
	}

	/**
	 * Applies a grant.
	 * @param grant - Response to the last report sent.
	 * @param sentAt - Time at which that report was sent.
	 * @param isPartial - Whether accounts that the grant does not list keep their shares.
	 * @param now - Monotonic time in milliseconds.
	 */
	applyGrant(grant: ShareGrant, sentAt: number, isPartial: boolean, now: number): void {
		this.#holder.applyGrant(grant, sentAt, isPartial, now);
		this.#lastGrantAt = now;
		this.#updateReportBackoff(grant);
		for (const {account, tokens, nextTokenMs} of grant.accounts) {
			if (tokens > 0 && this.#hasSmallBurst(account)) {
				this.#unreportedSpending.add(account);
			}

			if (tokens < 1 && this.#waiters.has(account)) {
				this.#emptyPools.set(account, {observedAt: now, nextTokenMs});
			}
		}
	}

	/** Returns the time in which the rate yields two tokens, within bounds; the maximum while the allocator is unresponsive, since a successor takes over soon. */
	#getAdmissionTimeoutMs(account: string, now: number): number {
		if (now - this.#lastGrantAt > allocatorTimeoutMs) {
			return maxAdmissionTimeoutMs;
		}

		const rate = this.getLimits(account)?.rate ?? 1;
		return Math.min(maxAdmissionTimeoutMs, Math.max(minAdmissionTimeoutMs, 2000 / rate));
	}

	/** Lengthens the interval of partial reports while requests wait and grants bring no tokens. */
	#updateReportBackoff(grant: ShareGrant): void {
		const waiting = grant.accounts.filter(share => this.#waiters.has(share.account));
		if (waiting.length > 0) {
			this.#consecutiveEmptyGrants = waiting.some(share => share.tokens > 0) ? 0 : this.#consecutiveEmptyGrants + 1;
		}
	}

	/** Says whether tokens not yet reported as spent would take up much of an account's burst. */
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
			const isExpired = now >= first!.expiresAt;
			if (!isExpired && !this.#holder.takeToken(account, now)) {
				return;
			}

			waiters.shift();
			decisions.push(isExpired
				? {kind: 'refused', id: first!.id, retryAfterMs: Math.ceil(this.#estimateWaitMs(account, waiters.length, now))}
				: {kind: 'admitted', id: first!.id});
		}
	}

	#recordArrival(account: string, now: number): void {
		const arrivals = this.#arrivals.get(account);
		this.#arrivals.set(account, {weight: (arrivals === undefined ? 0 : getDecayedWeight(arrivals, now)) + 1, updatedAt: now});
	}

	/** Estimates the time until there are tokens for the requests ahead and for this one, in milliseconds. */
	#estimateWaitMs(account: string, requestsAhead: number, now: number): number {
		const limits = this.getLimits(account);
		if (limits === undefined) {
			return maxAdmissionTimeoutMs;
		}

		const missingTokens = Math.max(0, requestsAhead + 1 - this.#holder.getTokens(account, now));
		// The pool counts as available unless a recent grant reported it empty.
		const emptyPool = this.#emptyPools.get(account);
		const isPoolEmpty = emptyPool !== undefined && now - emptyPool.observedAt < emptyPoolTtlMs;
		const fromPoolMs = isPoolEmpty ? emptyPool.nextTokenMs + ((missingTokens * 1000) / limits.rate) - (now - emptyPool.observedAt) : 0;
		const localRate = this.#holder.getRate(account, now);
		const fromLocalRateMs = localRate > 0 ? (missingTokens * 1000) / localRate : Number.POSITIVE_INFINITY;
		return Math.max(0, Math.min(fromPoolMs, fromLocalRateMs));
	}
}

function getDecayedWeight(arrivals: Arrivals, now: number): number {
	return arrivals.weight * Math.exp((arrivals.updatedAt - now) / demandTimeConstantMs);
}
