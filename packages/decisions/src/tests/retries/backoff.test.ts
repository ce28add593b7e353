import test from 'ava';
import {Backoff} from '../../retries/index.js';

test('delays double up to a maximum and start over after a success', t => {
	const backoff = new Backoff(250, 1000, () => 0.5);
	t.deepEqual([1, 2, 3, 4].map(() => backoff.getNextDelayMs()), [250, 500, 1000, 1000]);
	backoff.reset();
	t.is(backoff.getNextDelayMs(), 250);
});

test('callers that fail at the same time retry at different times', t => {
	t.is(new Backoff(100, 1000, () => 0).getNextDelayMs(), 50);
	t.is(new Backoff(100, 1000, () => 0.9).getNextDelayMs(), 140);
});
