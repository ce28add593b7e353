import {performance} from 'node:perf_hooks';

/** Monotonic time. */
export type Clock = {
	/** Returns milliseconds since an arbitrary start. */
	getNow(): number;
};

/** The clock of this process. */
export const systemClock: Clock = {
	getNow: () => performance.now(),
};
