import {type ClockReading} from '../leases/index.js';

/** Maximum difference between the progress of both clocks that is not taken for a suspension, in milliseconds; it allows for their resolution and for adjustments of the wall clock. */
const toleranceMs = 10;

/**
 * Detects that a VM was suspended, from a wall clock that advanced further than the monotonic clock.
 * A jump of the wall clock forward is taken for a suspension too.
 */
export class SuspensionDetector {
	#offsetMs: number | undefined;

	/** Returns whether the VM was suspended since the last call. */
	checkSuspension({monotonicMs, wallMs}: ClockReading): boolean {
		const offsetMs = wallMs - monotonicMs;
		const wasSuspended = this.#offsetMs !== undefined && offsetMs - this.#offsetMs > toleranceMs;
		this.#offsetMs = offsetMs;
		return wasSuspended;
	}
}
