/** Longest time that a timer of Node.js can wait for, in milliseconds; one that is set to more, or to no number, runs at once. */
export const maxTimerMs = 2_147_483_647;

/** Returns the time to set a timer to, for a duration from outside this process: without a number nothing becomes due. */
export function clampTimerMs(ms: number): number {
	return Number.isNaN(ms) ? maxTimerMs : Math.min(ms, maxTimerMs);
}
