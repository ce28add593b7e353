import {ReturnSchedule} from '../admission/index.js';
import {
	type AccountDemand, type DemandReport, type LimitsLookup, type ShareGrant,
} from './share-messages.js';
import {ShareHolder} from './share-holder.js';

/** Outcome of an admission request. */
export type AdmissionDecision =
	| {readonly kind: 'admitted'; readonly id: number}
	| {readonly kind: 'refused'; readonly id: number; readonly retryAfterMs: number};

type Waiter = {
	readonly id: number;
	readonly expiresAt: number;
	/** Monotonic time at which the request itself expires, in milliseconds. */
	readonly deadline: number;
};

/** Number of an account's arrivals, each weighted down exponentially with its age. */
type Arrivals = {decayedCount: number; updatedAt: number};

/** Admission timeout for accounts with a high rate, in milliseconds. */
export const minAdmissionTimeoutMs = 400;
/** Admission timeout for accounts with a low rate, in milliseconds. */
export const maxAdmissionTimeoutMs = 1000;

/** Time for which an account's pool at the allocator counts as empty after a grant without tokens, in milliseconds. */
const emptyPoolTtlMs = 250;

/** Interval of full reports, in milliseconds. */
const fullReportIntervalMs = 500;
/** Intervals of partial reports while requests wait, in milliseconds; one step longer after each grant without tokens. */
const partialReportIntervalsMs = [0, 25, 50, 75, 100] as const;

/** Delay before spent tokens of an account with a small burst are reported, in milliseconds. */
const spentTokensReportDelayMs = 40;
/** Time within which the rate of an account refills a burst that counts as small, in milliseconds. */
const smallBurstRefillMs = 1500;

/** Time without a grant after which the allocator counts as unresponsive, in milliseconds. */
const allocatorTimeoutMs = 700;

/** Time constant of the exponential average of arrivals, in milliseconds. */
const demandTimeConstantMs = 1000;
/** Minimum decayed number of arrivals of an account that is kept. */
const minArrivalCount = 0.01;

/** Scope of a report: every known account, or only accounts with waiting requests or newly spent tokens. */
export type DemandReportKind = 'full' | 'partial';

/** Admits requests against the shares held by this VM and requests more tokens while requests wait. */
export class AdmissionControl {
	readonly #holder: ShareHolder;
	readonly #waiters = new Map<string, Waiter[]>();
	readonly #arrivals = new Map<string, Arrivals>();
	/** When the allocator last had no token for an account's waiting requests, and its estimate of the time until the next one. */
	readonly #emptyPools = new Map<string, {readonly observedAt: number; readonly nextTokenMs: number}>();

	/** Accounts with a small burst that got tokens since the last report; the next one tells the allocator how many are left. */
	readonly #unreportedSpending = new Set<string>();
	#lastReportAt = Number.NEGATIVE_INFINITY;
	#lastGrantAt = Number.NEGATIVE_INFINITY;
	#lastFullReportAt = Number.NEGATIVE_INFINITY;
	#consecutiveEmptyGrants = 0;

	/** Times at which refused requests return, so that those refused together do not return together. */
	readonly #returns: ReturnSchedule;

	/** @param random - Returns a number in [0, 1), for the jitter of retry delays; without it they have none. */
	constructor(private readonly getLimits: LimitsLookup, random: () => number = () => 0.5) {
		this.#holder = new ShareHolder(getLimits);
		this.#returns = new ReturnSchedule(random);
	}

	/** Shares held by this VM. */
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
	 * @param deadline - Monotonic time at which the request expires, in milliseconds.
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
			return {kind: 'refused', id, retryAfterMs: this.#reserveReturn(account, waitMs, deadline, now)};
		}

		waiters.push({id, expiresAt: Math.min(deadline, now + timeoutMs), deadline});
		this.#waiters.set(account, waiters);
		return undefined;
	}

	/** Admits the waiting requests for which there are tokens, refuses those that expired, and returns these decisions. */
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
	 * @param sentAt - Monotonic time at which that report was sent, in milliseconds.
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

	/** Returns the time in which the account's rate yields two tokens, within bounds, in milliseconds; the maximum while the allocator is unresponsive, since a successor takes over soon. */
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

	/** Returns whether an account's burst is so small that tokens that are spent but not yet reported would take up much of it. */
	#hasSmallBurst(account: string): boolean {
		const limits = this.getLimits(account);
		return limits !== undefined && limits.burst < (limits.rate * smallBurstRefillMs) / 1000;
	}

	#getAppliedSequence(now: number): number {
		return now < this.#holder.validUntil ? this.#holder.sequence : 0;
	}

	#getKnownAccounts(now: number): string[] {
		for (const [account, arrivals] of this.#arrivals) {
			if (getDecayedCount(arrivals, now) < minArrivalCount) {
				this.#arrivals.delete(account);
			}
		}

		return [...new Set([...this.#arrivals.keys(), ...this.#holder.getAccounts()])];
	}

	#createAccountDemand(account: string, now: number): AccountDemand {
		const arrivals = this.#arrivals.get(account);
		return {
			account,
			perSecond: arrivals === undefined ? 0 : getDecayedCount(arrivals, now) / (demandTimeConstantMs / 1000),
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
				? {kind: 'refused', id: first!.id, retryAfterMs: this.#reserveReturn(account, this.#estimateWaitMs(account, waiters.length, now), first!.deadline, now)}
				: {kind: 'admitted', id: first!.id});
		}
	}

	/** Returns the retry delay of a refused request, in milliseconds: not before there are tokens, and along the rate of the account on this VM while the request has time. */
	#reserveReturn(account: string, waitMs: number, deadline: number, now: number): number {
		return Math.ceil(this.#returns.reserveReturn({
			key: account, priority: 'normal', perS: this.#holder.getRate(account, now), earliestMs: waitMs, latestMs: Math.max(waitMs, deadline - now),
		}, now));
	}

	#recordArrival(account: string, now: number): void {
		const arrivals = this.#arrivals.get(account);
		this.#arrivals.set(account, {decayedCount: (arrivals === undefined ? 0 : getDecayedCount(arrivals, now)) + 1, updatedAt: now});
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

function getDecayedCount(arrivals: Arrivals, now: number): number {
	return arrivals.decayedCount * Math.exp((arrivals.updatedAt - now) / demandTimeConstantMs);
}
