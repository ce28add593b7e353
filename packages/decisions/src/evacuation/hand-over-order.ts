/** A group whose primary has to move out of an evacuated zone. */
export type PendingHandOver = {
	readonly group: string;
	/** Highest priority among the routes of the group; zero is the highest of all. */
	readonly priority: number;
	/** Whether a ready instance outside evacuated zones can take over. */
	readonly hasCandidate: boolean;
};

/** Maximum number of primaries that move at the same time. A platform runs a few promotions at once, and a group whose promotion has to wait is without a primary meanwhile. */
const maxConcurrentHandOvers = 4;

/**
 * Chooses the groups whose primaries start to move now, those with urgent routes first.
 * A group without a candidate keeps its primary: closing its term would only end the open transactions earlier.
 * @param runningCount - Number of primaries that are moving.
 * @param remainingMs - Time until nothing may be sent to the zone any more, in milliseconds; when it is over, every group starts to move.
 */
export function chooseHandOvers(pending: readonly PendingHandOver[], runningCount: number, remainingMs: number): string[] {
	const movable = pending.filter(({hasCandidate}) => hasCandidate).toSorted((a, b) => a.priority - b.priority || (a.group < b.group ? -1 : 1));
	const count = remainingMs <= 0 ? movable.length : Math.max(0, maxConcurrentHandOvers - runningCount);
	return movable.slice(0, count).map(({group}) => group);
}
