import {type CompactPosition} from '@chicorysaddle/protocol/coordination';
import {type Clock} from '../ports/index.js';
import {type TermRegistry} from '../terms/index.js';

/** Difference of two computed times of one observation that is only rounding, in milliseconds. */
const timeResolutionMs = 0.2;

/** Newest log positions of the groups' primaries, by the time at which this VM learned them. */
export class PositionFeed {
	readonly #entries = new Map<string, {readonly observedAt: number; readonly learnedAt: number}>();

	constructor(private readonly terms: TermRegistry, private readonly clock: Clock) {}

	/**
	 * Returns the positions that were not known before a time.
	 * @param time - Monotonic time, in milliseconds; undefined for all positions.
	 */
	getPositionsSince(time: number | undefined): CompactPosition[] {
		const now = this.clock.now();
		const positions: CompactPosition[] = [];
		for (const {group} of this.terms.getTerms()) {
			const newest = this.terms.getNewestPosition(group);
			if (newest === undefined) {
				continue;
			}

			const observedAt = now - newest.ageMs;
			const known = this.#entries.get(group);
			const entry = known === undefined || Math.abs(observedAt - known.observedAt) > timeResolutionMs ? {observedAt, learnedAt: now} : known;
			this.#entries.set(group, entry);
			if (time === undefined || entry.learnedAt >= time) {
				positions.push([group, newest.position.term, newest.position.offset, newest.ageMs]);
			}
		}

		return positions;
	}
}
