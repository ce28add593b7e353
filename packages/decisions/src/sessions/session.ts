import {getLaterPosition, logStart, type LogPosition} from '@chicorysaddle/model';

/** What a session has seen of one database group. */
export type SessionWatermark = {
	readonly position: LogPosition;
	/** True after a write with unknown outcome, until a read at the primary. */
	readonly primaryOnly: boolean;
};

const initialWatermark: SessionWatermark = {position: logStart, primaryOnly: false};

/** The positions that a caller's later requests have to see. */
export class Session {
	readonly #watermarks = new Map<string, SessionWatermark>();

	constructor(marks: Iterable<readonly [string, SessionWatermark]> = []) {
		this.#watermarks = new Map(marks);
	}

	/** Returns what the session has seen of a group. */
	getWatermark(group: string): SessionWatermark {
		return this.#watermarks.get(group) ?? initialWatermark;
	}

	getWatermarks(): ReadonlyMap<string, SessionWatermark> {
		return this.#watermarks;
	}

	/**
	 * Records an answer.
	 * @param group - Group that answered.
	 * @param position - Position that the answer includes.
	 * @param isPrimary - Whether the primary gave it, which settles an unknown outcome.
	 */
	observePosition(group: string, position: LogPosition, isPrimary: boolean): void {
		const mark = this.getWatermark(group);
		this.#watermarks.set(group, {
			position: getLaterPosition(mark.position, position),
			primaryOnly: mark.primaryOnly && !isPrimary,
		});
	}

	/** Records a write whose outcome is unknown. */
	observeUnknownWrite(group: string): void {
		this.#watermarks.set(group, {...this.getWatermark(group), primaryOnly: true});
	}

	/** Takes in another session of the same caller: the later position of each group wins. */
	merge(other: Session): void {
		for (const [group, mark] of other.#watermarks) {
			const own = this.getWatermark(group);
			this.#watermarks.set(group, {
				position: getLaterPosition(own.position, mark.position),
				primaryOnly: own.primaryOnly || mark.primaryOnly,
			});
		}
	}
}
