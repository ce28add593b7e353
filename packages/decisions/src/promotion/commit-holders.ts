import {comparePositions, type LogPosition} from '@chicorysaddle/model';

/** A process of an instance whose log may hold commits that were acknowledged before a term closed. */
export type CommitHolder = {
	readonly id: string;
	/** Whether it states that it still is the primary of the term, which has every commit. */
	readonly isPrimary: boolean;
	/** Log position that it states; undefined if it does not answer. */
	readonly position: LogPosition | undefined;
	/** Position that covers every commit which it can have received; undefined if none is known. */
	readonly coveringPosition: LogPosition | undefined;
	/** Whether it may answer later, with its log. */
	readonly mayReturn: boolean;
};

/**
 * Returns whether a log has every commit that was acknowledged before a term closed.
 * Such a commit is in the logs of the primary and of as many replicas as the group requires, so it can only be missing where more instances than these replicas may have a longer log.
 * @param syncReplicas - Number of replicas that have received a commit before it is acknowledged; with 0 the group accepts that commits are lost with the primary.
 */
export function hasEveryCommit(position: LogPosition, holders: readonly CommitHolder[], syncReplicas: number): boolean {
	return syncReplicas === 0
		|| holders.some(holder => holder.isPrimary && isCovered(holder.position, position))
		|| holders.filter(holder => !isCovered(holder.position, position) && !isCovered(holder.coveringPosition, position)).length <= syncReplicas;
}

/** Returns whether no other instance has a longer log, or may return with one: commits that the log lacks are lost in any case. */
export function isLongestRemaining(position: LogPosition, holders: readonly CommitHolder[]): boolean {
	return holders.every(holder => holder.position === undefined ? !holder.mayReturn : isCovered(holder.position, position));
}

/** Returns the ids of the instances that do not answer and may return with their logs. */
export function findAwaitedHolders(holders: readonly CommitHolder[]): string[] {
	return holders.filter(({position, mayReturn}) => position === undefined && mayReturn).map(({id}) => id);
}

function isCovered(other: LogPosition | undefined, position: LogPosition): boolean {
	return other !== undefined && comparePositions(other, position) <= 0;
}
