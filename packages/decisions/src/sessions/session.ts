import {getLaterPosition, logStart, type LogPosition} from '@chicorysaddle/model';

/** Minimum position in one database group that the later reads of a session have to include. */
export type SessionWatermark = {
	readonly position: LogPosition;
	/** Whether reads have to go to the primary: true after a write with unknown outcome, until a response of the primary. */
	readonly primaryOnly: boolean;
};

const initialWatermark: SessionWatermark = {position: logStart, primaryOnly: false};

/** Session of a caller: the watermark of each group that it has used. */
export class Session {
	readonly #watermarks = new Map<string, SessionWatermark>();

	constructor(watermarks: Iterable<readonly [string, SessionWatermark]> = []) {
		this.#watermarks = new Map(watermarks);
	}

	/** Returns the watermark of a group, at the start of the log if the session has none. */
	getWatermark(group: string): SessionWatermark {
		return this.#watermarks.get(group) ?? initialWatermark;
	}

	getWatermarks(): ReadonlyMap<string, SessionWatermark> {
		return this.#watermarks;
	}

	/**
	 * Records the position of a response.
	 * @param group - Group that responded.
	 * @param position - Position that the response includes.
	 * @param isPrimary - Whether the primary responded, which resolves an unknown outcome.
	 */
	recordPosition(group: string, position: LogPosition, isPrimary: boolean): void {
		const watermark = this.getWatermark(group);
		this.#watermarks.set(group, {
			position: getLaterPosition(watermark.position, position),
			primaryOnly: watermark.primaryOnly && !isPrimary,
		});
	}

	/** Records a write whose outcome is unknown. */
	recordUnknownWrite(group: string): void {
		this.#watermarks.set(group, {...this.getWatermark(group), primaryOnly: true});
	}

	/** Merges in another session of the same caller; the later position of each group is kept. */
	merge(other: Session): void {
		for (const [group, watermark] of other.#watermarks) {
			const own = this.getWatermark(group);
			this.#watermarks.set(group, {
				position: getLaterPosition(own.position, watermark.position),
				primaryOnly: own.primaryOnly || watermark.primaryOnly,
			});
		}
	}
}
