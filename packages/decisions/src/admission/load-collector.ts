import {type Priority} from '../queueing/index.js';
import {clampLoad} from './clamp-load.js';
import {loadLifetimeMs} from './group-load.js';
import {type QueueLoad, sumClasses, type SummedLoad} from './queue-load.js';

/** Maximum number of queues that one VM may state. */
const maxQueues = 512;

/** Maximum number of accounts that a sum names. */
const maxNamedInSum = 12;

/** Time for which a sum is kept before it is computed again, in milliseconds: many heartbeats arrive within it. */
const sumTtlMs = 50;

const priorities: readonly Priority[] = ['high', 'normal', 'low'];

type VmLoads = {readonly at: number; readonly loads: readonly QueueLoad[]};

type Sum = {
	readonly waiting: Record<Priority, number>;
	readonly placedPerS: Record<Priority, number>;
	vms: number;
	waitingVms: number;
	ageMs: number;
	unnamedAccounts: number;
	readonly accounts: Map<string, number>;
};

/** Sums the loads that VMs state in their heartbeats, by queue. */
export class LoadCollector {
	readonly #loadsByVm = new Map<string, VmLoads>();
	/** Monotonic time at which a request last waited in a queue, in milliseconds. */
	readonly #lastWaitingAt = new Map<string, number>();
	#summedAt = Number.NEGATIVE_INFINITY;
	#sums: readonly SummedLoad[] = [];

	/**
	 * Records what a VM states.
	 * @param loads - Loads of its queues, undefined if it states none.
	 */
	recordLoads(vm: string, loads: readonly QueueLoad[] | undefined, now: number): void {
		if (loads === undefined) {
			this.#loadsByVm.delete(vm);
			return;
		}

		this.#loadsByVm.set(vm, {at: now, loads: loads.slice(0, maxQueues).map(load => clampLoad(load))});
	}

	/** Removes a VM that has left. */
	removeVm(vm: string): void {
		this.#loadsByVm.delete(vm);
	}

	/**
	 * Returns the sums of the queues in which a request waits, or waited until shortly before.
	 * @param vms - Number of VMs. One that states no load of a queue counts as having none waiting, and as placing as many requests as the mean of those that do:
	 * VMs without waiting requests state their placements only once they know that requests wait elsewhere, and former builds never do.
	 */
	getSums(vms: number, now: number): readonly SummedLoad[] {
		if (this.#loadsByVm.size === 0) {
			this.#lastWaitingAt.clear();
			return [];
		}

		if (now - this.#summedAt >= sumTtlMs) {
			this.#summedAt = now;
			this.#sums = this.#computeSums(vms, now);
		}

		return this.#sums;
	}

	#computeSums(vms: number, now: number): SummedLoad[] {
		const sums = new Map<string, {readonly load: QueueLoad; readonly sum: Sum}>();
		for (const [vm, {at, loads}] of this.#loadsByVm) {
			if (now - at >= loadLifetimeMs) {
				this.#loadsByVm.delete(vm);
				continue;
			}

			for (const load of loads) {
				const key = `${load.target} ${load.group}`;
				const entry = sums.get(key) ?? {load, sum: createSum()};
				sums.set(key, entry);
				addLoad(entry.sum, load, now - at);
			}
		}

		return [...sums].flatMap(([key, {load, sum}]) => {
			if (sumClasses(sum.waiting) > 0) {
				this.#lastWaitingAt.set(key, now);
			} else if (now - (this.#lastWaitingAt.get(key) ?? Number.NEGATIVE_INFINITY) >= loadLifetimeMs) {
				this.#lastWaitingAt.delete(key);
				return [];
			}

			return [createSummedLoad(load, sum, vms)];
		});
	}
}

function createSum(): Sum {
	return {
		waiting: {high: 0, normal: 0, low: 0}, placedPerS: {high: 0, normal: 0, low: 0}, vms: 0, waitingVms: 0, ageMs: 0, unnamedAccounts: 0, accounts: new Map(),
	};
}

function addLoad(sum: Sum, {waiting, placedPerS, accounts, largest}: QueueLoad, ageMs: number): void {
	for (const priority of priorities) {
		sum.waiting[priority] += waiting[priority];
		sum.placedPerS[priority] += placedPerS[priority];
	}

	sum.vms += 1;
	sum.waitingVms += sumClasses(waiting) > 0 ? 1 : 0;
	sum.ageMs += ageMs;
	sum.unnamedAccounts += Math.max(0, accounts - largest.size);
	for (const [account, count] of largest) {
		sum.accounts.set(account, (sum.accounts.get(account) ?? 0) + count);
	}
}

function createSummedLoad({group, target}: QueueLoad, sum: Sum, vms: number): SummedLoad {
	const factor = Math.max(1, vms / sum.vms);
	const accounts = sum.accounts.size + sum.unnamedAccounts;
	const fairCount = sumClasses(sum.waiting) / Math.max(1, accounts);
	return {
		group,
		target,
		waiting: {...sum.waiting},
		placedPerS: {high: sum.placedPerS.high * factor, normal: sum.placedPerS.normal * factor, low: sum.placedPerS.low * factor},
		accounts,
		largest: new Map([...sum.accounts].filter(([, count]) => count > 1 && count >= fairCount).toSorted(([, a], [, b]) => b - a).slice(0, maxNamedInSum)),
		vms: sum.waitingVms,
		ageMs: sum.ageMs / sum.vms,
	};
}
