import test from 'ava';
import {WaitEstimator} from '../../queueing/index.js';

const slots = 2;
const serviceMs = 10;
const targetWaitMs = 120;
const deadlineMs = 800;

type Counts = {arrived: number; inTime: number; late: number; refused: number};

/** Simulates arrivals at two slots; requests wait in order until their deadline, or are refused on arrival by the estimate. */
function simulate(getRatePerS: (second: number) => number, durationS: number, estimator: WaitEstimator | undefined): Counts {
	const counts: Counts = {
		arrived: 0, inTime: 0, late: 0, refused: 0,
	};
	const queue: number[] = [];
	const busyUntil: number[] = [];
	let due = 0;
	for (let now = 0; now < durationS * 1000; now++) {
		while (busyUntil.length > 0 && busyUntil[0]! <= now) {
			busyUntil.shift();
		}

		due += getRatePerS(Math.floor(now / 1000)) / 1000;
		for (; due >= 1; due--) {
			counts.arrived += 1;
			if (queue.length > 0 && (estimator?.estimateWaitMs(queue.length) ?? 0) > targetWaitMs) {
				counts.refused += 1;
			} else {
				queue.push(now);
			}
		}

		while (busyUntil.length < slots && queue.length > 0) {
			const arrivedAt = queue.shift()!;
			if (now - arrivedAt > deadlineMs) {
				counts.refused += 1;
				continue;
			}

			estimator?.recordPlacement(queue.length, now);
			busyUntil.push(now + serviceMs);
			counts[now + serviceMs - arrivedAt <= targetWaitMs + serviceMs ? 'inTime' : 'late'] += 1;
		}
	}

	return counts;
}

test('at 1.5 times the capacity as many requests are served as with an unbounded queue, and at least five times as many of them in time', t => {
	const unbounded = simulate(() => 300, 10, undefined);
	const estimated = simulate(() => 300, 10, new WaitEstimator());
	t.true(estimated.inTime + estimated.late >= 0.97 * (unbounded.inTime + unbounded.late), JSON.stringify({unbounded, estimated}));
	t.true(estimated.inTime >= 5 * unbounded.inTime, JSON.stringify({unbounded, estimated}));
});

test('short bursts within the capacity: no request is refused that would be served in time', t => {
	const getRatePerS = (second: number) => second % 5 === 0 ? 220 : 120;
	const estimated = simulate(getRatePerS, 20, new WaitEstimator());
	t.is(estimated.refused, 0, JSON.stringify(estimated));
	t.is(estimated.late, simulate(getRatePerS, 20, undefined).late);
});

test('an outage does not change the estimate', t => {
	const estimator = new WaitEstimator();
	for (let now = 0; now < 1000; now += 10) {
		estimator.recordPlacement(3, now);
	}

	const before = estimator.estimateWaitMs(4);
	estimator.recordPlacement(3, 9000);
	t.is(estimator.estimateWaitMs(4), before);
	t.true(before > 40 && before < 60, `${before}`);
});
