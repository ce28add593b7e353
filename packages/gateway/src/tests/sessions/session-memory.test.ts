import test from 'ava';
import {type Statement} from '../../statements/index.js';
import {measureHeapBytes} from '../fakes/heap.js';
import {
	describeAnswer, statements, type TestCaller, TestCluster,
} from '../fakes/test-cluster.js';

const {begin, commit, read} = statements;

/** Maximum memory of the values and prepared statements of one session and of all sessions, in bytes. */
const maxSessionBytes = 262_144;
const maxTotalBytes = 8_388_608;

/** Text of a definition. */
const text = 'x'.repeat(10_000);

function createSet(name: string, value: string): Statement {
	return {
		kind: 'set', text: `SET ${name} ${value}`, name, value,
	};
}

function createPrepare(name: string, shape: string): Statement {
	return {
		kind: 'prepare', text: `PREPARE ${name} READ ${shape}`, name, access: 'read', shape,
	};
}

function createExecute(name: string): Statement {
	return {
		kind: 'execute', text: `EXECUTE ${name} x`, name, parameters: 'x',
	};
}

/** Sends statements with names of their own until one is refused; returns how many were acknowledged and the kind of the refusal. */
async function fillSession(caller: TestCaller, createStatement: (name: string, text: string) => Statement, maxCount: number): Promise<{readonly count: number; readonly refusal: string | undefined}> {
	for (let count = 0; count < maxCount; count++) {
		const answer = describeAnswer(await caller.send(createStatement(`n${count}`, text)));
		if (answer !== 'acknowledged') {
			return {count, refusal: answer};
		}
	}

	return {count: maxCount, refusal: undefined};
}

// Guards against a process that ends for lack of memory because a session defines values without an end.
test.serial('a session beyond its bound is refused, and keeps what was acknowledged', async t => {
	const cluster = new TestCluster(['vm1']);
	await cluster.start();
	const caller = cluster.openSession('vm1', 'bounded');
	t.is(describeAnswer(await caller.send(createPrepare('first', 'select'))), 'acknowledged');
	const {count, refusal} = await fillSession(caller, createSet, 1000);
	t.is(refusal, 'invalid-request');
	t.true(count > 20 && count * text.length <= maxSessionBytes, `${count} values`);
	t.false(caller.isClosed);
	// A definition in place of another that is as long is accepted, and a longer one leaves the former in force.
	t.is(describeAnswer(await caller.send(createSet('n0', text.replaceAll('x', 'y')))), 'acknowledged');
	t.is(describeAnswer(await caller.send(createPrepare('first', text.repeat(2)))), 'invalid-request');
	t.not(describeAnswer(await caller.sendAndWait(createExecute('first'))), 'prepared-not-found');
	t.is(describeAnswer(await caller.send({kind: 'close-prepared', text: 'CLOSE first', name: 'first'})), 'acknowledged');
	t.is(describeAnswer(await caller.send(createPrepare('other', 'select'))), 'acknowledged');
	// A refusal changes nothing of a transaction.
	await caller.sendAndWait(begin);
	const refused = await caller.send(createSet('more', text));
	t.is(describeAnswer(refused), 'invalid-request');
	t.is(refused.state, 'in-transaction');
	t.is((await caller.sendAndWait(commit)).result.kind, 'completed');
	cluster.stop();
});

// Guards against a process that ends for lack of memory because a session prepares statements without an end.
test.serial('prepared statements beyond the bound are refused, and room is made by closing some', async t => {
	const cluster = new TestCluster(['vm1']);
	await cluster.start();
	const caller = cluster.openSession('vm1', 'bounded');
	const {count, refusal} = await fillSession(caller, createPrepare, 1000);
	t.is(refusal, 'invalid-request');
	t.true(count * text.length <= maxSessionBytes, `${count} prepared statements`);
	t.is(describeAnswer(await caller.send(createExecute(`n${count}`))), 'prepared-not-found');
	await cluster.time.advance(1);
	t.is(describeAnswer(await caller.send({kind: 'close-prepared', text: 'CLOSE n0', name: 'n0'})), 'acknowledged');
	t.is(describeAnswer(await caller.send(createPrepare('next', text))), 'acknowledged');
	cluster.stop();
});

// Guards against many sessions that together fill the memory, each within its own bound.
test.serial('all sessions together are bounded, small ones go on, and ended ones make room', async t => {
	const cluster = new TestCluster(['vm1']);
	await cluster.start();
	const callers: TestCaller[] = [];
	let total = 0;
	let refusals = 0;
	for (let index = 0; index < 100; index++) {
		const caller = cluster.openSession('vm1', 'bounded');
		callers.push(caller);
		const {count, refusal} = await fillSession(caller, createSet, 20);
		total += count * text.length;
		refusals += refusal === 'overloaded' ? 1 : 0;
	}

	t.true(total <= maxTotalBytes, `${total} bytes`);
	t.true(total > maxTotalBytes / 2);
	t.true(refusals > 50);
	const small = cluster.openSession('vm1', 'bounded');
	t.is(describeAnswer(await small.send(createSet('zone', 'x'.repeat(1000)))), 'acknowledged');
	t.is((await small.sendAndWait(read)).result.kind, 'completed');
	for (const caller of callers) {
		caller.disconnect();
	}

	t.deepEqual(await fillSession(cluster.openSession('vm1', 'bounded'), createSet, 20), {count: 20, refusal: undefined});
	cluster.stop();
});

// Guards against short definitions that keep the long text in memory of which they are a part.
test.serial('a definition keeps only its own text in memory', async t => {
	const cluster = new TestCluster(['vm1']);
	await cluster.start();
	const caller = cluster.openSession('vm1', 'bounded');
	const usedBefore = await measureHeapBytes();
	for (let index = 0; index < 150; index++) {
		const longText = `${String(index).padStart(20, '0')} ${'z'.repeat(200_000)}`;
		const part = longText.slice(0, 20);
		await caller.send({
			kind: 'set', text: part, name: part, value: part,
		});
		await caller.send({
			kind: 'prepare', text: part, name: part, access: 'read', shape: part,
		});
	}

	const grownBytes = await measureHeapBytes() - usedBefore;
	t.true(grownBytes < 5_000_000, `${grownBytes} bytes`);
	t.not(describeAnswer(await caller.sendAndWait(createExecute('0'.repeat(20)))), 'prepared-not-found');
	cluster.stop();
});

// Guards against an id that is kept, uncounted, as long as the transaction that it begins is open.
test.serial('a statement with a long id is refused as not run, and the session goes on', async t => {
	const cluster = new TestCluster(['vm1']);
	await cluster.start();
	const caller = cluster.openSession('vm1', 'bounded');
	const refused = await caller.send(begin, '1'.repeat(100_000));
	t.is(describeAnswer(refused), 'invalid-request');
	t.is(refused.state, 'idle');
	t.true(cluster.log.events.every(({fields}) => JSON.stringify(fields).length < 10_000));
	await cluster.time.advance(1);
	t.is(describeAnswer(await caller.send(begin, '1'.repeat(200))), 'acknowledged');
	t.is((await caller.sendAndWait(commit)).result.kind, 'completed');
	cluster.stop();
});
