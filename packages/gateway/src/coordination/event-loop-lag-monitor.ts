/** Average delay of the loop above which a VM does not coordinate, milliseconds: answers about tokens would come too late. */
const maxAverageLagMs = 60;

/** Weight of the newest delay in the average: about a second of ticks. */
const smoothingFactor = 0.05;

/** Longest delay that counts, in multiples of the slow one: a single freeze is no slowness. */
const maxSampleFactor = 4;

/** Tells whether the loop of this process keeps up. */
export class EventLoopLagMonitor {
	#observedAt: number | undefined;
	#lagMs = 0;

	/** @param intervalMs - Time between two observations of a loop that keeps up. */
	constructor(private readonly intervalMs: number) {}

	/** Average delay, milliseconds. */
	get lagMs(): number {
		return this.#lagMs;
	}

	/** Takes in that the loop came round. */
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
