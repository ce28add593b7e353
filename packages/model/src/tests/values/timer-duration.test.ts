import test from 'ava';
import {clampTimerMs, maxTimerMs} from '../../values/index.js';

// Guards against a timer that runs at once, and a loop that never yields the processor, because a duration is beyond the range of timers.
test('a duration that no timer can wait for becomes the longest one', t => {
	t.deepEqual([0, 1.5, maxTimerMs, -1].map(ms => clampTimerMs(ms)), [0, 1.5, maxTimerMs, -1]);
	t.deepEqual([maxTimerMs + 0.5, 1e12, Number.MAX_VALUE, Number.POSITIVE_INFINITY, Number.NaN].map(ms => clampTimerMs(ms)), Array.from({length: 5}, () => maxTimerMs));
});
