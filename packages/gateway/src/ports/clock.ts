/** Time of a VM: a steady clock, and the time of day, which may jump. */
export type Clock = {
	/** Steady time in milliseconds. */
	now(): number;
	/** Unix time in milliseconds. */
	getWallTime(): number;
};
