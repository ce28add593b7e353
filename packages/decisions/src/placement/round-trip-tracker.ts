import {type RegionMap, type ZoneDistance} from './region-map.js';

/** Length of a measurement window, in milliseconds: long enough for several connections to each zone, short enough to follow a change of route. */
const windowMs = 30_000;

/** Round trip that is assumed until one is measured, in milliseconds: keeps the order of the distances. */
const assumedRoundTripsMs: Readonly<Record<ZoneDistance, number>> = {'own-zone': 1, 'own-region': 3, 'other-region': 16};

const distancesByOrder: readonly ZoneDistance[] = ['own-zone', 'own-region', 'other-region'];

/** Minima of the current window and of the one before it. */
type Measurement = {startedAt: number; minimumMs: number; previousMinimumMs: number};

/** Tracks the round-trip time to each availability zone as the minimum over a window, since queueing only adds to it. */
export class RoundTripTracker {
	readonly #measurements = new Map<string, Measurement>();

	constructor(readonly regions: RegionMap) {}

	/** Zones with a measured round trip. */
	get measuredZones(): string[] {
		return [...this.#measurements.keys()];
	}

	/** Records a measured round trip to a zone; ignores an implausible one. */
	recordRoundTrip(zone: string, roundTripMs: number, now: number): void {
		if (!Number.isFinite(roundTripMs) || roundTripMs < 0) {
			return;
		}

		const known = this.#measurements.get(zone);
		if (known === undefined || now - known.startedAt >= windowMs) {
			const isRecent = known !== undefined && now - known.startedAt < 2 * windowMs;
			this.#measurements.set(zone, {startedAt: now, minimumMs: roundTripMs, previousMinimumMs: isRecent ? known.minimumMs : Number.POSITIVE_INFINITY});
		} else {
			known.minimumMs = Math.min(known.minimumMs, roundTripMs);
		}
	}

	/** Returns the measured round trip to a zone, in milliseconds; undefined if there was none recently. */
	getMeasuredMs(zone: string, now: number): number | undefined {
		const known = this.#measurements.get(zone);
		if (known === undefined || now - known.startedAt >= 2 * windowMs) {
			return undefined;
		}

		return now - known.startedAt >= windowMs ? known.minimumMs : Math.min(known.minimumMs, known.previousMinimumMs);
	}

	/** Estimates the round trip to a zone, in milliseconds: the measured one, otherwise one that is not shorter than to any nearer zone. */
	estimateRoundTripMs(zone: string, now: number): number {
		const measuredMs = this.getMeasuredMs(zone, now);
		if (measuredMs !== undefined) {
			return measuredMs;
		}

		const distance = this.regions.getDistance(zone);
		const order = distancesByOrder.indexOf(distance);
		let longestMs = assumedRoundTripsMs[distance];
		for (const other of this.#measurements.keys()) {
			if (distancesByOrder.indexOf(this.regions.getDistance(other)) < order) {
				longestMs = Math.max(longestMs, this.getMeasuredMs(other, now) ?? 0);
			}
		}

		return longestMs;
	}
}
