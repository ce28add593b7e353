import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** A reproducible source of random numbers. */
export class SeededRandom {
	readonly #generator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Returns a number from zero up to one. */
	nextFraction(): number {
		return unsafeUniformIntDistribution(0, 0x7F_FF_FF_FE, this.#generator) / 0x7F_FF_FF_FF;
	}

	/** Returns an exponentially distributed number. */
	nextExponential(mean: number): number {
		return -Math.log(1 - this.nextFraction()) * mean;
	}

	chooseItem<T>(items: readonly T[]): T {
		return items[Math.floor(this.nextFraction() * items.length)]!;
	}
}
