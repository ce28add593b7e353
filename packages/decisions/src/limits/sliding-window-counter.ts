/** Parts of a window in which operations are counted together. */
const slotsPerWindow = 50;

/** One part more than a window has: the oldest has not left it as a whole. */
const slotCount = slotsPerWindow + 1;

/** Counts operations over a window that slides. */
export class SlidingWindowCounter {
	readonly #counts = Array.from({length: slotCount}, () => 0);
	readonly #slotMs: number;
	#newestSlot = Number.NEGATIVE_INFINITY;
	#sum = 0;

	/** @param windowMs - Length of the window, milliseconds. */
	constructor(private readonly windowMs: number) {
		this.#slotMs = windowMs / slotsPerWindow;
	}

	/** Takes in operations; a negative number takes back what was counted lately. */
	add(count: number, now: number): void {
		this.#advance(now);
		const index = this.#newestSlot % slotCount;
		const added = Math.max(count, -this.#sum);
		this.#counts[index]! += added;
		this.#sum += added;
	}

	/** Takes in operations as if they were spread over the whole window before now. */
	addEvenly(count: number, now: number): void {
		this.#advance(now);
		for (let index = 0; index < slotCount; index++) {
			this.#counts[index]! += count / slotCount;
		}

		this.#sum += count;
	}

	/** Counts what is in the window as a part of it. */
	scale(factor: number): void {
		for (const [index, count] of this.#counts.entries()) {
			this.#counts[index] = count * factor;
		}

		this.#sum *= factor;
	}

	/** Returns the operations in the window that ends now. */
	getCount(now: number): number {
		this.#advance(now);
		return this.#sum;
	}

	/** Returns the time until at most a number of operations is in the window, milliseconds. */
	getWaitMs(most: number, now: number): number {
		this.#advance(now);
		let left = this.#sum;
		for (let age = slotCount - 1; age >= 0 && left > most; age--) {
			left -= this.#counts[(this.#newestSlot - age + slotCount) % slotCount]!;
			if (left <= most) {
				return Math.max(1, ((this.#newestSlot + slotCount - age) * this.#slotMs) - now);
			}
		}

		return left > most ? this.windowMs : 0;
	}

	#advance(now: number): void {
		const slot = Math.max(this.#newestSlot, Math.floor(now / this.#slotMs));
		const first = Math.max(this.#newestSlot + 1, slot - slotCount + 1);
		for (let passed = first; passed <= slot; passed++) {
			const index = ((passed % slotCount) + slotCount) % slotCount;
			this.#sum -= this.#counts[index]!;
			this.#counts[index] = 0;
		}

		this.#newestSlot = slot;
	}
}
