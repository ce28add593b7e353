import test from 'ava';
import {type PositionSurveyor} from '../../positions/index.js';
import {fetchRequiredPosition, type Operation} from '../../sessions/operation.js';
import {type TermRegistry} from '../../terms/index.js';

const position = {term: 1, offset: 7};

/** Counts the surveys of a read on a VM that has had no term lease for a while and knows no position before a survey. */
async function countSurveys(consistency: Operation['route']['consistency'], msWithoutLease: number): Promise<{readonly surveys: number; readonly hasPosition: boolean}> {
	let surveys = 0;
	const terms = {
		getMsWithoutLease: () => msWithoutLease,
		getPositionCovering: () => surveys === 0 ? undefined : position,
	} as unknown as TermRegistry;
	const surveyor = {
		async probePosition() {
			surveys += 1;
		},
	} as unknown as PositionSurveyor;
	const operation = {route: {group: 'db', consistency, maxStalenessMs: 1500}, startedAt: 5000, lastCommit: undefined} as unknown as Operation;
	return {hasPosition: await fetchRequiredPosition(operation, {terms, surveyor}) !== undefined, surveys};
}

// Answers the load of a restart of all VMs: each has its term lease after a few hundred milliseconds, and the handshakes of its surveys would fill the slots meanwhile.
test('a VM that lacks its term lease for a short time, as after a restart of all VMs, asks no instance', async t => {
	for (const consistency of ['primary', 'bounded', 'read-your-writes'] as const) {
		t.deepEqual(await countSurveys(consistency, 0), {surveys: 0, hasPosition: false});
		t.deepEqual(await countSurveys(consistency, 600), {surveys: 0, hasPosition: false});
		t.deepEqual(await countSurveys(consistency, 1500), {surveys: 1, hasPosition: true});
	}
});
