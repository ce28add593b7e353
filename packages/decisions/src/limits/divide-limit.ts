import {type BucketLimit} from './token-bucket.js';

/** Part of each VM's share that does not follow demand, so that a VM with new callers can begin. */
export const evenPart = 0.3;

/**
 * Divides an account's limit over VMs by their demand.
 * @param limit - Limit of the account over all VMs.
 * @param demands - Operations a second that each VM was asked for.
 * @param members - VMs that may hold a share, heard from or not.
 * @returns A share for each VM in `demands`; shares of silent members are kept back.
 */
export function divideLimit(limit: BucketLimit, demands: ReadonlyMap<string, number>, members: number): Map<string, BucketLimit> {
	const count = Math.max(members, demands.size);
	const heardPart = demands.size / count;
	const total = [...demands.values()].reduce((sum, demand) => sum + demand, 0);
	return new Map([...demands].map(([vm, demand]) => {
		const byDemand = total > 0 ? demand / total : 1 / demands.size;
		const share = heardPart * ((evenPart / demands.size) + ((1 - evenPart) * byDemand));
		return [vm, {ratePerS: limit.ratePerS * share, burst: limit.burst * share}];
	}));
}

/**
 * Returns the share that a VM may use without word from the others.
 * @param members - VMs that may hold a share.
 */
export function getEvenShare(limit: BucketLimit, members: number): BucketLimit {
	const count = Math.max(1, members);
	return {ratePerS: limit.ratePerS / count, burst: limit.burst / count};
}
