/** Clocks of a VM: a monotonic clock, and wall-clock time, which can jump. */
export type Clock = {
	/** Returns monotonic time, in milliseconds. */
	now(): number;
	/** Returns Unix time, in milliseconds. */
	getWallTime(): number;
};
