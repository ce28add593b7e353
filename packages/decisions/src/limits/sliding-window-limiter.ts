import {type RateLimit, TokenBucket} from './token-bucket.js';
import {SlidingWindowCounter} from './sliding-window-counter.js';

const msPerSecond = 1000;

/** Returns the number of operations that a limit allows in one window. */
export function countAllowedPerWindow({ratePerS, burst}: RateLimit, windowMs: number): number {
	return ((ratePerS * windowMs) / msPerSecond) + burst;
}

/**
 * Admits at most rate times window length plus burst operations in every window. A token bucket with the same burst,
 * which refills at that average rate, spreads them evenly under sustained demand.
 */
export class SlidingWindowLimiter {
	readonly #bucket: TokenBucket;
	/** Operations per window under the limit. */
	#allowedPerWindow: number;
	/** Operations per window that may be admitted here: those under the limit, less those reserved for others. */
	#maxPerWindow: number;
	/** Operations in the window that are not counted, since they were admitted under a higher limit. */
	readonly #leftOut: SlidingWindowCounter;
	/** Operations per window under the highest limit that applied to them. */
	#highestAllowed = 0;
	#assumedCount = 0;
	#assumedDecreasePerMs = 0;

	/**
	 * @param limit - Initial limit.
	 * @param windowMs - Length of the window over which the limit holds, in milliseconds.
	 * @param now - Monotonic time in milliseconds.
	 * @param counter - Counter with the operations of the last window.
	 */
	constructor(limit: RateLimit, private readonly windowMs: number, now: number, private readonly counter = new SlidingWindowCounter(windowMs)) {
		this.#allowedPerWindow = countAllowedPerWindow(limit, windowMs);
		this.#maxPerWindow = this.#allowedPerWindow;
		this.#leftOut = new SlidingWindowCounter(windowMs);
		this.#bucket = new TokenBucket(this.#createBucketLimit(limit, this.#maxPerWindow), limit.burst, now);
	}

	/**
	 * Sets the number of operations in the last window that are assumed besides those counted.
	 * @param decreasePerMs - Number by which it decreases each millisecond.
	 */
	setAssumedUsage(count: number, decreasePerMs: number): void {
		this.#assumedCount = count;
		this.#assumedDecreasePerMs = decreasePerMs;
	}

	/** Fills the bucket as far as the window allows it. */
	fillBucket(now: number): void {
		this.#bucket.clear(now);
		this.#bucket.addTokens(this.getFreeCount(now));
	}

	/**
	 * Counts operations that were admitted elsewhere.
	 * @param counts - Operations of the last window, see {@link SlidingWindowCounter.exportCounts}.
	 */
	recordUsage(counts: readonly number[], now: number): void {
		const before = this.counter.getCount(now);
		this.counter.importCounts(counts, now);
		this.#bucket.removeTokens(this.counter.getCount(now) - before, now);
	}

	/**
	 * Sets the limit.
	 * @param reserved - Operations per window that others may use without requesting tokens.
	 * @param minFraction - Minimum fraction of the limit that stays unreserved.
	 */
	setLimit(limit: RateLimit, reserved: number, minFraction: number, now: number): void {
		const allowed = countAllowedPerWindow(limit, this.windowMs);
		this.#adjustCounter(allowed, now);
		this.#allowedPerWindow = allowed;
		this.#maxPerWindow = Math.max(allowed * minFraction, allowed - reserved);
		this.#bucket.setLimit(this.#createBucketLimit(limit, this.#maxPerWindow), now);
	}

	/**
	 * Takes a token for one operation; returns whether the limit allows it.
	 * @param reserve - Number of tokens that have to be left.
	 */
	takeToken(now: number, reserve = 0): boolean {
		if (this.getUsedCount(now) + 1 + reserve > this.#maxPerWindow) {
			// Under sustained demand the account continues at the average rate of the window, without another burst.
			this.#bucket.clear(now, reserve);
			return false;
		}

		if (!this.#bucket.takeToken(now, -reserve)) {
			return false;
		}

		this.counter.add(1, now);
		return true;
	}

	/** Returns the number of operations in the window that ends now, counted and assumed. */
	getUsedCount(now: number): number {
		return this.counter.getCount(now) + this.#assumedCount;
	}

	/** Returns the number of operations that are left in the window that ends now. */
	getFreeCount(now: number): number {
		return Math.max(0, this.#maxPerWindow - this.getUsedCount(now));
	}

	/** Returns the available tokens as a fraction of the burst, zero if the window is full. */
	getFillRatio(now: number): number {
		return this.getUsedCount(now) + 1 > this.#maxPerWindow ? 0 : this.#bucket.getFillRatio(now);
	}

	/**
	 * Returns the time until an operation is allowed, in milliseconds.
	 * @param reserve - Number of tokens that have to be left.
	 */
	getWaitMs(now: number, reserve = 0): number {
		const maxCount = this.#maxPerWindow - 1 - reserve;
		const countedWaitMs = this.counter.getWaitMs(maxCount - this.#assumedCount, now);
		const assumedWaitMs = this.#assumedDecreasePerMs > 0 ? Math.max(0, this.getUsedCount(now) - maxCount) / this.#assumedDecreasePerMs : countedWaitMs;
		return Math.max(this.#bucket.getWaitMs(now, reserve), Math.min(countedWaitMs, assumedWaitMs));
	}

	/** Leaves out a part of the operations that were admitted under a higher limit, so that they do not block the account, and counts them again once the limit is raised. */
	#adjustCounter(allowed: number, now: number): void {
		if (allowed < this.#allowedPerWindow) {
			this.#highestAllowed = Math.max(this.#allowedPerWindow, this.#leftOut.getCount(now) > 0 ? this.#highestAllowed : 0);
			this.counter.moveTo(this.#leftOut, 1 - (allowed / this.#allowedPerWindow), now);
		} else if (allowed > this.#allowedPerWindow && this.#leftOut.getCount(now) > 0) {
			const raisedFraction = (allowed - this.#allowedPerWindow) / (this.#highestAllowed - this.#allowedPerWindow);
			this.#leftOut.moveTo(this.counter, Math.min(1, raisedFraction), now);
		}
	}

	#createBucketLimit({burst}: RateLimit, maxPerWindow: number): RateLimit {
		return {ratePerS: (maxPerWindow * msPerSecond) / this.windowMs, burst};
	}
}
