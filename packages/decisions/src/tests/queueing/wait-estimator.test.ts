import test from 'ava';
import {WaitEstimator} from '../../queueing/index.js';

const slots = 2;
const serviceMs = 10;
const aimMs = 120;
const deadlineMs = 800;

type Figures = {asked: number; inTime: number; late: number; refused: number};

/** Plays arrivals before two slots; requests wait in order until their deadline, or are refused on arrival by the estimate. */
function play(perS: (second: number) => number, forS: number, estimator: WaitEstimator | undefined): Figures {
	const figures: Figures = {
		asked: 0, inTime: 0, late: 0, refused: 0,
	};
	const queue: number[] = [];
	const ends: number[] = [];
	let due = 0;
	for (let now = 0; now < forS * 1000; now++) {
		while (ends.length > 0 && ends[0]! <= now) {
			ends.shift();
		}

		due += perS(Math.floor(now / 1000)) / 1000;
		for (; due >= 1; due--) {
			figures.asked += 1;
			if (queue.length > 0 && (estimator?.estimateWaitMs(queue.length) ?? 0) > aimMs) {
				figures.refused += 1;
			} else {
				queue.push(now);
			}
		}

		while (ends.length < slots && queue.length > 0) {
			const arrivedAt = queue.shift()!;
			if (now - arrivedAt > deadlineMs) {
				figures.refused += 1;
				continue;
			}

			estimator?.observePlaced(queue.length, now);
			ends.push(now + serviceMs);
			figures[now + serviceMs - arrivedAt <= aimMs + serviceMs ? 'inTime' : 'late'] += 1;
		}
	}

	return figures;
}

test('a load of one and a half times the capacity: as many are served as with an unbounded queue, and those in time', t => {
	const plain = play(() => 300, 10, undefined);
	const early = play(() => 300, 10, new WaitEstimator());
	t.true(early.inTime + early.late >= 0.97 * (plain.inTime + plain.late), JSON.stringify({plain, early}));
	t.true(early.inTime >= 5 * plain.inTime, JSON.stringify({plain, early}));
});

test('a load within the capacity with short bursts: nobody is refused who would be served in time', t => {
	const pace = (second: number) => second % 5 === 0 ? 220 : 120;
	const early = play(pace, 20, new WaitEstimator());
	t.is(early.refused, 0, JSON.stringify(early));
	t.is(early.late, play(pace, 20, undefined).late);
});

test('an outage says nothing of the pace', t => {
	const estimator = new WaitEstimator();
	for (let now = 0; now < 1000; now += 10) {
		estimator.observePlaced(3, now);
	}

	const before = estimator.estimateWaitMs(4);
	estimator.observePlaced(3, 9000);
	t.is(estimator.estimateWaitMs(4), before);
	t.true(before > 40 && before < 60, `${before}`);
});
