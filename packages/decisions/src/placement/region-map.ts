/** How far an availability zone is from the one of this VM. */
export type ZoneDistance = 'own-zone' | 'own-region' | 'other-region';

/** Regions of availability zones, seen from the zone of one VM. */
export class RegionMap {
	/** Whether the zones are in more than one region. */
	readonly hasSeveralRegions: boolean;

	/**
	 * @param zone - Availability zone of this VM.
	 * @param regions - Region of each zone; empty where all zones are in one region.
	 */
	constructor(readonly zone: string, private readonly regions: ReadonlyMap<string, string> = new Map()) {
		this.hasSeveralRegions = new Set(regions.values()).size > 1;
	}

	/** Returns the region of a zone, undefined if none is configured. */
	getRegion(zone: string): string | undefined {
		return this.regions.get(zone);
	}

	/** Returns the distance of a zone; one without a configured region counts as in the own region. */
	getDistance(zone: string): ZoneDistance {
		if (zone === this.zone) {
			return 'own-zone';
		}

		const region = this.regions.get(zone);
		const ownRegion = this.regions.get(this.zone);
		return region === undefined || ownRegion === undefined || region === ownRegion ? 'own-region' : 'other-region';
	}
}
