import {getInstanceAccess, getWorkMs, type InstanceAccess} from '@chicorysaddle/decisions';

/** Evacuated availability zones, with the time since which this VM has to count them as evacuated. */
export class ZoneEvacuations {
	readonly #since = new Map<string, number>();

	/** @param boundMs - Time after the start of an evacuation from which nothing may be sent to the endpoints of its zone, in milliseconds. */
	constructor(private readonly boundMs: number) {}

	/**
	 * Sets the evacuated zones.
	 * @param now - Monotonic time in milliseconds.
	 * @param ageMs - Time for which this VM had not confirmed its configuration before, in milliseconds: an evacuation may have begun right after that.
	 */
	setZones(zones: readonly string[], now: number, ageMs: number): void {
		for (const zone of zones) {
			this.#since.set(zone, this.#since.get(zone) ?? now - ageMs);
		}

		for (const zone of this.#since.keys()) {
			if (!zones.includes(zone)) {
				this.#since.delete(zone);
			}
		}
	}

	/** Returns what may be sent to the endpoints of a zone. */
	getAccess(zone: string, now: number): InstanceAccess {
		const since = this.#since.get(zone);
		return getInstanceAccess(since === undefined ? undefined : now - since, this.boundMs);
	}

	/** Returns the time for which work in progress in a zone may go on, in milliseconds; undefined if the zone is not evacuated. */
	getRemainingMs(zone: string, now: number): number | undefined {
		const since = this.#since.get(zone);
		return since === undefined ? undefined : since + getWorkMs(this.boundMs) - now;
	}
}
