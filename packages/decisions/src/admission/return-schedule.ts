import {type Priority} from '../queueing/index.js';

/** Width of the intervals in which returns are counted, in milliseconds. */
const intervalMs = 50;

/** Number of intervals ahead in which returns are counted, so that memory is bounded. */
const intervalCount = 120;

/** Maximum number of keys for which returns are counted; the one used least recently is removed. */
const maxKeys = 256;

/** Fraction of the served rate that returns of each class may take up, so that more urgent ones that are refused later still return early. */
const usableFractions: Readonly<Record<Priority, number>> = {high: 1, normal: 0.8, low: 0.6};

/** A refused operation, for which a time of return is wanted. */
export type ReturnRequest = {
	/** What the operation waits for: a queue of a group, or an account's limit. */
	readonly key: string;
	readonly priority: Priority;
	/** Rate at which returning operations can be served, per second. */
	readonly perS: number;
	/** Time before which a return has no chance, in milliseconds. */
	readonly earliestMs: number;
	/** Time after which a return is useless, in milliseconds. */
	readonly latestMs: number;
};

type KeySchedule = {
	/** Number of the first interval since time zero. */
	firstInterval: number;
	/** Scheduled returns by interval. */
	counts: number[];
};

/** Assigns the times at which refused operations return: along the rate at which they can be served, urgent classes first, spread evenly. */
export class ReturnSchedule {
	readonly #schedules = new Map<string, KeySchedule>();

	/** @param random - Returns a number in [0, 1). */
	constructor(private readonly random: () => number) {}

	/** Number of keys for which returns are counted. */
	get size(): number {
		return this.#schedules.size;
	}

	/** Schedules the return of a refused operation; returns the delay in milliseconds. */
	reserveReturn({key, priority, perS, earliestMs, latestMs}: ReturnRequest, now: number): number {
		const counts = this.#getCounts(key, now);
		const latest = Math.max(0, latestMs);
		const earliest = Math.min(Math.max(0, earliestMs), latest);
		const first = Math.min(intervalCount - 1, Math.floor(earliest / intervalMs));
		const last = Math.min(intervalCount - 1, Math.max(first, Math.floor(latest / intervalMs) - 1));
		const chosen = chooseInterval(counts, first, last, Math.max(0, perS) * usableFractions[priority]);
		counts[chosen]! += 1;
		const startMs = chosen * intervalMs;
		const delayMs = startMs + (this.random() * intervalMs);
		return Math.min(latest, delayMs < earliest ? earliest + (this.random() * Math.min(intervalMs, latest - earliest)) : delayMs);
	}

	/** Returns the counts of a key, of which the first is that of the present interval. */
	#getCounts(key: string, now: number): number[] {
		const firstInterval = Math.floor(now / intervalMs);
		const schedule = this.#schedules.get(key) ?? {firstInterval, counts: createCounts(intervalCount)};
		const passed = Math.min(intervalCount, Math.max(0, firstInterval - schedule.firstInterval));
		schedule.counts = [...schedule.counts.slice(passed), ...createCounts(passed)];
		schedule.firstInterval = firstInterval;
		this.#schedules.delete(key);
		this.#schedules.set(key, schedule);
		if (this.#schedules.size > maxKeys) {
			this.#schedules.delete(this.#schedules.keys().next().value!);
		}

		return schedule.counts;
	}
}

function createCounts(length: number): number[] {
	return Array.from({length}, () => 0);
}

/** Chooses the first interval up to which fewer returns are scheduled than can be served; if there is none, the one with the fewest, so that the returns are spread evenly. */
function chooseInterval(counts: readonly number[], first: number, last: number, perS: number): number {
	let servable = 0;
	let scheduled = 0;
	let emptiest = first;
	for (let index = first; index <= last; index++) {
		servable += (perS * intervalMs) / 1000;
		scheduled += counts[index]!;
		if (scheduled + 1 <= servable + Number.EPSILON) {
			return index;
		}

		emptiest = counts[index]! < counts[emptiest]! ? index : emptiest;
	}

	return emptiest;
}
