import {type AccountLimits} from '@chicorysaddle/model';
import {maxClockDriftFraction} from '../leases/lease-voter.js';
import {
	type AccountDemand, type AccountShare, type AllocatorState, type DemandReport, type LimitsLookup, type ShareGrant,
} from './share-messages.js';

type Fractions = {readonly rate: number; readonly burst: number};

type IssuedGrant = {
	readonly sequence: number;
	readonly expiresAt: number;
	readonly fractions: Map<string, Fractions>;
};

type HolderState = {
	grants: IssuedGrant[];
	demand: Map<string, number>;
	waiting: Map<string, number>;
};

type Pool = {level: number; updatedAt: number};

/** Settings of the allocator. */
export type AllocatorOptions = {
	/** Time that a grant may be used, in milliseconds. */
	readonly validMs: number;
	/** Largest part of a rate that is handed out; the rest fills the pool. */
	readonly maxLocalRateFraction: number;
	/** Part of a VM's own demand that its rate covers; it asks the pool for the rest. */
	readonly coveredDemandFraction: number;
	/** Time for which a VM may hold tokens ahead of its demand, in milliseconds. */
	readonly prefetchMs: number;
	/** Largest part of a burst that is set aside for what local rates bring in. */
	readonly maxLocalBurstFraction: number;
	/** Time for which local rates have room, in milliseconds. */
	readonly localBufferMs: number;
};

export const defaultAllocatorOptions: AllocatorOptions = {
	validMs: 2000, maxLocalRateFraction: 0.85, coveredDemandFraction: 0.95, prefetchMs: 300, maxLocalBurstFraction: 0.35, localBufferMs: 400,
};

const zeroFractions: Fractions = {rate: 0, burst: 0};
const epsilon = 1e-9;
/** Tokens that a VM's part of a burst has to have room for, before it gets a rate of its own. */
const minLocalBurstTokens = 4;
/** Longest time that a refusal names, in milliseconds. */
const maxNextTokenMs = 60_000;

/**
 * Divides the rate and burst of every client account between the VMs and a pool.
 * Whatever was granted counts as in use until its holder has confirmed a later grant or the grant has expired,
 * so the fractions in use never add up to more than one.
 */
export class ShareAllocator {
	readonly #holders = new Map<string, HolderState>();
	readonly #pools = new Map<string, Pool>();
	#sequence = 0;

	/**
	 * @param startedAt - Time at which every earlier grant has expired; all pools start empty.
	 * @param getLimits - Limits in force.
	 * @param options - Settings.
	 */
	constructor(private readonly startedAt: number, private readonly getLimits: LimitsLookup, private readonly options: AllocatorOptions = defaultAllocatorOptions) {}

	/**
	 * Answers a report with the shares that its sender may use.
	 * @param report - Report of one VM.
	 * @param usableUntil - Time until which the allocator's lease lets grants be used.
	 * @param now - Monotonic time in milliseconds.
	 */
	createGrant(report: DemandReport, usableUntil: number, now: number): ShareGrant {
		const id = `${report.vm}#${report.incarnation}`;
		this.#removeExpired(now);
		const holder = this.#getHolder(id);
		// The pools fill at what was in use until now, before this report confirms less.
		this.#refillPools(holder, report.accounts.map(demand => demand.account), now);
		holder.grants = holder.grants.filter(grant => grant.sequence === report.appliedSequence);
		this.#recordDemand(holder, report);

		this.#sequence += 1;
		const validMs = Math.max(0, Math.min(this.options.validMs, usableUntil - now));
		const accounts = report.accounts.map(demand => this.#createShare(id, holder, demand, report.leaving, now));
		const fractions = report.partial ? new Map(holder.grants[0]?.fractions) : new Map<string, Fractions>();
		for (const share of accounts) {
			fractions.set(share.account, {rate: share.rateFraction, burst: share.burstFraction});
		}

		holder.grants.push({sequence: this.#sequence, expiresAt: now + (validMs * (1 + maxClockDriftFraction)), fractions});
		return {sequence: this.#sequence, validMs, accounts};
	}

	/** Writes down everything that a successor has to know; this allocator grants nothing afterwards. */
	exportState(now: number): AllocatorState {
		this.#removeExpired(now);
		const pools = [...this.#pools.keys()].map(account => ({account, level: this.#refillPool(account, now).level}));
		const grants = [...this.#holders].flatMap(([id, holder]) => holder.grants.map(grant => ({
			holder: id,
			sequence: grant.sequence,
			expiresInMs: grant.expiresAt - now,
			accounts: [...grant.fractions].map(([account, {rate, burst}]) => ({
				account, rateFraction: rate, burstFraction: burst, tokens: 0, nextTokenMs: 0,
			})),
		})));
		return {sequence: this.#sequence, pools, grants};
	}

	/** Takes over from a predecessor. What was on its way meanwhile only makes grants seem to last longer. */
	importState(state: AllocatorState, now: number): void {
		this.#sequence = state.sequence;
		for (const {account, level} of state.pools) {
			this.#pools.set(account, {level, updatedAt: now});
		}

		for (const grant of state.grants) {
			const fractions = new Map(grant.accounts.map(share => [share.account, {rate: share.rateFraction, burst: share.burstFraction}]));
			this.#getHolder(grant.holder).grants.push({sequence: grant.sequence, expiresAt: now + grant.expiresInMs, fractions});
		}
	}

	/** Returns the fractions of an account that may be in use, which never exceed one. */
	getCommitted(account: string, now: number): Fractions {
		this.#removeExpired(now);
		return this.#sumCommitted('', account);
	}

	#getHolder(id: string): HolderState {
		const holder = this.#holders.get(id) ?? {grants: [], demand: new Map<string, number>(), waiting: new Map<string, number>()};
		this.#holders.set(id, holder);
		return holder;
	}

	#recordDemand(holder: HolderState, report: DemandReport): void {
		if (!report.partial) {
			holder.demand.clear();
			holder.waiting.clear();
		}

		for (const demand of report.accounts) {
			holder.demand.set(demand.account, report.leaving ? 0 : demand.perSecond);
			holder.waiting.set(demand.account, report.leaving ? 0 : demand.waiting);
		}
	}

	#createShare(id: string, holder: HolderState, demand: AccountDemand, isLeaving: boolean, now: number): AccountShare {
		const limits = this.getLimits(demand.account);
		if (limits === undefined) {
			return {
				account: demand.account, rateFraction: 0, burstFraction: 0, tokens: 0, nextTokenMs: 0,
			};
		}

		const others = this.#sumCommitted(id, demand.account);
		const before = getCommittedFractions(holder, demand.account);
		const pool = this.#refillPool(demand.account, now);
		pool.level = Math.min(pool.level + demand.returnedTokens, Math.max(0, 1 - others.burst - before.burst) * limits.burst);
		if (isLeaving) {
			return {
				account: demand.account, rateFraction: 0, burstFraction: 0, tokens: 0, nextTokenMs: 0,
			};
		}

		const {part, total} = this.#getDemandFraction(demand);
		const rate = this.#chooseRate(demand, part, total, limits, others);
		const kept = this.#chooseKeptTokens(demand, part, limits.rate, rate);
		const wanted = this.#chooseGrantedTokens(demand, kept, pool, part);
		const burst = clampFraction((kept + wanted + this.#getRequiredCapacity(rate * limits.rate)) / limits.burst, 1 - others.burst);
		const tokens = Math.max(0, Math.min(wanted, (burst * limits.burst) - kept));
		holder.waiting.set(demand.account, Math.max(0, demand.waiting - kept - tokens));
		const remaining = Math.max(0, 1 - others.burst - Math.max(burst, before.burst));
		pool.level = Math.min(pool.level - tokens, remaining * limits.burst);
		return {
			account: demand.account, rateFraction: rate, burstFraction: burst, tokens, nextTokenMs: this.#estimateNextTokenMs(demand, pool, others.rate + Math.max(rate, before.rate), limits.rate),
		};
	}

	/** Rate that the VM's own demand uses up, where its part of the burst has room for what comes in between two reports. */
	#chooseRate(demand: AccountDemand, part: number, total: number, limits: AccountLimits, others: Fractions): number {
		const isSaturated = total > limits.rate;
		const localRateShare = isSaturated ? getSaturatedRateFraction(this.options) : this.options.maxLocalRateFraction;
		const wanted = Math.min(localRateShare * part * limits.rate, isSaturated ? limits.rate : this.options.coveredDemandFraction * demand.perSecond);
		const room = this.options.maxLocalBurstFraction * part * limits.burst;
		if (room < minLocalBurstTokens) {
			return 0;
		}

		const affordable = Math.min(wanted, (room - 1) * (1000 / this.options.localBufferMs));
		return clampFraction(affordable / limits.rate, localRateShare - others.rate);
	}

	/** Tokens that a bucket has to have room for, so that its rate does not run to waste. */
	#getRequiredCapacity(rate: number): number {
		return rate < epsilon ? 0 : 1 + ((rate * this.options.localBufferMs) / 1000);
	}

	/** Tokens that the VM keeps; where no rate tops them up, a fraction of one is of no use to it. */
	#chooseKeptTokens(demand: AccountDemand, part: number, limit: number, rate: number): number {
		const ceiling = demand.waiting + ((Math.min(demand.perSecond, limit * part) * this.options.prefetchMs) / 1000);
		return rate > 0 ? Math.min(demand.heldTokens, Math.ceil(ceiling)) : Math.floor(Math.min(demand.heldTokens, ceiling) + epsilon);
	}

	/** Tokens for the waiting requests and, from a pool that has enough, for those expected soon; always to whole ones. */
	#chooseGrantedTokens(demand: AccountDemand, kept: number, pool: Pool, part: number): number {
		if (demand.waiting === 0) {
			return 0;
		}

		const expected = (demand.perSecond * this.options.prefetchMs) / 1000;
		const needed = Math.max(0, demand.waiting - kept);
		const ahead = Math.max(0, Math.min(Math.floor(demand.waiting + expected - kept), Math.floor(pool.level * part)));
		return Math.max(0, Math.floor(kept + Math.min(Math.max(needed, ahead), pool.level) + epsilon) - kept);
	}

	#estimateNextTokenMs(demand: AccountDemand, pool: Pool, committedRate: number, rate: number): number {
		let waiting = 0;
		for (const holder of this.#holders.values()) {
			waiting += holder.waiting.get(demand.account) ?? 0;
		}

		const poolRate = Math.max(epsilon, rate * (1 - committedRate));
		return Math.min(maxNextTokenMs, (Math.max(0, Math.max(1, waiting) - pool.level) / poolRate) * 1000);
	}

	#getDemandFraction(demand: AccountDemand): {part: number; total: number} {
		let total = 0;
		for (const holder of this.#holders.values()) {
			total += holder.demand.get(demand.account) ?? 0;
		}

		return {part: total < epsilon ? 0 : demand.perSecond / total, total};
	}

	#refillPools(holder: HolderState, accounts: readonly string[], now: number): void {
		for (const account of new Set([...accounts, ...holder.grants.flatMap(grant => [...grant.fractions.keys()])])) {
			this.#refillPool(account, now);
		}
	}

	/** Fills the pool of an account at the rate, and up to the burst, that nobody else may use. */
	#refillPool(account: string, now: number): Pool {
		const pool = this.#pools.get(account) ?? {level: 0, updatedAt: this.startedAt};
		const limits = this.getLimits(account);
		if (limits === undefined) {
			this.#pools.delete(account);
			return pool;
		}

		const committed = this.#sumCommitted('', account);
		const gained = ((now - pool.updatedAt) / 1000) * limits.rate * Math.max(0, 1 - committed.rate);
		pool.level = Math.min(Math.max(0, 1 - committed.burst) * limits.burst, pool.level + gained);
		pool.updatedAt = now;
		this.#pools.set(account, pool);
		return pool;
	}

	#sumCommitted(id: string, account: string): Fractions {
		let rate = 0;
		let burst = 0;
		for (const [otherId, holder] of this.#holders) {
			if (otherId !== id) {
				const committed = getCommittedFractions(holder, account);
				rate += committed.rate;
				burst += committed.burst;
			}
		}

		return {rate, burst};
	}

	#removeExpired(now: number): void {
		for (const [id, holder] of this.#holders) {
			if (holder.grants.length > 0 && holder.grants.every(grant => grant.expiresAt <= now)) {
				this.#refillPools(holder, [], now);
				this.#holders.delete(id);
			}
		}
	}
}

function getCommittedFractions(holder: HolderState, account: string): Fractions {
	let {rate, burst} = zeroFractions;
	for (const grant of holder.grants) {
		const fractions = grant.fractions.get(account) ?? zeroFractions;
		rate = Math.max(rate, fractions.rate);
		burst = Math.max(burst, fractions.burst);
	}

	return {rate, burst};
}

/** When a rate is used up there is nothing to keep for others. */
function getSaturatedRateFraction(options: AllocatorOptions): number {
	return options.maxLocalRateFraction === 0 ? 0 : 0.95;
}

function clampFraction(value: number, free: number): number {
	return Math.max(0, Math.min(value, free));
}
