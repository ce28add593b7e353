import {RegionMap, RoundTripTracker, type ZoneDistance} from '@chicorysaddle/decisions';
import {type GatewayMetrics} from '../observability/index.js';
import {type Clock} from '../ports/index.js';

/** Counters of placed operations, by distance of the instance. */
const countersByDistance: Readonly<Record<ZoneDistance, string>> = {
	'own-zone': 'placed_own_zone', 'own-region': 'placed_own_region', 'other-region': 'placed_other_region',
};

/** Round trips from this VM by zone, with their metrics; records nothing where all zones are in one region. */
export class NetworkDistance {
	readonly regions: RegionMap;
	readonly roundTrips: RoundTripTracker;

	/**
	 * @param zone - Availability zone of this VM.
	 * @param regionsByZone - Region of each zone; empty where there is one region.
	 */
	constructor(zone: string, regionsByZone: ReadonlyMap<string, string>, private readonly clock: Clock, private readonly metrics: GatewayMetrics) {
		this.regions = new RegionMap(zone, regionsByZone);
		this.roundTrips = new RoundTripTracker(this.regions);
	}

	/** Records the round trip that the opening of a connection to an instance in a zone took, if the connector measured it. */
	recordRoundTrip(zone: string, roundTripMs: number | undefined): void {
		if (roundTripMs === undefined || !this.regions.hasSeveralRegions) {
			return;
		}

		const now = this.clock.now();
		const isNewZone = this.roundTrips.getMeasuredMs(zone, now) === undefined;
		this.roundTrips.recordRoundTrip(zone, roundTripMs, now);
		if (isNewZone) {
			this.metrics.addGauge(`round_trip_ms_${zone}`, () => this.roundTrips.getMeasuredMs(zone, this.clock.now()) ?? 0);
		}
	}

	/** Records that an operation was placed on an instance in a zone. */
	recordPlacement(zone: string): void {
		if (this.regions.hasSeveralRegions) {
			this.metrics.addCount(countersByDistance[this.regions.getDistance(zone)]);
		}
	}
}
