import test from 'ava';
import {TransactionReservation} from '../../connections/index.js';
import {createRandom} from '../create-random.js';

const handshakeMs = 13;
const transactionCount = 500;

/** Returns the time for which each transaction waits for its connection after its first statement came. */
function simulateWaits(reservation: TransactionReservation | undefined): number[] {
	const random = createRandom(7);
	return Array.from({length: transactionCount}, () => {
		const pauseMs = 8 + (random() * 10);
		const isReserved = reservation?.canReserve(0) === true;
		const holdMs = reservation?.getHoldMs() ?? 0;
		reservation?.recordPause(pauseMs);
		const isKept = isReserved && pauseMs <= handshakeMs + holdMs;
		return isKept ? Math.max(0, handshakeMs - pauseMs) : handshakeMs;
	});
}

function computeMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

test('transactions of callers that continue at once wait less than a third of what they wait when the connection is opened for the first statement', t => {
	t.true(computeMean(simulateWaits(new TransactionReservation())) < computeMean(simulateWaits(undefined)) / 3);
});

test('no connection is reserved while statements at hand wait for one', t => {
	t.false(new TransactionReservation().canReserve(1));
});

test('a connection is held only a little longer than callers usually pause, and never for longer than half a second', t => {
	const reservation = new TransactionReservation();
	for (let index = 0; index < 100; index++) {
		reservation.recordPause(10 + (index % 5));
	}

	t.true(reservation.getHoldMs() < 30);
	for (let index = 0; index < 100; index++) {
		reservation.recordPause(60_000);
	}

	t.true(reservation.getHoldMs() <= 500);
});
