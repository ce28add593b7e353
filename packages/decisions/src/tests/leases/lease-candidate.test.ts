import test from 'ava';
import fc from 'fast-check';
import {LeaseCandidate, type LeaseRound, LeaseVoter} from '../../index.js';

const timing = {durationMs: 1500, renewalMs: 400, staggerMs: 0};
const voterNames = ['v1', 'v2', 'v3'];
const stepMs = 50;

type Fault =
	/** A voter restarts and loses its promises. */
	| {readonly kind: 'restart'; readonly voter: number; readonly at: number}
	/** A candidate is paused and resumes with its old state. */
	| {readonly kind: 'pause'; readonly candidate: number; readonly at: number; readonly durationMs: number};

const faultArbitrary: fc.Arbitrary<Fault> = fc.oneof(
	fc.record({kind: fc.constant('restart' as const), voter: fc.nat(2), at: fc.nat(10_000)}),
	fc.record({
		kind: fc.constant('pause' as const), candidate: fc.nat(1), at: fc.nat(10_000), durationMs: fc.nat(5000),
	}),
);

test('no two candidates hold the lease at once, with lost messages, restarted voters and paused candidates', t => {
	let heldCount = 0;
	fc.assert(fc.property(fc.array(faultArbitrary, {maxLength: 5}), fc.infiniteStream(fc.nat(99)), fc.constantFrom(0, 20, 50), (faults, randomNumbers, lossPercent) => {
		const voters = new Map(voterNames.map(name => [name, new LeaseVoter(-10_000, timing.durationMs)]));
		const candidates = [0, 1].map(index => ({id: `c${index}`, index, candidate: new LeaseCandidate(timing)}));
		const isLost = () => randomNumbers.next().value! < lossPercent;
		for (let now = 0; now < 12_000; now += stepMs) {
			for (const one of faults) {
				if (one.kind === 'restart' && one.at >= now && one.at < now + stepMs) {
					voters.set(voterNames[one.voter]!, new LeaseVoter(now, timing.durationMs));
				}
			}

			for (const {id, index, candidate} of candidates) {
				const isPaused = faults.some(one => one.kind === 'pause' && one.candidate === index && now >= one.at && now < one.at + one.durationMs);
				if (!isPaused) {
					candidate.recordVacancy(true, now);
					runRound(id, candidate, voters, now, isLost);
				}
			}

			const holders = candidates.filter(({candidate}) => candidate.isHeld(now));
			heldCount += holders.length;
			t.true(holders.length <= 1);
		}
	}), {seed: 6, numRuns: 100});
	t.true(heldCount > 1000);
});

function runRound(id: string, candidate: LeaseCandidate, voters: Map<string, LeaseVoter>, now: number, isLost: () => boolean): void {
	const round: LeaseRound | undefined = candidate.startRound(0, now);
	if (round === undefined) {
		return;
	}

	const wasHeld = candidate.isHeld(now);
	for (const [name, voter] of voters) {
		const answer = isLost()
			? undefined
			: voter.handlePromiseRequest({
				holder: id, term: round.term, durationMs: timing.durationMs, predecessor: '',
			}, now);
		if (answer !== undefined && !isLost()) {
			candidate.recordTerm(answer.term);
			if (answer.promised) {
				candidate.recordPromise(round, name, voterNames);
			}
		}
	}

	if (!wasHeld && !candidate.isHeld(now)) {
		for (const voter of voters.values()) {
			voter.releasePromise(id);
		}
	}
}
