import {type LogPosition} from '@chicorysaddle/model';

/** A log position of a primary: it covers every commit that was acknowledged before `observedAt`. */
export type PositionSample = {
	readonly observedAt: number;
	readonly position: LogPosition;
};

/** Samples closer together than this tell readers nothing more, milliseconds. */
const minSampleSpacingMs = 20;

/** Remembers where a group's primary was, so that a read can name the oldest log that is fresh enough. */
export class PositionHistory {
	#samples: PositionSample[] = [];

	/** @param retentionMs - Largest staleness that any reader accepts. */
	constructor(private readonly retentionMs: number) {}

	/**
	 * Takes in a position from an answer of the primary.
	 * @param sample - Position, with the time at which its request was sent.
	 * @param now - Steady time in milliseconds.
	 */
	addSample(sample: PositionSample, now: number): void {
		const last = this.#samples.at(-1);
		if (last !== undefined && sample.observedAt <= last.observedAt) {
			return;
		}

		// The newest sample is always kept; those before it stand apart.
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
	 * Returns the lowest position that covers every commit acknowledged before a time.
	 * @param time - Steady time in milliseconds.
	 */
	getPositionCovering(time: number): LogPosition | undefined {
		return this.#samples.find(sample => sample.observedAt >= time)?.position;
	}

	getNewestSample(): PositionSample | undefined {
		return this.#samples.at(-1);
	}

	/** Forgets everything: a position of an earlier term may have been rolled back. */
	clear(): void {
		this.#samples = [];
	}
}
