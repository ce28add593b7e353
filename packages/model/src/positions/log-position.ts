/** A position in the replication log of a database group. */
export type LogPosition = {
	/** Term of the primary that wrote the entry. */
	readonly term: number;
	/** Number of log entries up to and including this one. */
	readonly offset: number;
};

/** The position before the first entry of any log. */
export const logStart: LogPosition = {term: 0, offset: 0};

/**
 * Compares two positions: by term first, then by offset.
 * @param a - Left position.
 * @param b - Right position.
 * @returns A negative number, zero or a positive number.
 */
export function comparePositions(a: LogPosition, b: LogPosition): number {
	return a.term === b.term ? a.offset - b.offset : a.term - b.term;
}

/** Returns whether a position is at or after a required one. */
export function isAtLeast(position: LogPosition, required: LogPosition): boolean {
	return comparePositions(position, required) >= 0;
}

/** Returns the later of two positions. */
export function getLaterPosition(a: LogPosition, b: LogPosition): LogPosition {
	return isAtLeast(a, b) ? a : b;
}
