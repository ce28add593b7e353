import {type RateLimit, TokenBucket} from './token-bucket.js';
import {SlidingWindowCounter} from './sliding-window-counter.js';

const msPerSecond = 1000;

/** Returns the operations that a limit allows in one window. */
export function countAllowedPerWindow({ratePerS, burst}: RateLimit, windowMs: number): number {
	return ((ratePerS * windowMs) / msPerSecond) + burst;
}

/**
 * Admits what a limit allows in every window: its rate over the window and its burst on top. An account that presses
 * for long gets that evenly and not in spurts, as a bucket of the same depth refills at the pace of the window.
 */
export class SlidingWindowLimiter {
	readonly #counter: SlidingWindowCounter;
	readonly #bucket: TokenBucket;
	/** Operations in a window by the limit, and what is left of them beside others. */
	#allowedPerWindow: number;
	#maxPerWindow: number;

	/**
	 * @param windowMs - Window over which the limit holds, milliseconds.
	 */
	constructor(limit: RateLimit, private readonly windowMs: number, now: number) {
		this.#allowedPerWindow = countAllowedPerWindow(limit, windowMs);
		this.#maxPerWindow = this.#allowedPerWindow;
		this.#counter = new SlidingWindowCounter(windowMs);
		this.#bucket = new TokenBucket(this.#createBucketLimit(limit, this.#maxPerWindow), limit.burst, now);
	}

	/**
	 * Takes in that others may have used the limit before: all but the burst counts as used, evenly, over the last window.
	 * @param tokens - Operations that are allowed at once all the same.
	 */
	assumePriorUsage({burst}: RateLimit, tokens: number, now: number): void {
		this.#counter.addEvenly(Math.max(0, this.#maxPerWindow - burst), now);
		this.#bucket.clear(now);
		this.#bucket.addTokens(tokens);
	}

	/**
	 * Changes the limit.
	 * @param reserved - Operations of each window that others may use without asking.
	 * @param leastPart - Part of the limit that is never reserved.
	 */
	setLimit(limit: RateLimit, reserved: number, leastPart: number, now: number): void {
		const allowed = countAllowedPerWindow(limit, this.windowMs);
		if (allowed < this.#allowedPerWindow) {
			// What was used while more was allowed does not lock the account out of what is allowed now.
			this.#counter.scale(allowed / this.#allowedPerWindow);
		}

		this.#allowedPerWindow = allowed;
		this.#maxPerWindow = Math.max(allowed * leastPart, allowed - reserved);
		this.#bucket.setLimit(this.#createBucketLimit(limit, this.#maxPerWindow), now);
	}

	/** Takes the right to one operation, if there is one. */
	takeToken(now: number): boolean {
		if (this.#counter.getCount(now) + 1 > this.#maxPerWindow) {
			// Who presses on goes on at the pace of the window, not with another burst.
			this.#bucket.clear(now);
			return false;
		}

		if (!this.#bucket.takeToken(now, 0)) {
			return false;
		}

		this.#counter.add(1, now);
		return true;
	}

	/** Returns the part of the burst that is there. */
	getFillRatio(now: number): number {
		return this.#counter.getCount(now) + 1 > this.#maxPerWindow ? 0 : this.#bucket.getFillRatio(now);
	}

	/** Returns the time until an operation is allowed, milliseconds. */
	getWaitMs(now: number): number {
		return Math.max(this.#bucket.getWaitMs(now), this.#counter.getWaitMs(this.#maxPerWindow - 1, now));
	}

	#createBucketLimit({burst}: RateLimit, most: number): RateLimit {
		return {ratePerS: (most * msPerSecond) / this.windowMs, burst};
	}
}
