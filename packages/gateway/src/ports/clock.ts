/** Clocks of a VM: a monotonic clock, and wall-clock time, which can jump. */
export type Clock = {
	/** Returns monotonic time, milliseconds. */
	now(): number;
	/** Returns Unix time, milliseconds. */
	getWallTime(): number;
};
