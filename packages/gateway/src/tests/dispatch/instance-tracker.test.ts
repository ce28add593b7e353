import test from 'ava';
import {InstanceTracker} from '../../dispatch/index.js';
import {EventLog} from '../../observability/index.js';
import {type StatementOutcome} from '../../statements/index.js';

const log = new EventLog('vm1', {write: () => undefined, writableLength: 0});

const busy: StatementOutcome = {
	kind: 'error', error: 'busy', message: '', state: 'idle', position: undefined,
};

const done: StatementOutcome = {
	kind: 'completed', rows: [], signature: 's', state: 'idle', position: {term: 1, offset: 5},
};

function createTracker(random = 0.5): InstanceTracker {
	return new InstanceTracker({
		id: 'i-1', group: 'db', address: 'i-1:1', zone: 'a', slots: 2, state: 'ready', reportedRole: 'primary', bornMs: 1,
	}, log, () => random);
}

/** Returns how long after a time the instance is left alone. */
function measurePause(tracker: InstanceTracker, from: number): number {
	let time = from;
	while (!tracker.isUsable(time)) {
		time += 1;
	}

	return time - from;
}

test('an instance without room is asked less and less, up to a bound, and at once again when it has room', t => {
	const tracker = createTracker();
	const pauses: number[] = [];
	for (let now = 0, round = 0; round < 8; round++) {
		tracker.observeOutcome(busy, now, now);
		pauses.push(measurePause(tracker, now));
		now += pauses.at(-1)!;
	}

	t.deepEqual(pauses, [15, 30, 60, 120, 240, 480, 480, 480]);
	for (let round = 0; round < 8; round++) {
		tracker.observeOutcome(done, 10_000, 10_010);
	}

	tracker.observeOutcome(busy, 20_000, 20_000);
	t.is(measurePause(tracker, 20_000), 15);
});

test('two VMs do not come back at the same moment', t => {
	const [early, late] = [createTracker(0), createTracker(0.99)];
	for (const tracker of [early, late]) {
		tracker.observeOutcome(busy, 0, 0);
		tracker.observeOutcome(busy, 0, 0);
	}

	t.true(measurePause(late, 0) > measurePause(early, 0) * 2);
});

test('while an instance has no room one statement at a time is sent to it', t => {
	const tracker = createTracker();
	const question = tracker.addPendingRequest('statement', 0);
	t.false(tracker.isSaturated());
	tracker.observeOutcome(busy, 0, 0);
	tracker.observeOutcome(busy, 0, 0);
	t.true(tracker.isSaturated());
	tracker.removePendingRequest(question);
	t.false(tracker.isSaturated());
});

test('silence counts from the question, unless something was answered since', t => {
	const tracker = createTracker();
	tracker.observeOutcome(done, 100, 110);
	tracker.observeFailure('silent', 105, 900);
	t.is(tracker.failingSince, undefined);
	tracker.observeFailure('silent', 200, 900);
	t.is(tracker.failingSince, 200);
	tracker.observeAnswer(1000);
	t.is(tracker.failingSince, undefined);
});

test('an instance is doubted when nothing was answered since a question, and not while it answers others', t => {
	const tracker = createTracker();
	const question = tracker.addPendingRequest('connection', 100);
	t.is(tracker.getSilentSince(399), undefined);
	t.is(tracker.getSilentSince(400), 100);
	t.is(tracker.createEvidence('vm1', 400).failingSince, 100);
	tracker.observeAnswer(410);
	t.is(tracker.getSilentSince(900), undefined);
	const later = tracker.addPendingRequest('statement', 500);
	t.is(tracker.getSilentSince(850), 500);
	tracker.removePendingRequest(later);
	tracker.removePendingRequest(question);
	t.is(tracker.getSilentSince(5000), undefined);
});

test('one connection that is closed under a statement does not keep others from the instance', t => {
	const tracker = createTracker();
	tracker.observeOutcome({kind: 'broken', reason: 'closed'}, 100, 120);
	t.true(tracker.isUsable(121));
	t.is(tracker.failingSince, undefined);
	tracker.observeFailure('refused', 130, 131);
	t.is(tracker.failingSince, 131);
});
