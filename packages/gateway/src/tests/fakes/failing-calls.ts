import {createRandom} from './seeded-random.js';

/** How a call fails: before it does anything, by an exception or by its promise, or by its promise after it had its effect. */
export type CallFailure = 'throws' | 'rejects' | 'rejects-late';

/** Makes calls of dependencies fail at random, from a fixed seed, while it is active. */
export class FailingCalls {
	isActive = false;
	/** Number of calls that failed. */
	count = 0;
	readonly #random: () => number;

	/** @param share - Fraction of the calls that fail. */
	constructor(seed: number, private readonly share: number, private readonly failures: readonly CallFailure[]) {
		this.#random = createRandom(seed);
	}

	/** Wraps a function that returns no promise; it throws in place of its effect, or after it. */
	wrapFunction<Arguments extends unknown[], Result>(call: (...arguments_: Arguments) => Result, isLate = false): (...arguments_: Arguments) => Result {
		return (...arguments_) => {
			const isFailing = this.#choose() !== undefined;
			if (isFailing && !isLate) {
				throw new Error('planned');
			}

			const result = call(...arguments_);
			if (isFailing) {
				throw new Error('planned, after the effect');
			}

			return result;
		};
	}

	/** Wraps a function that returns a promise. */
	wrapAsync<Arguments extends unknown[], Result>(call: (...arguments_: Arguments) => Promise<Result>): (...arguments_: Arguments) => Promise<Result> {
		// Not an async function, so that it can throw before it returns a promise.
		return (...arguments_) => { // eslint-disable-line @typescript-eslint/promise-function-async
			const failure = this.#choose();
			if (failure === 'throws') {
				throw new Error('planned');
			}

			return failure === undefined ? call(...arguments_) : this.#reject(failure === 'rejects-late' ? async () => call(...arguments_) : undefined);
		};
	}

	async #reject(effect: (() => Promise<unknown>) | undefined): Promise<never> {
		await effect?.();
		throw new Error(effect === undefined ? 'planned rejection' : 'planned rejection, after the effect');
	}

	#choose(): CallFailure | undefined {
		if (!this.isActive || this.#random() >= this.share) {
			return undefined;
		}

		this.count += 1;
		return this.failures[Math.floor(this.#random() * this.failures.length)];
	}
}
