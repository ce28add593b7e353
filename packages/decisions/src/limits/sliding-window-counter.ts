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

	/** Moves a fraction of the operations in the window to another counter. */
	moveTo(other: SlidingWindowCounter, fraction: number, now: number): void {
		other.importCounts(this.exportCounts(now).map(count => count * fraction), now);
		for (const [index, count] of this.#counts.entries()) {
			this.#counts[index] = count * (1 - fraction);
		}

		this.#sum *= 1 - fraction;
	}

	/** Returns the operations in the window that ends now, by slots of a fiftieth of a window, the newest first, without trailing zeros. */
	exportCounts(now: number): number[] {
		this.#advance(now);
		const counts = Array.from({length: slotCount}, (_, age) => this.#counts[this.#getIndex(this.#newestSlot - age)]!);
		return counts.slice(0, counts.findLastIndex(count => count > 0) + 1);
	}

	/** Adds operations that another counter exported just before; ignores numbers that no counter exports. */
	importCounts(counts: readonly number[], now: number): void {
		this.#advance(now);
		for (const [age, count] of counts.slice(0, slotCount).entries()) {
			if (Number.isFinite(count) && count > 0) {
				this.#counts[this.#getIndex(this.#newestSlot - age)]! += count;
				this.#sum += count;
			}
		}
	}

	/** Returns the number of operations in the window that ends now. */
	getCount(now: number): number {
		this.#advance(now);
		return this.#sum;
	}

	/** Returns the number of operations in the window that ends now that were counted before a time. */
	countBefore(time: number, now: number): number {
		this.#advance(now);
		let count = 0;
		for (let slot = Math.min(Math.floor(time / this.#slotMs), this.#newestSlot); slot > this.#newestSlot - slotCount; slot--) {
			count += this.#counts[this.#getIndex(slot)]!;
		}

		return count;
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

	#getIndex(slot: number): number {
		return ((slot % slotCount) + slotCount) % slotCount;
	}

	#advance(now: number): void {
		const slot = Math.max(this.#newestSlot, Math.floor(now / this.#slotMs));
		const first = Math.max(this.#newestSlot + 1, slot - slotCount + 1);
		for (let clearedSlot = first; clearedSlot <= slot; clearedSlot++) {
			const index = this.#getIndex(clearedSlot);
			this.#sum -= this.#counts[index]!;
			this.#counts[index] = 0;
		}

		this.#newestSlot = slot;
	}
}
