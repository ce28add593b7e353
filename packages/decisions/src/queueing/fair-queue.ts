/** Priority classes of requests. */
export type Priority = 'high' | 'normal' | 'low';

/** A request that waits for a slot. */
export type QueueEntry<T> = {
	readonly account: string;
	readonly priority: Priority;
	/** Weight of the account. */
	readonly weight: number;
	/** Monotonic time at which the request expires, in milliseconds. */
	readonly deadline: number;
	readonly value: T;
};

/** Policies for ordering waiting requests: weighted fair queueing, or a single queue in order of arrival. */
export type QueuePolicy = 'fair' | 'first-come';

type AccountQueue<T> = {virtualFinish: number; entries: Array<QueueEntry<T>>};

type PriorityClass<T> = {
	readonly weight: number;
	/** Number of requests served, divided by the weight; the class with the lowest value is served next. */
	weightedServedCount: number;
	/** Virtual time of weighted fair queueing between the accounts of the class. */
	virtualTime: number;
	readonly accounts: Map<string, AccountQueue<T>>;
};

const priorities: readonly Priority[] = ['high', 'normal', 'low'];
const priorityWeights: Readonly<Record<Priority, number>> = {high: 16, normal: 4, low: 1};

/**
 * Orders waiting requests: between priority classes in proportion to their weights, so that none starves,
 * and within a class by weighted fair queueing between the client accounts.
 */
export class FairQueue<T> {
	readonly #classes: Readonly<Record<Priority, PriorityClass<T>>>;
	#size = 0;

	constructor(private readonly policy: QueuePolicy = 'fair') {
		this.#classes = {
			high: createClass('high'), normal: createClass('normal'), low: createClass('low'),
		};
	}

	get size(): number {
		return this.#size;
	}

	/** Returns the number of waiting requests of an account. */
	getAccountSize(account: string): number {
		let size = 0;
		for (const priority of priorities) {
			size += this.#classes[priority].accounts.get(this.#getQueueKey(account))?.entries.length ?? 0;
		}

		return size;
	}

	addEntry(entry: QueueEntry<T>): void {
		const priorityClass = this.#classes[this.#getEffectivePriority(entry.priority)];
		const key = this.#getQueueKey(entry.account);
		const queue = priorityClass.accounts.get(key) ?? {virtualFinish: priorityClass.virtualTime, entries: []};
		if (this.#isEmptyClass(priorityClass)) {
			priorityClass.weightedServedCount = this.#getResumedServedCount(priorityClass.weightedServedCount);
		}

		queue.entries.push(entry);
		priorityClass.accounts.set(key, queue);
		this.#size += 1;
	}

	/**
	 * Removes and returns the next request that can be placed, undefined if there is none.
	 * @param canPlace - Returns whether a request could be sent to an instance now.
	 */
	removeNext(canPlace: (entry: QueueEntry<T>) => boolean): QueueEntry<T> | undefined {
		const classes = priorities.map(priority => this.#classes[priority])
			.filter(priorityClass => !this.#isEmptyClass(priorityClass))
			.toSorted((a, b) => a.weightedServedCount - b.weightedServedCount);
		for (const priorityClass of classes) {
			const entry = this.#removeFromClass(priorityClass, canPlace);
			if (entry !== undefined) {
				priorityClass.weightedServedCount += 1 / priorityClass.weight;
				return entry;
			}
		}

		return undefined;
	}

	/** Removes the request with a value, if it is waiting. */
	removeEntry(value: T): void {
		for (const priority of priorities) {
			for (const [key, queue] of this.#classes[priority].accounts) {
				const index = queue.entries.findIndex(entry => entry.value === value);
				if (index !== -1) {
					queue.entries.splice(index, 1);
					this.#size -= 1;
					this.#removeIfEmpty(this.#classes[priority], key, queue);
					return;
				}
			}
		}
	}

	/** Removes and returns the requests whose deadline has passed. */
	removeExpired(now: number): Array<QueueEntry<T>> {
		const expired: Array<QueueEntry<T>> = [];
		for (const priority of priorities) {
			for (const [key, queue] of this.#classes[priority].accounts) {
				expired.push(...queue.entries.filter(entry => entry.deadline <= now));
				queue.entries = queue.entries.filter(entry => entry.deadline > now);
				this.#removeIfEmpty(this.#classes[priority], key, queue);
			}
		}

		this.#size -= expired.length;
		return expired;
	}

	#removeFromClass(priorityClass: PriorityClass<T>, canPlace: (entry: QueueEntry<T>) => boolean): QueueEntry<T> | undefined {
		const queues = [...priorityClass.accounts].toSorted(([, a], [, b]) => a.virtualFinish - b.virtualFinish);
		for (const [key, queue] of queues) {
			const index = queue.entries.findIndex(entry => canPlace(entry));
			if (index !== -1) {
				const [entry] = queue.entries.splice(index, 1);
				priorityClass.virtualTime = Math.max(priorityClass.virtualTime, queue.virtualFinish);
				queue.virtualFinish = Math.max(queue.virtualFinish, priorityClass.virtualTime) + (1 / entry!.weight);
				this.#removeIfEmpty(priorityClass, key, queue);
				this.#size -= 1;
				return entry;
			}
		}

		return undefined;
	}

	#removeIfEmpty(priorityClass: PriorityClass<T>, key: string, queue: AccountQueue<T>): void {
		// An idle account is kept only while its virtual finish time is ahead of the virtual time of the class.
		if (queue.entries.length === 0 && queue.virtualFinish <= priorityClass.virtualTime) {
			priorityClass.accounts.delete(key);
		}
	}

	#isEmptyClass(priorityClass: PriorityClass<T>): boolean {
		for (const queue of priorityClass.accounts.values()) {
			if (queue.entries.length > 0) {
				return false;
			}
		}

		return true;
	}

	/** Returns the weighted served count with which an idle class resumes: at least that of the least served active class, so that it gets no credit for its idle time. */
	#getResumedServedCount(ownCount: number): number {
		const served = priorities.map(priority => this.#classes[priority]).filter(other => !this.#isEmptyClass(other)).map(other => other.weightedServedCount);
		return served.length === 0 ? ownCount : Math.max(ownCount, Math.min(...served));
	}

	#getQueueKey(account: string): string {
		return this.policy === 'fair' ? account : '';
	}

	#getEffectivePriority(priority: Priority): Priority {
		return this.policy === 'fair' ? priority : 'normal';
	}
}

function createClass<T>(priority: Priority): PriorityClass<T> {
	return {
		weight: priorityWeights[priority], weightedServedCount: 0, virtualTime: 0, accounts: new Map(),
	};
}
