import test from 'ava';
import {FailureBudget} from '../../retries/index.js';

/** Returns how long a process lives, in milliseconds, when an unexpected error comes at each interval. */
function simulateLife(intervalMs: number, durationMs: number, mayGoOn: (now: number) => boolean): number {
	for (let now = 0; now < durationMs; now += intervalMs) {
		if (!mayGoOn(now)) {
			return now;
		}
	}

	return durationMs;
}

test('a process survives an error every two seconds, which ends one that exits at the first', t => {
	const budget = new FailureBudget();
	t.is(simulateLife(2000, 600_000, now => budget.recordFailure(now)), 600_000);
	t.is(simulateLife(2000, 600_000, () => false), 0);
});

test('a process whose errors come without end is restarted within a second', t => {
	const budget = new FailureBudget();
	t.true(simulateLife(20, 600_000, now => budget.recordFailure(now)) < 1000);
});
