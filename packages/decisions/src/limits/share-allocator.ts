import {type AccountLimits} from '@chicorysaddle/model';
import {maxClockDriftFraction} from '../leases/lease-voter.js';
import {
	type AccountDemand, type AccountShare, type AllocatorState, type DemandReport, type LimitsLookup, type ShareGrant,
} from './share-messages.js';

/** Fractions of an account's rate and burst. */
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

/** Options of the allocator. */
export type AllocatorOptions = {
	/** Validity of a grant, in milliseconds. */
	readonly validMs: number;
	/** Maximum fraction of a rate that is granted to VMs as local rates; the rest refills the pool. */
	readonly maxLocalRateFraction: number;
	/** Fraction of a VM's demand that its local rate covers; it requests the rest from the pool. */
	readonly coveredDemandFraction: number;
	/** Length of the period ahead for whose expected demand a VM may hold tokens, in milliseconds. */
	readonly prefetchMs: number;
	/** Maximum fraction of a burst reserved for tokens from local rates. */
	readonly maxLocalBurstFraction: number;
	/** Time for which a VM's bucket can refill at its local rate before it overflows, in milliseconds. */
	readonly localBufferMs: number;
};

/** Default options of the allocator. */
export const defaultAllocatorOptions: AllocatorOptions = {
	validMs: 2000, maxLocalRateFraction: 0.85, coveredDemandFraction: 0.95, prefetchMs: 300, maxLocalBurstFraction: 0.35, localBufferMs: 400,
};

const zeroFractions: Fractions = {rate: 0, burst: 0};
/** Tolerance for rounding errors of rates and token counts. */
const epsilon = 1e-9;
/** Minimum capacity in tokens of a VM's share of a burst before it gets a local rate. */
const minLocalBurstTokens = 4;
/** Maximum estimate of the time until the next token, in milliseconds. */
const maxNextTokenMs = 60_000;

/**
 * Divides the rate and burst of every client account between the VMs and a shared pool.
 * A grant counts as in use until its holder confirms a later one or it expires, so the fractions in use never add up to more than one.
 */
export class ShareAllocator {
	readonly #holders = new Map<string, HolderState>();
	readonly #pools = new Map<string, Pool>();
	#sequence = 0;

	/**
	 * @param startedAt - Monotonic time by which all grants of earlier allocators have expired, in milliseconds; all pools start empty.
	 * @param getLimits - Returns the active limits of an account.
	 * @param options - Options of the allocator.
	 */
	constructor(private readonly startedAt: number, private readonly getLimits: LimitsLookup, private readonly options: AllocatorOptions = defaultAllocatorOptions) {}

	/**
	 * Creates the grant that answers a report.
	 * @param report - Report of one VM.
	 * @param usableUntil - Monotonic time at which the allocator's lease ends, in milliseconds; it bounds the validity of the grant.
	 * @param now - Monotonic time in milliseconds.
	 */
	createGrant(report: DemandReport, usableUntil: number, now: number): ShareGrant {
		const id = `${report.vm}#${report.incarnation}`;
		this.#removeExpired(now);
		const holder = this.#getHolder(id);
		// Refill the pools with the fractions that were in use until now, before this report releases some.
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

	/** Returns the state for a successor; this allocator must not create grants afterwards. */
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

	/** Adopts the state of a predecessor. A slow transfer is safe: it only extends the time for which the predecessor's grants count as in use. */
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

	/** Returns the fractions of an account that may be in use; they never exceed one. */
	getFractionsInUse(account: string, now: number): Fractions {
		this.#removeExpired(now);
		return this.#sumFractionsInUse('', account);
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

		const othersInUse = this.#sumFractionsInUse(id, demand.account);
		const ownInUse = getHolderFractionsInUse(holder, demand.account);
		const pool = this.#refillPool(demand.account, now);
		pool.level = Math.min(pool.level + demand.returnedTokens, Math.max(0, 1 - othersInUse.burst - ownInUse.burst) * limits.burst);
		if (isLeaving) {
			return {
				account: demand.account, rateFraction: 0, burstFraction: 0, tokens: 0, nextTokenMs: 0,
			};
		}

		const {fraction: demandFraction, total: totalDemand} = this.#getDemandFraction(demand);
		const rateFraction = this.#chooseRateFraction(demand, demandFraction, totalDemand, limits, othersInUse);
		const keptTokens = this.#chooseKeptTokens(demand, demandFraction, limits.rate, rateFraction);
		const desiredTokens = this.#chooseGrantedTokens(demand, keptTokens, pool, demandFraction);
		const burstFraction = clampFraction((keptTokens + desiredTokens + this.#getRequiredCapacity(rateFraction * limits.rate)) / limits.burst, 1 - othersInUse.burst);
		const tokens = Math.max(0, Math.min(desiredTokens, (burstFraction * limits.burst) - keptTokens));
		holder.waiting.set(demand.account, Math.max(0, demand.waiting - keptTokens - tokens));
		const freeFraction = Math.max(0, 1 - othersInUse.burst - Math.max(burstFraction, ownInUse.burst));
		pool.level = Math.min(pool.level - tokens, freeFraction * limits.burst);
		return {
			account: demand.account, rateFraction, burstFraction, tokens, nextTokenMs: this.#estimateNextTokenMs(demand, pool, othersInUse.rate + Math.max(rateFraction, ownInUse.rate), limits.rate),
		};
	}

	/** Chooses the fraction of the account's rate that the VM gets as its local rate, which its demand uses up; zero if its share of the burst cannot buffer the refill between two reports. */
	#chooseRateFraction(demand: AccountDemand, demandFraction: number, totalDemand: number, limits: AccountLimits, othersInUse: Fractions): number {
		const isSaturated = totalDemand > limits.rate;
		const maxRateFraction = isSaturated ? getSaturatedRateFraction(this.options) : this.options.maxLocalRateFraction;
		const desiredRate = Math.min(maxRateFraction * demandFraction * limits.rate, isSaturated ? limits.rate : this.options.coveredDemandFraction * demand.perSecond);
		const capacity = this.options.maxLocalBurstFraction * demandFraction * limits.burst;
		if (capacity < minLocalBurstTokens) {
			return 0;
		}

		const bufferedRate = Math.min(desiredRate, (capacity - 1) * (1000 / this.options.localBufferMs));
		return clampFraction(bufferedRate / limits.rate, maxRateFraction - othersInUse.rate);
	}

	/** Returns the capacity in tokens that a bucket needs so that refills at its rate do not overflow it. */
	#getRequiredCapacity(rate: number): number {
		return rate < epsilon ? 0 : 1 + ((rate * this.options.localBufferMs) / 1000);
	}

	/** Chooses the number of tokens that the VM keeps; a whole number if it has no local rate, as nothing would complete a fraction of a token. */
	#chooseKeptTokens(demand: AccountDemand, demandFraction: number, accountRate: number, rateFraction: number): number {
		const maxTokens = demand.waiting + ((Math.min(demand.perSecond, accountRate * demandFraction) * this.options.prefetchMs) / 1000);
		return rateFraction > 0 ? Math.min(demand.heldTokens, Math.ceil(maxTokens)) : Math.floor(Math.min(demand.heldTokens, maxTokens) + epsilon);
	}

	/** Chooses the number of tokens granted for waiting requests and, if the pool has enough, for those expected soon; together with the kept tokens it is a whole number. */
	#chooseGrantedTokens(demand: AccountDemand, keptTokens: number, pool: Pool, demandFraction: number): number {
		if (demand.waiting === 0) {
			return 0;
		}

		const expectedTokens = (demand.perSecond * this.options.prefetchMs) / 1000;
		const neededTokens = Math.max(0, demand.waiting - keptTokens);
		const prefetchedTokens = Math.max(0, Math.min(Math.floor(demand.waiting + expectedTokens - keptTokens), Math.floor(pool.level * demandFraction)));
		return Math.max(0, Math.floor(keptTokens + Math.min(Math.max(neededTokens, prefetchedTokens), pool.level) + epsilon) - keptTokens);
	}

	#estimateNextTokenMs(demand: AccountDemand, pool: Pool, rateFractionInUse: number, accountRate: number): number {
		let waiting = 0;
		for (const holder of this.#holders.values()) {
			waiting += holder.waiting.get(demand.account) ?? 0;
		}

		const poolRate = Math.max(epsilon, accountRate * (1 - rateFractionInUse));
		return Math.min(maxNextTokenMs, (Math.max(0, Math.max(1, waiting) - pool.level) / poolRate) * 1000);
	}

	/** Returns the VM's fraction of the account's demand at all VMs, and that total in requests per second. */
	#getDemandFraction(demand: AccountDemand): {fraction: number; total: number} {
		let total = 0;
		for (const holder of this.#holders.values()) {
			total += holder.demand.get(demand.account) ?? 0;
		}

		return {fraction: total < epsilon ? 0 : demand.perSecond / total, total};
	}

	#refillPools(holder: HolderState, accounts: readonly string[], now: number): void {
		for (const account of new Set([...accounts, ...holder.grants.flatMap(grant => [...grant.fractions.keys()])])) {
			this.#refillPool(account, now);
		}
	}

	/** Refills the pool of an account from the fractions of its rate and burst that no grant in use covers. */
	#refillPool(account: string, now: number): Pool {
		const pool = this.#pools.get(account) ?? {level: 0, updatedAt: this.startedAt};
		const limits = this.getLimits(account);
		if (limits === undefined) {
			this.#pools.delete(account);
			return pool;
		}

		const inUse = this.#sumFractionsInUse('', account);
		const refill = ((now - pool.updatedAt) / 1000) * limits.rate * Math.max(0, 1 - inUse.rate);
		pool.level = Math.min(Math.max(0, 1 - inUse.burst) * limits.burst, pool.level + refill);
		pool.updatedAt = now;
		this.#pools.set(account, pool);
		return pool;
	}

	/** Returns the sum of the fractions of an account in use by all holders but one. */
	#sumFractionsInUse(excludedId: string, account: string): Fractions {
		let rate = 0;
		let burst = 0;
		for (const [id, holder] of this.#holders) {
			if (id !== excludedId) {
				const inUse = getHolderFractionsInUse(holder, account);
				rate += inUse.rate;
				burst += inUse.burst;
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

/** Returns the fractions of an account that a holder may be using: the maximum over its grants, any of which may be in use. */
function getHolderFractionsInUse(holder: HolderState, account: string): Fractions {
	let {rate, burst} = zeroFractions;
	for (const grant of holder.grants) {
		const fractions = grant.fractions.get(account) ?? zeroFractions;
		rate = Math.max(rate, fractions.rate);
		burst = Math.max(burst, fractions.burst);
	}

	return {rate, burst};
}

/** Returns the maximum fraction of a rate granted as local rates when demand exceeds the rate; leaving more of it to the pool gains nothing. */
function getSaturatedRateFraction(options: AllocatorOptions): number {
	return options.maxLocalRateFraction === 0 ? 0 : 0.95;
}

function clampFraction(value: number, available: number): number {
	return Math.max(0, Math.min(value, available));
}
