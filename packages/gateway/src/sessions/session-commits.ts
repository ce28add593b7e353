import {type LogPosition} from '@chicorysaddle/model';

/** Newest commit of a session in the log of one group. */
export type OwnCommit = {
	/** Log position, undefined before the first commit. */
	readonly lastCommit?: LogPosition | undefined;
	/** Monotonic time at which the commit was acknowledged, in milliseconds. */
	readonly lastCommitAt?: number | undefined;
};

/** Keeps the newest commit of a session in each group: positions of different logs cannot be compared, and a route may lead to a group again. */
export class SessionCommits {
	readonly #commits = new Map<string, OwnCommit>();

	/** Returns the newest commit in a group; empty before the first one. */
	getNewest(group: string): OwnCommit {
		return this.#commits.get(group) ?? {};
	}

	/**
	 * Records a commit in a group; one without a position leaves that of the former one.
	 * @param acknowledgedAt - Monotonic time, in milliseconds.
	 */
	recordCommit(group: string, position: LogPosition | undefined, acknowledgedAt: number): void {
		this.#commits.set(group, {lastCommit: position ?? this.getNewest(group).lastCommit, lastCommitAt: acknowledgedAt});
	}
}
