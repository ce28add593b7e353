import {type Priority} from '../queueing/index.js';
import {maxNamedAccounts} from './clamp-load.js';
import {type QueueLoad, type QueueTarget, sumsFromAbove} from './queue-load.js';

/**
 * Time constant of the averages, in milliseconds: long enough that a burst that drains within 50 ms hardly counts,
 * short against the deadlines of more than 1,000 ms.
 */
const averagingMs = 500;

const priorities: readonly Priority[] = ['high', 'normal', 'low'];

/**
 * Measures one queue of a VM: the waiting requests by class, averaged over time, and the rate at which requests are placed.
 * Both have the same time constant, so that their quotient is the mean wait (Little's law) also while a queue is filling.
 */
export class QueueMeter {
	readonly #counts: Record<Priority, number> = {high: 0, normal: 0, low: 0};
	readonly #means: Record<Priority, number> = {high: 0, normal: 0, low: 0};
	readonly #accounts = new Map<string, number>();
	readonly #placedPerS: Record<Priority, number> = {high: 0, normal: 0, low: 0};
	#updatedAt = 0;

	constructor(private readonly group: string, private readonly target: QueueTarget) {}

	/** Number of requests that wait now. */
	get size(): number {
		return this.#counts.high + this.#counts.normal + this.#counts.low;
	}

	/** Returns the number of waiting requests of a class and those above it. */
	countFromAbove(priority: Priority): number {
		return sumsFromAbove[priority](this.#counts);
	}

	/** Returns the number of waiting requests of an account. */
	getAccountCount(account: string): number {
		return this.#accounts.get(account) ?? 0;
	}

	/** Records a request that begins to wait. */
	recordWaiting(priority: Priority, account: string, now: number): void {
		this.#updateMeans(now);
		this.#counts[priority] += 1;
		this.#accounts.set(account, this.getAccountCount(account) + 1);
	}

	/**
	 * Records a request that no longer waits.
	 * @param isPlaced - Whether it got a connection; otherwise it was refused.
	 */
	recordSettled(priority: Priority, account: string, isPlaced: boolean, now: number): void {
		this.#updateMeans(now);
		this.#counts[priority] -= 1;
		this.#placedPerS[priority] += isPlaced ? 1000 / averagingMs : 0;
		const count = this.getAccountCount(account) - 1;
		if (count > 0) {
			this.#accounts.set(account, count);
		} else {
			this.#accounts.delete(account);
		}
	}

	/** Clears the averages, because what was measured says nothing about the present, as after a change of primary. */
	reset(now: number): void {
		this.#updatedAt = now;
		for (const priority of priorities) {
			this.#means[priority] = 0;
			this.#placedPerS[priority] = 0;
		}
	}

	/** Returns the present load. Of the average and the present number of waiting requests the lower one counts: neither a burst that has just begun nor a queue that has emptied is overload. */
	getLoad(now: number): QueueLoad {
		this.#updateMeans(now);
		const getWaiting = (priority: Priority) => Math.min(this.#counts[priority], this.#means[priority]);
		return {
			group: this.group,
			target: this.target,
			waiting: {high: getWaiting('high'), normal: getWaiting('normal'), low: getWaiting('low')},
			placedPerS: {...this.#placedPerS},
			accounts: this.#accounts.size,
			largest: new Map([...this.#accounts].toSorted(([, a], [, b]) => b - a).slice(0, maxNamedAccounts)),
		};
	}

	#updateMeans(now: number): void {
		const keptFraction = Math.exp((this.#updatedAt - now) / averagingMs);
		this.#updatedAt = now;
		for (const priority of priorities) {
			this.#placedPerS[priority] *= keptFraction;
			this.#means[priority] = this.#counts[priority] + ((this.#means[priority] - this.#counts[priority]) * keptFraction);
		}
	}
}
