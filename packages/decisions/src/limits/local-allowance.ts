import {type RateLimit} from './token-bucket.js';
import {countAllowedPerWindow} from './sliding-window-limiter.js';
import {countAllowedInIsolation} from './token-issuer.js';

/** Fraction of its even share that a VM may use at once while it does not know what the account has left. */
const unknownFreeFraction = 0.1;

/** What a VM knows of an account when it loses the issuer. */
export type LocalUsage = {
	/** Number of operations that the VM admitted in the last window. */
	readonly used: number;
	/** Number of operations that the account had left over all VMs, when the issuer last granted tokens. */
	readonly free: number;
	/** Age of that number, in milliseconds; infinite if the VM got none. */
	readonly freeAgeMs: number;
};

/**
 * Returns the number of operations that a VM may admit in the window that ends now, while the issuer does not answer.
 * It starts from what the VM used and its part of what the account had left, and becomes the even share within one window. So what all VMs admit remains
 * within the limit, however uneven the load was; VMs that know of nothing left exceed it by at most a tenth.
 * @param members - Number of VMs that share the limit.
 * @param elapsedMs - Time since the VM lost the issuer, in milliseconds.
 */
export function countAllowedLocally(limit: RateLimit, windowMs: number, members: number, {used, free, freeAgeMs}: LocalUsage, elapsedMs: number): number {
	const share = countAllowedPerWindow(limit, windowMs) / Math.max(1, members);
	const passed = Math.min(1, elapsedMs / windowMs);
	const knownFraction = Math.max(0, 1 - (freeAgeMs / windowMs));
	const ownFree = ((free / Math.max(1, members)) * knownFraction) + (share * unknownFreeFraction * (1 - knownFraction));
	const allowed = ((used + ownFree) * (1 - passed)) + (share * passed);
	return Math.min(allowed, countAllowedInIsolation(limit, windowMs, members, used));
}
