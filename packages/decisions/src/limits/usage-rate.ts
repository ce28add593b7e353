/** Time constant of the exponential average of a rate, in milliseconds. */
const usageTimeConstantMs = 3000;

const msPerSecond = 1000;

/** Exponential average of a rate, as of a monotonic time in milliseconds. */
export type UsageRate = {perSecond: number; updatedAt: number};

/** Adds operations to the exponential average of a rate. */
export function updateUsageRate(rate: UsageRate | undefined, count: number, now: number): UsageRate {
	const {perSecond, updatedAt} = rate ?? {perSecond: 0, updatedAt: now};
	return {perSecond: (perSecond * Math.exp(-(now - updatedAt) / usageTimeConstantMs)) + ((count * msPerSecond) / usageTimeConstantMs), updatedAt: now};
}
