import {updateUsageRate, type UsageRate} from './usage-rate.js';

/** Time whose urgent operations the reserve covers, in seconds: several intervals at which tokens of a busy account refill. */
const reserveHorizonS = 0.2;

/** Maximum fraction of a burst that is kept for urgent operations. */
const maxReserveFraction = 0.25;

/**
 * Keeps the last tokens of an account that exceeds its limit for its urgent operations, as trunk reservation does for calls on a line:
 * other operations are admitted only while more tokens than the reserve are left. An account without urgent operations keeps no reserve.
 */
export class UrgentReserve {
	#rate: UsageRate | undefined;

	/** Records urgent operations that asked for tokens. */
	recordUrgent(count: number, now: number): void {
		if (count > 0) {
			this.#rate = updateUsageRate(this.#rate, count, now);
		}
	}

	/**
	 * Returns the number of tokens that only urgent operations may take.
	 * @param burst - Number of tokens that may be available at once.
	 */
	getReserve(burst: number, now: number): number {
		if (this.#rate === undefined) {
			return 0;
		}

		this.#rate = updateUsageRate(this.#rate, 0, now);
		return Math.floor(Math.min(burst * maxReserveFraction, (this.#rate.perSecond * reserveHorizonS) + 1));
	}
}
