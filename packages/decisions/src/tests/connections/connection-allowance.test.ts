import test from 'ava';
import {ConnectionAllowance, type SharedConnections} from '../../connections/index.js';
import {createRandom} from '../create-random.js';
import {
	type ConnectionPolicy, simulateSharedConnections, type SharedConnectionsLoad, type SharedConnectionsResult,
} from './simulate-shared-connections.js';

function createAllowancePolicy(capacity: number, vms: number, startMs = 0): ConnectionPolicy {
	const allowance = new ConnectionAllowance();
	const getShared = (now: number): SharedConnections => ({capacity, vms, isStarting: now < startMs});
	return {
		getLimit: now => allowance.getLimit(getShared(now)),
		getIdleTimeoutMs: now => allowance.getIdleTimeoutMs(getShared(now), now),
		recordOpening(now) {
			allowance.recordOpening(now);
		},
		recordShortage(now) {
			allowance.recordShortage(getShared(now), now);
		},
		recordRefusal(now) {
			allowance.recordRefusal(now);
		},
	};
}

/** An even share for each VM, whose connections stay open. */
function createEvenPolicy(capacity: number, vms: number): ConnectionPolicy {
	return {
		getLimit: () => Math.max(1, Math.floor(capacity / vms)),
		getIdleTimeoutMs: () => Number.POSITIVE_INFINITY,
		recordOpening() {
			// The share is fixed.
		},
		recordShortage() {
			// The share is fixed.
		},
		recordRefusal() {
			// The share is fixed.
		},
	};
}

const shares = [
	{capacity: 16, vms: 9, ratePerS: 40},
	{capacity: 51, vms: 64, ratePerS: 60},
	{capacity: 180, vms: 195, ratePerS: 120},
];

for (const {capacity, vms, ratePerS} of shares) {
	test(`${vms} VMs that share ${capacity} connections seldom wait behind each other's transactions, and the instance refuses almost none`, t => {
		const createLoad = (): SharedConnectionsLoad => ({
			capacity, vms, accounts: 70, ratePerS, transactionFraction: 0.2, transactionMs: 400, statementMs: 20, durationMs: 30_000, getRandom: createRandom(1),
		});
		const elastic = simulateSharedConnections(createLoad(), () => createAllowancePolicy(capacity, vms));
		const even = simulateSharedConnections(createLoad(), () => createEvenPolicy(capacity, vms));
		t.log({elastic, even});
		t.true(elastic.longWaits <= elastic.operations * 0.02, `${elastic.longWaits} of ${elastic.operations}`);
		t.true(elastic.longWaits * 5 < even.longWaits, `${elastic.longWaits} against ${even.longWaits}`);
		t.true(elastic.refusedConnections <= elastic.operations * 0.01, `${elastic.refusedConnections} of ${elastic.operations}`);
	});
}

for (const [capacity, vms, limit, keptIdle] of [[33, 7, 4, 2], [232, 70, 3, 1]] as const) {
	test(`where ${vms} VMs share ${capacity} connections a VM keeps to its share and its idle connections`, t => {
		const allowance = new ConnectionAllowance();
		const shared = {capacity, vms, isStarting: false};
		for (let now = 0; now < 10_000; now += 50) {
			allowance.recordShortage(shared, now);
		}

		t.is(allowance.getLimit(shared), limit);
		t.is(allowance.getIdleTimeoutMs(shared, 10_000), 1000);
		t.is(allowance.getKeptIdleCount(shared, 0.5), keptIdle);
	});
}

test('the extra connections halve with each refusal and grow again with shortages', t => {
	const allowance = new ConnectionAllowance();
	const shared = {capacity: 160, vms: 160, isStarting: false};
	for (let now = 0; now < 10_000; now += 100) {
		allowance.recordShortage(shared, now);
	}

	t.is(allowance.getLimit(shared), 21);
	allowance.recordRefusal(20_000);
	allowance.recordRefusal(20_050);
	t.is(allowance.getLimit(shared), 11);
	for (let now = 21_000; now < 25_000; now += 1000) {
		allowance.recordRefusal(now);
	}

	t.is(allowance.getLimit(shared), 1);
	allowance.recordShortage(shared, 40_000);
	t.is(allowance.getLimit(shared), 2);
});

test('idle connections of all VMs together stay within a fraction of the capacity, and refusals shorten their time', t => {
	const shared = {capacity: 100, vms: 100, isStarting: false};
	const [busy, quiet] = [new ConnectionAllowance(), new ConnectionAllowance()];
	for (let now = 0; now <= 20_000; now += 250) {
		busy.recordOpening(now);
	}

	quiet.recordOpening(20_000);
	const openingsPerMs = 1 / 250;
	t.true(busy.getIdleTimeoutMs(shared, 20_000) * openingsPerMs <= 0.2, `${busy.getIdleTimeoutMs(shared, 20_000)} ms`);
	t.is(quiet.getIdleTimeoutMs(shared, 20_000), 600);
	for (let now = 21_000; now < 25_000; now += 1000) {
		quiet.recordRefusal(now);
	}

	t.is(quiet.getIdleTimeoutMs(shared, 24_000), 125);
	t.is(quiet.getIdleTimeoutMs(shared, 40_000), 1000);
});

/** A fifth of the even share, at least one connection, for the whole time in which an instance may count former connections. */
function createFixedStartPolicy(): ConnectionPolicy {
	return {...createEvenPolicy(1, 1), getLimit: () => 1};
}

const startMs = 3000;

/** Simulates new processes under load, of which an instance still counts some former connections for a while. */
function simulateStart(staleConnections: number, createPolicy: () => ConnectionPolicy): SharedConnectionsResult {
	return simulateSharedConnections({
		capacity: 16, vms: 9, accounts: 8, ratePerS: 40, transactionFraction: 0.3, transactionMs: 80, statementMs: 14, durationMs: startMs, stale: {count: staleConnections, untilMs: 1500}, getRandom: createRandom(2),
	}, createPolicy);
}

test('processes that start after a kill wait at most half as often as with a fixed fraction, and are refused no connection', t => {
	const slow = simulateStart(0, () => createAllowancePolicy(16, 9, startMs));
	const fixed = simulateStart(0, createFixedStartPolicy);
	t.log({slow, fixed});
	t.true(slow.longWaits * 2 <= fixed.longWaits, `${slow.longWaits} against ${fixed.longWaits}`);
	t.is(slow.refusedConnections, 0);
});

test('processes that start after a loss of power wait no more often than with a fixed fraction, and are refused hardly more connections', t => {
	const slow = simulateStart(12, () => createAllowancePolicy(16, 9, startMs));
	const fixed = simulateStart(12, createFixedStartPolicy);
	t.log({slow, fixed});
	t.true(slow.longWaits <= fixed.longWaits, `${slow.longWaits} against ${fixed.longWaits}`);
	t.true(slow.refusedConnections <= fixed.refusedConnections * 1.1, `${slow.refusedConnections} against ${fixed.refusedConnections}`);
});

test('what a new process may use grows with shortages, and halves with a refusal', t => {
	const allowance = new ConnectionAllowance();
	const shared = {capacity: 33, vms: 7, isStarting: true};
	t.is(allowance.getLimit(shared), 1);
	for (let now = 0; now < 500; now += 100) {
		allowance.recordShortage(shared, now);
	}

	t.is(allowance.getLimit(shared), 4);
	allowance.recordRefusal(600);
	t.is(allowance.getLimit(shared), 2);
	t.is(allowance.getLimit({...shared, isStarting: false}), 4);
});
