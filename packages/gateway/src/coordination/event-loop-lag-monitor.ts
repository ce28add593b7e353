/** Average delay of the loop above which a VM does not coordinate, in milliseconds: its token grants would arrive too late. */
const maxAverageLagMs = 60;

/** Weight of a new sample in the moving average: the average spans about a second of ticks. */
const smoothingFactor = 0.05;

/** Cap of a single sample as a multiple of the maximum average, so that one pause of the process does not count as slowness. */
const maxSampleFactor = 4;

/** Measures the average delay of a periodic loop in this process. */
export class EventLoopLagMonitor {
	#observedAt: number | undefined;
	#lagMs = 0;

	/** @param intervalMs - Interval between two ticks without delay, in milliseconds. */
	constructor(private readonly intervalMs: number) {}

	/** Moving average of the delay, in milliseconds. */
	get lagMs(): number {
		return this.#lagMs;
	}

	/** Records a tick of the loop. */
	recordTick(now: number): void {
		const lagMs = Math.max(0, now - (this.#observedAt ?? now) - this.intervalMs);
		this.#observedAt = now;
		this.#lagMs += (Math.min(lagMs, maxAverageLagMs * maxSampleFactor) - this.#lagMs) * smoothingFactor;
	}

	isSlow(): boolean {
		return this.#lagMs > maxAverageLagMs;
	}

	reset(): void {
		this.#lagMs = 0;
	}
}
