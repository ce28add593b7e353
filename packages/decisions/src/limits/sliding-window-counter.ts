/** Number of slots in a window; operations in the same slot are counted together. */
const slotsPerWindow = 50;

/** Number of slots that are kept: one more than a window has, as the oldest one is still partly inside the window. */
const slotCount = slotsPerWindow + 1;

/** Counts operations in a sliding window. */
export class SlidingWindowCounter {
	readonly #counts = Array.from({length: slotCount}, () => 0);
	readonly #slotMs: number;
	#newestSlot = Number.NEGATIVE_INFINITY;
	#sum = 0;

	/** @param windowMs - Length of the window, in milliseconds. */
	constructor(private readonly windowMs: number) {
		this.#slotMs = windowMs / slotsPerWindow;
	}

	/** Adds operations; a negative count removes recent ones, down to zero in the window. */
	add(count: number, now: number): void {
		this.#advance(now);
		const index = this.#newestSlot % slotCount;
		const added = Math.max(count, -this.#sum);
		this.#counts[index]! += added;
		this.#sum += added;
	}

	/** Adds operations as if they were spread evenly over the window that ends now. */
	addEvenly(count: number, now: number): void {
		this.#advance(now);
		for (let index = 0; index < slotCount; index++) {
			this.#counts[index]! += count / slotCount;
		}

		this.#sum += count;
	}

	/** Multiplies the counts in the window by a factor. */
	scale(factor: number): void {
		for (const [index, count] of this.#counts.entries()) {
			this.#counts[index] = count * factor;
		}

		this.#sum *= factor;
	}

	/** Returns the number of operations in the window that ends now. */
	getCount(now: number): number {
		this.#advance(now);
		return this.#sum;
	}

	/** Returns the time until at most `maxCount` operations are in the window, in milliseconds. */
	getWaitMs(maxCount: number, now: number): number {
		this.#advance(now);
		let remaining = this.#sum;
		for (let age = slotCount - 1; age >= 0 && remaining > maxCount; age--) {
			remaining -= this.#counts[(this.#newestSlot - age + slotCount) % slotCount]!;
			if (remaining <= maxCount) {
				return Math.max(1, ((this.#newestSlot + slotCount - age) * this.#slotMs) - now);
			}
		}

		return remaining > maxCount ? this.windowMs : 0;
	}

	#advance(now: number): void {
		const slot = Math.max(this.#newestSlot, Math.floor(now / this.#slotMs));
		const first = Math.max(this.#newestSlot + 1, slot - slotCount + 1);
		for (let clearedSlot = first; clearedSlot <= slot; clearedSlot++) {
			const index = ((clearedSlot % slotCount) + slotCount) % slotCount;
			this.#sum -= this.#counts[index]!;
			this.#counts[index] = 0;
		}

		this.#newestSlot = slot;
	}
}
