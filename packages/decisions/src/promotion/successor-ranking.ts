import {comparePositions, type LogPosition} from '@chicorysaddle/model';

/** Factor by which the writes of another region have to exceed those of the former primary's region before the primary moves there: prevents alternation between regions of about equal rates. */
const regionHysteresis = 1.5;

/** An instance that may become the primary. */
export type SuccessorCandidate = {
	/** Region of the instance, undefined where none is configured. */
	readonly region: string | undefined;
	readonly position: LogPosition;
};

/** What decides between successors. */
export type SuccessorPreference = {
	/** Whether every candidate can catch up with the former primary, which still answers; otherwise only equally advanced ones are exchangeable. */
	readonly canCatchUp: boolean;
	/** Region of the former primary, undefined if it is not known. */
	readonly formerRegion: string | undefined;
	/** Writes per second by region of their VMs; empty where there is one region. */
	readonly writesPerS: ReadonlyMap<string, number>;
};

/** Chooses the region whose VMs send the most writes, with hysteresis in favor of the former primary's region; returns undefined if no writes are known. */
export function choosePrimaryRegion({formerRegion, writesPerS}: Pick<SuccessorPreference, 'formerRegion' | 'writesPerS'>): string | undefined {
	let best: string | undefined;
	let bestRate = 0;
	for (const [region, rate] of writesPerS) {
		const weighted = region === formerRegion ? rate * regionHysteresis : rate;
		if (weighted > bestRate) {
			best = region;
			bestRate = weighted;
		}
	}

	return best;
}

/** Ranks the candidates for the next primary: the most advanced first, and among those that may be exchanged the ones in the region with the most writes. */
export function rankSuccessors<Candidate extends SuccessorCandidate>(candidates: readonly Candidate[], preference: SuccessorPreference): Candidate[] {
	const region = choosePrimaryRegion(preference);
	const getRank = (candidate: Candidate) => region !== undefined && candidate.region === region ? 0 : 1;
	return candidates.toSorted((a, b) => {
		const byPosition = comparePositions(b.position, a.position);
		const byRegion = getRank(a) - getRank(b);
		return preference.canCatchUp ? byRegion || byPosition : byPosition || byRegion;
	});
}
