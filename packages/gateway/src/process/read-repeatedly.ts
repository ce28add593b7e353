import {Left, type Either} from 'purify-ts';
import {type Clock} from '../ports/index.js';
import {delay} from './delay.js';

/** Interval between readings of something that cannot be read yet, in milliseconds. */
const readIntervalMs = 100;

/** Time after which readings end, in milliseconds: a file that is being replaced is complete long before. */
export const readLimitMs = 30_000;

/** Conditions of repeated readings. */
export type ReadConditions = {
	readonly clock: Clock;
	/** Aborted to end the readings early. */
	readonly signal: AbortSignal;
	/** Called with the reason of a failure when it first appears or changes. */
	readonly onFailed: (reason: string) => void;
};

/**
 * Reads at short intervals until a reading succeeds, `readLimitMs` have passed or the signal is aborted.
 * @returns The last reading.
 */
export async function readRepeatedly<Value>(read: () => Either<string, Value>, {clock, signal, onFailed}: ReadConditions): Promise<Either<string, Value>> {
	const deadline = clock.now() + readLimitMs;
	let lastReason: string | undefined;
	let result: Either<string, Value> = Left('not read');
	while (!signal.aborted) {
		result = read();
		if (result.isRight()) {
			break;
		}

		const reason = String(result.extract());
		if (reason !== lastReason) {
			lastReason = reason;
			onFailed(reason);
		}

		if (clock.now() >= deadline) {
			break;
		}

		await delay(readIntervalMs, signal);
	}

	return result;
}
