import test from 'ava';
import {SuspensionDetector} from '../../freshness/index.js';

test('a wall clock that advances further than the monotonic clock shows a suspension, once', t => {
	const detector = new SuspensionDetector();
	t.false(detector.checkSuspension({monotonicMs: 100, wallMs: 5000}));
	t.false(detector.checkSuspension({monotonicMs: 1100, wallMs: 6002}));
	t.true(detector.checkSuspension({monotonicMs: 1200, wallMs: 9100}));
	t.false(detector.checkSuspension({monotonicMs: 1300, wallMs: 9200}));
});

test('a wall clock that is set back, or drifts slowly, shows none', t => {
	const detector = new SuspensionDetector();
	t.false(detector.checkSuspension({monotonicMs: 100, wallMs: 5000}));
	t.false(detector.checkSuspension({monotonicMs: 200, wallMs: 2210}));
	for (let time = 200; time < 10_000; time += 100) {
		t.false(detector.checkSuspension({monotonicMs: time, wallMs: 2000 + (time * 1.05)}));
	}
});
