import test from 'ava';
import {PositionHistory} from '../../freshness/index.js';

const createPosition = (offset: number) => ({term: 1, offset});

test('a read gets the lowest position that covers its staleness bound', t => {
	const history = new PositionHistory(5000);
	for (const [observedAt, offset] of [[100, 1], [200, 2], [300, 3]] as const) {
		history.addSample({observedAt, position: createPosition(offset)}, 300);
	}

	t.deepEqual(history.getPositionCovering(150), createPosition(2));
	t.deepEqual(history.getPositionCovering(200), createPosition(2));
	t.is(history.getPositionCovering(301), undefined);
	t.deepEqual(history.getNewestSample()!.position, createPosition(3));
});

test('late and dense samples leave covering positions correct', t => {
	const history = new PositionHistory(5000);
	history.addSample({observedAt: 100, position: createPosition(5)}, 100);
	history.addSample({observedAt: 105, position: createPosition(4)}, 110);
	history.addSample({observedAt: 110, position: createPosition(9)}, 120);
	history.addSample({observedAt: 50, position: createPosition(1)}, 120);
	t.deepEqual(history.getPositionCovering(100), createPosition(5));
	t.deepEqual(history.getPositionCovering(106), createPosition(9));
});

test('in a dense stream of samples older ones are kept at the minimum distance', t => {
	const history = new PositionHistory(5000);
	for (let time = 0; time <= 2000; time++) {
		history.addSample({observedAt: time, position: createPosition(time)}, time);
	}

	t.deepEqual(history.getNewestSample()!.position, createPosition(2000));
	const covering = history.getPositionCovering(500)!;
	t.true(covering.offset >= 500 && covering.offset < 530, `${covering.offset}`);
});

test('samples older than the retention time are removed', t => {
	const history = new PositionHistory(1000);
	history.addSample({observedAt: 0, position: createPosition(1)}, 0);
	history.addSample({observedAt: 2000, position: createPosition(2)}, 2000);
	t.deepEqual(history.getPositionCovering(0), createPosition(2));
	history.clear();
	t.is(history.getPositionCovering(0), undefined);
});
