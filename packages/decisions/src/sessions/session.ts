import {getLaterPosition, logStart, type LogPosition} from '@chicorysaddle/model';

/** What a session has seen of one database group. */
export type SessionMark = {
	readonly position: LogPosition;
	/** True after a write with unknown outcome, until a read at the primary. */
	readonly primaryOnly: boolean;
};

const unseen: SessionMark = {position: logStart, primaryOnly: false};

/** The positions that a caller's later requests have to see. */
export class Session {
	readonly #marks = new Map<string, SessionMark>();

	constructor(marks: Iterable<readonly [string, SessionMark]> = []) {
		this.#marks = new Map(marks);
	}

	/** Returns what the session has seen of a group. */
	getMark(group: string): SessionMark {
		return this.#marks.get(group) ?? unseen;
	}

	getMarks(): ReadonlyMap<string, SessionMark> {
		return this.#marks;
	}

	/**
	 * Records an answer.
	 * @param group - Group that answered.
	 * @param position - Position that the answer includes.
	 * @param isPrimary - Whether the primary gave it, which settles an unknown outcome.
	 */
	observe(group: string, position: LogPosition, isPrimary: boolean): void {
		const mark = this.getMark(group);
		this.#marks.set(group, {
			position: getLaterPosition(mark.position, position),
			primaryOnly: mark.primaryOnly && !isPrimary,
		});
	}

	/** Records a write whose outcome is unknown. */
	observeUnknownWrite(group: string): void {
		this.#marks.set(group, {...this.getMark(group), primaryOnly: true});
	}

	/** Takes in another session of the same caller: the later position of each group wins. */
	merge(other: Session): void {
		for (const [group, mark] of other.#marks) {
			const own = this.getMark(group);
			this.#marks.set(group, {
				position: getLaterPosition(own.position, mark.position),
				primaryOnly: own.primaryOnly || mark.primaryOnly,
			});
		}
	}
}
