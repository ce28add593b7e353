import {clockDriftShare} from '../leases/lease-voter.js';
import {
	type AccountDemand, type AccountShare, type DemandReport, type LimitsLookup, type ShareGrant,
} from './account-demand.js';

type Fractions = {readonly rate: number; readonly burst: number};

type IssuedGrant = {
	readonly sequence: number;
	readonly expiresAt: number;
	readonly fractions: Map<string, Fractions>;
};

type HolderRecord = {
	grants: IssuedGrant[];
	demand: Map<string, number>;
};

type Pool = {level: number; updatedAt: number};

/** Settings of the allocator. */
export type AllocatorOptions = {
	/** Time that a grant may be used, in milliseconds. */
	readonly validMs: number;
	/** Part of a rate that is handed out by demand; the rest fills the pool. */
	readonly localRateShare: number;
	/** Part of a burst that is handed out by demand; the rest stays in the pool. */
	readonly localBurstShare: number;
	/** Time for which tokens are handed out ahead when a VM asks, in milliseconds. */
	readonly prefetchMs: number;
};

export const defaultAllocatorOptions: AllocatorOptions = {
	validMs: 2000, localRateShare: 0.7, localBurstShare: 0.4, prefetchMs: 250,
};

const noFractions: Fractions = {rate: 0, burst: 0};
const smallest = 1e-9;

/**
 * Divides the rate and burst of every client account between the VMs and a pool.
 * Whatever was granted counts as in use until its holder has confirmed a later grant or the grant has expired,
 * so the fractions in use never add up to more than one.
 */
export class ShareAllocator {
	readonly #holders = new Map<string, HolderRecord>();
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
		this.#fillPools(holder, report.accounts.map(demand => demand.account), now);
		holder.grants = holder.grants.filter(grant => grant.sequence === report.appliedSequence);
		this.#observeDemand(holder, report);

		this.#sequence += 1;
		const validMs = Math.max(0, Math.min(this.options.validMs, usableUntil - now));
		const accounts = report.accounts.map(demand => this.#createShare(id, holder, demand, report.leaving, now));
		const fractions = report.partial ? new Map(holder.grants[0]?.fractions) : new Map<string, Fractions>();
		for (const share of accounts) {
			fractions.set(share.account, {rate: share.rateFraction, burst: share.burstFraction});
		}

		holder.grants.push({sequence: this.#sequence, expiresAt: now + (validMs * (1 + clockDriftShare)), fractions});
		return {sequence: this.#sequence, validMs, accounts};
	}

	/** Returns the fractions of an account that may be in use, which never exceed one. */
	getCommitted(account: string, now: number): Fractions {
		this.#removeExpired(now);
		return this.#sumOthers('', account);
	}

	#getHolder(id: string): HolderRecord {
		const holder = this.#holders.get(id) ?? {grants: [], demand: new Map<string, number>()};
		this.#holders.set(id, holder);
		return holder;
	}

	#observeDemand(holder: HolderRecord, report: DemandReport): void {
		if (!report.partial) {
			holder.demand.clear();
		}

		for (const demand of report.accounts) {
			holder.demand.set(demand.account, report.leaving ? 0 : demand.perSecond);
		}
	}

	#createShare(id: string, holder: HolderRecord, demand: AccountDemand, isLeaving: boolean, now: number): AccountShare {
		const limits = this.getLimits(demand.account);
		if (limits === undefined) {
			return {
				account: demand.account, rateFraction: 0, burstFraction: 0, tokens: 0,
			};
		}

		const others = this.#sumOthers(id, demand.account);
		const before = getCommittedFractions(holder, demand.account);
		const pool = this.#fillPool(demand.account, now);
		pool.level = Math.min(pool.level + demand.returnedTokens, Math.max(0, 1 - others.burst - before.burst) * limits.burst);
		if (isLeaving) {
			return {
				account: demand.account, rateFraction: 0, burstFraction: 0, tokens: 0,
			};
		}

		const {part, total} = this.#getDemandPart(demand);
		const wanted = this.#chooseTokens(demand, pool, limits.rate);
		const localRateShare = total > limits.rate ? saturatedRateShare(this.options) : this.options.localRateShare;
		const localBurst = clampFraction(this.options.localBurstShare * part, this.options.localBurstShare - others.burst);
		const burst = clampFraction(Math.max(localBurst, (demand.heldTokens + wanted) / limits.burst), 1 - others.burst);
		// A bucket that cannot hold one token would let its rate run to waste.
		const rate = burst * limits.burst < 1 ? 0 : clampFraction(localRateShare * part, localRateShare - others.rate);
		const tokens = Math.max(0, Math.min(wanted, (burst * limits.burst) - demand.heldTokens));
		const remaining = Math.max(0, 1 - others.burst - Math.max(burst, before.burst));
		pool.level = Math.min(pool.level - tokens, remaining * limits.burst);
		return {
			account: demand.account, rateFraction: rate, burstFraction: burst, tokens,
		};
	}

	/** Tokens for the waiting requests and, when the pool is rich, for those expected soon. */
	#chooseTokens(demand: AccountDemand, pool: Pool, rate: number): number {
		if (demand.waiting === 0) {
			return 0;
		}

		const expected = Math.min(demand.perSecond, rate) * (this.options.prefetchMs / 1000);
		const wanted = Math.max(0, Math.ceil(demand.waiting + expected - demand.heldTokens));
		const ahead = Math.max(demand.waiting, pool.level / 2);
		return Math.floor(Math.min(wanted, ahead, pool.level));
	}

	#getDemandPart(demand: AccountDemand): {part: number; total: number} {
		let total = 0;
		for (const holder of this.#holders.values()) {
			total += holder.demand.get(demand.account) ?? 0;
		}

		return {part: total < smallest ? 0 : demand.perSecond / total, total};
	}

	#fillPools(holder: HolderRecord, accounts: readonly string[], now: number): void {
		for (const account of new Set([...accounts, ...holder.grants.flatMap(grant => [...grant.fractions.keys()])])) {
			this.#fillPool(account, now);
		}
	}

	/** Fills the pool of an account at the rate, and up to the burst, that nobody else may use. */
	#fillPool(account: string, now: number): Pool {
		const pool = this.#pools.get(account) ?? {level: 0, updatedAt: this.startedAt};
		const limits = this.getLimits(account);
		if (limits === undefined) {
			this.#pools.delete(account);
			return pool;
		}

		const committed = this.#sumOthers('', account);
		const gained = ((now - pool.updatedAt) / 1000) * limits.rate * Math.max(0, 1 - committed.rate);
		pool.level = Math.min(Math.max(0, 1 - committed.burst) * limits.burst, pool.level + gained);
		pool.updatedAt = now;
		this.#pools.set(account, pool);
		return pool;
	}

	#sumOthers(id: string, account: string): Fractions {
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
				this.#fillPools(holder, [], now);
				this.#holders.delete(id);
			}
		}
	}
}

function getCommittedFractions(holder: HolderRecord, account: string): Fractions {
	let {rate, burst} = noFractions;
	for (const grant of holder.grants) {
		const fractions = grant.fractions.get(account) ?? noFractions;
		rate = Math.max(rate, fractions.rate);
		burst = Math.max(burst, fractions.burst);
	}

	return {rate, burst};
}

/** When a rate is used up there is nothing to keep for others. */
function saturatedRateShare(options: AllocatorOptions): number {
	return options.localRateShare === 0 ? 0 : 0.95;
}

function clampFraction(value: number, free: number): number {
	return Math.max(0, Math.min(value, free - smallest));
}
