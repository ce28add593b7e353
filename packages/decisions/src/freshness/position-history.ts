import {type LogPosition} from '@chicorysaddle/model';

/** A log position of a primary: it covers every commit that was acknowledged before `observedAt`. */
export type PositionSample = {
	readonly observedAt: number;
	readonly position: LogPosition;
};

/** Minimum time between samples that are kept, in milliseconds; denser samples do not help readers. */
const minSampleSpacingMs = 20;

/** Recent log positions of a group's primary, from which a read gets the lowest position that is fresh enough. */
export class PositionHistory {
	#samples: PositionSample[] = [];

	/** @param retentionMs - Maximum staleness that a reader accepts, in milliseconds. */
	constructor(private readonly retentionMs: number) {}

	/**
	 * Adds a position from a response of the primary.
	 * @param sample - Position, with the time at which its request was sent.
	 * @param now - Monotonic time in milliseconds.
	 */
	addSample(sample: PositionSample, now: number): void {
		const last = this.#samples.at(-1);
		if (last !== undefined && sample.observedAt <= last.observedAt) {
			return;
		}

		// The newest sample is always kept; the others keep the minimum spacing.
		const beforeLast = this.#samples.at(-2);
		if (last !== undefined && beforeLast !== undefined && last.observedAt < beforeLast.observedAt + minSampleSpacingMs) {
			this.#samples.pop();
		}

		this.#samples.push(sample);
		const oldest = now - this.retentionMs;
		while (this.#samples.length > 0 && this.#samples[0]!.observedAt < oldest) {
			this.#samples.shift();
		}
	}

	/**
	 * Returns the lowest position that covers every commit acknowledged before a time; undefined if every sample is older.
	 * @param time - Monotonic time in milliseconds.
	 */
	getPositionCovering(time: number): LogPosition | undefined {
		return this.#samples.find(sample => sample.observedAt >= time)?.position;
	}

	/** Returns the newest sample, undefined if there is none. */
	getNewestSample(): PositionSample | undefined {
		return this.#samples.at(-1);
	}

	/** Removes all samples: positions of an earlier term may have been rolled back. */
	clear(): void {
		this.#samples = [];
	}
}
