import test from 'ava';
import {PositionHistory} from '../../freshness/index.js';

const at = (offset: number) => ({term: 1, offset});

test('a read gets the lowest position that covers its bound', t => {
	const log = new PositionHistory(5000);
	for (const [observedAt, offset] of [[100, 1], [200, 2], [300, 3]] as const) {
		log.addSample({observedAt, position: at(offset)}, 300);
	}

	t.deepEqual(log.getPositionCovering(150), at(2));
	t.deepEqual(log.getPositionCovering(200), at(2));
	t.is(log.getPositionCovering(301), undefined);
	t.deepEqual(log.getNewestSample()!.position, at(3));
});

test('samples that come late or close together weaken no claim', t => {
	const log = new PositionHistory(5000);
	log.addSample({observedAt: 100, position: at(5)}, 100);
	log.addSample({observedAt: 105, position: at(4)}, 110);
	log.addSample({observedAt: 110, position: at(9)}, 120);
	log.addSample({observedAt: 50, position: at(1)}, 120);
	t.deepEqual(log.getPositionCovering(100), at(5));
	t.deepEqual(log.getPositionCovering(106), at(9));
});

test('under a dense stream of samples the older ones stay, spaced out', t => {
	const log = new PositionHistory(5000);
	for (let time = 0; time <= 2000; time++) {
		log.addSample({observedAt: time, position: at(time)}, time);
	}

	t.deepEqual(log.getNewestSample()!.position, at(2000));
	const covering = log.getPositionCovering(500)!;
	t.true(covering.offset >= 500 && covering.offset < 530, `${covering.offset}`);
});

test('samples that no reader may use are forgotten', t => {
	const log = new PositionHistory(1000);
	log.addSample({observedAt: 0, position: at(1)}, 0);
	log.addSample({observedAt: 2000, position: at(2)}, 2000);
	t.deepEqual(log.getPositionCovering(0), at(2));
	log.clear();
	t.is(log.getPositionCovering(0), undefined);
});
