import {performance} from 'node:perf_hooks';

/** A monotonic clock. */
export type Clock = {
	/** Returns the milliseconds since an arbitrary but fixed point in time. */
	getNow(): number;
};

/** Monotonic clock of this process. */
export const systemClock: Clock = {
	getNow: () => performance.now(),
};
