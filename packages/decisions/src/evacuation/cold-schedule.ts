/** Place of a VM in the schedule by which all VMs take turns at a cold instance. */
export type ColdTurn = {
	/** Rank of this VM among all VMs, from 0. */
	readonly rank: number;
	/** Number of VMs. */
	readonly vms: number;
	/** Time of the clock that all VMs go by, that of the coordinator, in milliseconds. */
	readonly sharedNow: number;
};

/** Fraction of the limit that the turns of all VMs add up to; the rest covers turns that are used late. */
const usedFraction = 0.85;

/** Time for which a VM may use its turn, in milliseconds; longer, more turns that were due earlier could be used within one second. */
const turnMs = 150;

/** Minimum interval between two operations of one VM, as a fraction of its cycle; it keeps to the limit when ranks change. */
const minIntervalFraction = 0.75;

const msPerSecond = 1000;

/**
 * Limits the operations that one VM of many sends to a cold instance, to an even share of a limit over all VMs.
 *
 * A share may be a fraction of an operation per second, which accumulates to one operation per cycle. If each VM could keep it until it
 * has a request, all VMs could use theirs in the same second. So the VMs take turns: each has a place of its own in the cycle, and a turn
 * that is not used within a short time is lost.
 */
export class ColdSchedule {
	#usedAt = Number.NEGATIVE_INFINITY;
	#usedCycle = Number.NEGATIVE_INFINITY;

	/**
	 * Returns whether this VM may send an operation now.
	 * @param perS - Maximum number of operations per second that all VMs may send together.
	 */
	canUse(turn: ColdTurn, perS: number): boolean {
		if (perS <= 0) {
			return false;
		}

		const {cycleMs, cycle, passedMs} = computePosition(turn, perS);
		return cycle !== this.#usedCycle && passedMs < turnMs && turn.sharedNow - this.#usedAt >= cycleMs * minIntervalFraction;
	}

	/** Records that this VM sent an operation. */
	recordUse(turn: ColdTurn, perS: number): void {
		this.#usedCycle = computePosition(turn, perS).cycle;
		this.#usedAt = turn.sharedNow;
	}
}

function computePosition({rank, vms, sharedNow}: ColdTurn, perS: number): {readonly cycleMs: number; readonly cycle: number; readonly passedMs: number} {
	const cycleMs = Math.max(1, vms) * msPerSecond / (perS * usedFraction);
	const position = sharedNow - (rank / Math.max(1, vms) * cycleMs);
	const cycle = Math.floor(position / cycleMs);
	return {cycleMs, cycle, passedMs: position - (cycle * cycleMs)};
}
