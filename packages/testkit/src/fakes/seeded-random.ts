import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** Pseudorandom number generator with a seed. */
export class SeededRandom {
	readonly #generator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Returns a uniformly distributed number, at least 0 and below 1. */
	nextFraction(): number {
		return unsafeUniformIntDistribution(0, 0x7F_FF_FF_FE, this.#generator) / 0x7F_FF_FF_FF;
	}

	/** Returns an exponentially distributed number with the given mean. */
	nextExponential(mean: number): number {
		return -Math.log(1 - this.nextFraction()) * mean;
	}

	/** Returns a random item of a nonempty array. */
	chooseItem<T>(items: readonly T[]): T {
		return items[Math.floor(this.nextFraction() * items.length)]!;
	}
}
