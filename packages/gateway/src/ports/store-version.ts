/**
 * Version of a row or of the store, ordered by the store's era first: a restored copy of the store gives lost versions out again, in a higher era.
 * In era 0 it equals the version that the store states.
 */
export type StoreVersion = number;

/** Number of versions in an era; thousands of eras fit into the integers that a number holds exactly. */
const versionsPerEra = 2 ** 40;

/** Creates a version from the store's era and the version that it states; 0, which denotes an absent row, is 0 in every era. */
export function createStoreVersion(era: number, version: number): StoreVersion {
	return version === 0 ? 0 : (era * versionsPerEra) + version;
}

/** Returns the era of a version. */
export function getEra(version: StoreVersion): number {
	return Math.floor(version / versionsPerEra);
}

/** Returns a version as the store states it in its era. */
export function getVersionInEra(version: StoreVersion): number {
	return version % versionsPerEra;
}
