import fc from 'fast-check';
import test from 'ava';
import {
	countAllowedPerWindow, TokenBucket, SlidingWindowCounter, SlidingWindowLimiter,
} from '../../limits/index.js';

const windowMs = 5000;
const limit = {ratePerS: 100, burst: 100};

/** Asks at an even pace and returns the times at which operations were admitted. */
function askEvenly(take: (now: number) => boolean, perS: number, forMs: number): number[] {
	const times: number[] = [];
	for (let now = 0; now < forMs; now += 1000 / perS) {
		if (take(now)) {
			times.push(now);
		}
	}

	return times;
}

function countMost(times: readonly number[]): number {
	return Math.max(...times.map((start, index) => times.slice(index).filter(time => time < start + windowMs).length));
}

test('an account at 1.17 times its rate for long is within its limit in every window, and served; a bucket refuses it', t => {
	const whole = new SlidingWindowLimiter(limit, windowMs, 0);
	const bucket = new TokenBucket(limit, limit.burst, 0);
	const asked = 1.17 * limit.ratePerS * 20;
	const served = askEvenly(now => whole.takeToken(now), 1.17 * limit.ratePerS, 20_000);
	const servedByBucket = askEvenly(now => bucket.takeToken(now, 0), 1.17 * limit.ratePerS, 20_000);
	t.true(served.length >= 0.99 * asked, `${served.length} of ${asked}`);
	t.true(servedByBucket.length < 0.9 * asked, `${servedByBucket.length} of ${asked}`);
	t.true(countMost(served) <= countAllowedPerWindow(limit, windowMs));
});

test('an account at five times its rate gets what a window allows and no more, in each second some', t => {
	const whole = new SlidingWindowLimiter(limit, windowMs, 0);
	const served = askEvenly(now => whole.takeToken(now), 5 * limit.ratePerS, 20_000);
	t.true(countMost(served) <= countAllowedPerWindow(limit, windowMs));
	t.true(served.length >= 0.95 * 4 * countAllowedPerWindow(limit, windowMs), `${served.length}`);
	for (let second = 6; second < 20; second++) {
		t.true(served.filter(time => time >= second * 1000 && time < (second + 1) * 1000).length > 0.5 * limit.ratePerS, `second ${second}`);
	}
});

test('an account whose limit is lowered goes on at once at the lower one', t => {
	const whole = new SlidingWindowLimiter(limit, windowMs, 0);
	askEvenly(now => whole.takeToken(now), 80, 10_000);
	const lower = {ratePerS: 20, burst: 20};
	whole.setLimit(lower, 0, 0.3, 10_000);
	const served = askEvenly(now => whole.takeToken(now + 10_000), 80, 5000);
	for (let second = 0; second < 5; second++) {
		t.true(served.filter(time => time >= second * 1000 && time < (second + 1) * 1000).length >= 10, `second ${second}: ${served.join(' ')}`);
	}

	t.true(served.length <= countAllowedPerWindow(lower, windowMs));
});

test('a limit whose past is not known begins as if the rate had been used', t => {
	const young = new SlidingWindowLimiter(limit, windowMs, 0);
	young.assumePriorUsage(limit, 0.3 * limit.burst, 0);
	const served = askEvenly(now => young.takeToken(now), 1000, windowMs);
	t.true(served.length <= countAllowedPerWindow(limit, windowMs));
	t.is(served.filter(time => time < 20).length, 20);
	t.true(served.filter(time => time < 1000).length <= (0.3 * limit.burst) + (1.2 * limit.ratePerS) + 1);
});

function sumSince(added: ReadonlyArray<{readonly at: number; readonly count: number}>, time: number): number {
	let sum = 0;
	for (const {at, count} of added) {
		sum += at > time ? count : 0;
	}

	return sum;
}

test('a window counts what is in it, and says when there is room', t => {
	fc.assert(fc.property(fc.array(fc.record({gapMs: fc.integer({min: 0, max: 900}), count: fc.integer({min: 1, max: 5})}), {minLength: 1, maxLength: 60}), steps => {
		const counter = new SlidingWindowCounter(windowMs);
		const added: Array<{at: number; count: number}> = [];
		let now = 0;
		for (const {gapMs, count} of steps) {
			now += gapMs;
			counter.add(count, now);
			added.push({at: now, count});
			if (counter.getCount(now) < sumSince(added, now - windowMs) || counter.getCount(now) > sumSince(added, now - (1.02 * windowMs))) {
				return false;
			}

			const waitMs = counter.getWaitMs(3, now);
			if (waitMs > 0) {
				const later = new SlidingWindowCounter(windowMs);
				for (const entry of added) {
					later.add(entry.count, entry.at);
				}

				if (later.getCount(now + waitMs) > 3) {
					return false;
				}
			}
		}

		return true;
	}), {seed: 11, numRuns: 200});
	t.pass();
});

test('what is taken back never makes room that was not used', t => {
	const counter = new SlidingWindowCounter(windowMs);
	counter.add(2, 0);
	counter.add(-5, 10);
	t.is(counter.getCount(10), 0);
	t.is(counter.getCount(9000), 0);
});
