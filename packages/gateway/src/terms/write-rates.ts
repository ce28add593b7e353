import {type UsageRate, updateUsageRate} from '@chicorysaddle/decisions';

/** Smallest rate that is reported, in writes per second: a lower one is the remainder of the average. */
const minReportedPerS = 0.1;

/** Writes and commits that this VM sends to primaries per second, by group, as exponential averages. */
export class WriteRates {
	readonly #rates = new Map<string, UsageRate>();

	/** Records one write. */
	recordWrite(group: string, now: number): void {
		this.#rates.set(group, updateUsageRate(this.#rates.get(group), 1, now));
	}

	/** Returns the rates of the groups that have writes, rounded to a tenth; undefined if there are none. */
	getRates(now: number): Record<string, number> | undefined {
		const rates = [...this.#rates].map(([group, rate]) => [group, Math.round(updateUsageRate(rate, 0, now).perSecond * 10) / 10] as const).filter(([, perSecond]) => perSecond >= minReportedPerS);
		return rates.length === 0 ? undefined : Object.fromEntries(rates);
	}
}
