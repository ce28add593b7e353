import {type Priority} from '../queueing/index.js';

/** Instances that a waiting request accepts; the requests of a group form one queue for each. */
export type QueueTarget = 'primary' | 'any';

/** Numbers by priority class. */
export type ClassNumbers = Readonly<Record<Priority, number>>;

/** Load of one queue of a database group, on one VM or summed over VMs. */
export type QueueLoad = {
	readonly group: string;
	readonly target: QueueTarget;
	/** Waiting requests. */
	readonly waiting: ClassNumbers;
	/** Requests placed per second. */
	readonly placedPerS: ClassNumbers;
	/** Number of client accounts that have waiting requests. */
	readonly accounts: number;
	/** Waiting requests of the accounts that have the most. */
	readonly largest: ReadonlyMap<string, number>;
};

/** Load of a queue summed over VMs. */
export type SummedLoad = QueueLoad & {
	/** Number of VMs on which requests wait. */
	readonly vms: number;
	/** Mean age of the loads in the sum, in milliseconds. */
	readonly ageMs: number;
};

/** Mean wait from which a queue counts as long, in milliseconds: several handshakes of 12 ms. */
const minLongWaitMs = 50;

/** Number of waiting requests below which a queue does not count as long: the resolution of numbers in messages. */
const minLongWaiting = 0.1;

/** Sums the numbers of all classes. */
export function sumClasses({high, normal, low}: ClassNumbers): number {
	return high + normal + low;
}

/** Sums of the numbers of a class and those above it. */
export const sumsFromAbove: Readonly<Record<Priority, (numbers: ClassNumbers) => number>> = {
	high: ({high}) => high,
	normal: ({high, normal}) => high + normal,
	low: numbers => sumClasses(numbers),
};

/** Returns whether requests wait for long in a queue. One that places its requests sooner needs no decision and is not stated, so that heartbeats do not grow. */
export function isLongQueue(load: Pick<QueueLoad, 'waiting' | 'placedPerS'>): boolean {
	const waiting = sumClasses(load.waiting);
	return waiting >= minLongWaiting && waiting * 1000 >= minLongWaitMs * sumClasses(load.placedPerS);
}
