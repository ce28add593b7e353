import {type InstanceCandidate} from '@chicorysaddle/decisions';
import {type InstancePool} from './instance-pool.js';
import {type PlacementRequest} from './placement.js';

/** Time that opening a connection is expected to take, in milliseconds: the handshake time that deployments state. */
const handshakeMs = 14;

/** Minimum wait of an instance that cannot be used now, in milliseconds. */
const minWaitMs = 1;

/** How far an instance can be used for a waiting read now. */
export type ReadAvailability = {
	readonly isPrimary: boolean;
	/** Whether the instance may serve the read. */
	readonly isReadable: boolean;
	/** Whether a connection is idle or may be opened. */
	readonly isPossible: boolean;
	/** Whether a connection is being opened for the read. */
	readonly isOpening: boolean;
	/** Time that the read has waited, in milliseconds. */
	readonly waitedMs: number;
};

/**
 * Estimates the time until a replica has reached the session's own commit that a read requires, in milliseconds.
 * @returns Undefined if the lag or the time of the commit is not known, or no own commit is required.
 */
export function estimateReplicationWaitMs({tracker}: InstancePool, {requiredPosition, committedAt}: PlacementRequest, now: number): number | undefined {
	const lagMs = committedAt === undefined ? undefined : tracker.lag.getLagMs(now);
	if (requiredPosition === undefined || committedAt === undefined || lagMs === undefined) {
		return undefined;
	}

	return tracker.hasReached(requiredPosition) ? 0 : Math.max(0, committedAt + lagMs - now);
}

/**
 * Estimates the times until an instance accepts a read and until it has the data, in milliseconds; zero or undefined: now.
 * @returns Undefined if waiting for the instance is of no use.
 */
export function estimateReadWaits(pool: InstancePool, request: PlacementRequest, {isPrimary, isReadable, isPossible, isOpening, waitedMs}: ReadAvailability, now: number): Pick<InstanceCandidate, 'waitMs' | 'replicationWaitMs'> | undefined {
	const isDelayed = pool.instance.state === 'ready' && pool.tracker.getBackoffMs(now) > 0;
	if (!isReadable && !isDelayed) {
		return undefined;
	}

	return {
		waitMs: isPossible ? 0 : estimateCapacityWaitMs(pool, isOpening, waitedMs, now),
		replicationWaitMs: isPrimary ? 0 : estimateReplicationWaitMs(pool, request, now),
	};
}

/** Estimates the time until a connection is free and the instance accepts statements again; an estimate below the time already waited has proved too short. */
function estimateCapacityWaitMs({tracker, busyCount}: InstancePool, isOpening: boolean, waitedMs: number, now: number): number {
	if (isOpening) {
		return Math.max(minWaitMs, Math.abs(handshakeMs - waitedMs));
	}

	// Without a busy connection, an idle one of another account is closed for this read in the same dispatch.
	const releaseMs = busyCount === 0 ? minWaitMs : tracker.estimateLatencyMs(0, now) / busyCount;
	return Math.max(releaseMs, tracker.getBackoffMs(now), waitedMs);
}
