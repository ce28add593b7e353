/** Maximum average delay at which a VM may be the coordinator, in milliseconds: above it, token grants would arrive too late. */
const maxAverageLagMs = 60;

/** Weight of a new sample in the moving average: the average spans about a second of ticks. */
const smoothingFactor = 0.05;

/** Maximum of a single sample, as a multiple of the maximum average, so that one pause of the process does not count as slowness. */
const maxSampleFactor = 4;

/** Measures the average delay of a periodic loop in this process. */
export class EventLoopLagMonitor {
	#lastTickAt: number | undefined;
	#lagMs = 0;

	/** @param intervalMs - Interval between two ticks without delay, in milliseconds. */
	constructor(private readonly intervalMs: number) {}

	/** Moving average of the delay, in milliseconds. */
	get lagMs(): number {
		return this.#lagMs;
	}

	/**
	 * Records a tick of the loop.
	 * @param now - Monotonic time, in milliseconds.
	 */
	recordTick(now: number): void {
		const lagMs = Math.max(0, now - (this.#lastTickAt ?? now) - this.intervalMs);
		this.#lastTickAt = now;
		this.#lagMs += (Math.min(lagMs, maxAverageLagMs * maxSampleFactor) - this.#lagMs) * smoothingFactor;
	}

	/** Returns whether this process is too slow to be the coordinator. */
	isSlow(): boolean {
		return this.#lagMs > maxAverageLagMs;
	}

	/** Resets the average to 0. */
	reset(): void {
		this.#lagMs = 0;
	}
}
