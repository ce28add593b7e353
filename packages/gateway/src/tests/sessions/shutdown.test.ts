import test from 'ava';
import {describeAnswer, statements, TestCluster} from '../fakes/test-cluster.js';

const {read, write, begin, commit} = statements;
const timing = {graceMs: 6000, rotationMs: 2200};

test.serial('a VM that shuts down finishes running statements, gives transactions half of the grace period, and closes idle sessions', async t => {
	const cluster = new TestCluster();
	cluster.database.options.serviceMs = 300;
	await cluster.start();
	const idle = cluster.openSession('vm1', 'strict');
	const running = cluster.openSession('vm1', 'strict');
	const open = cluster.openSession('vm1', 'strict');
	await open.sendAndWait(begin);
	await open.sendAndWait(write);
	const answer = running.send(write);
	const drained = cluster.getGateway('vm1').gateway.drain(timing);
	t.false(cluster.getGateway('vm1').gateway.isReady);
	t.true(describeAnswer(await cluster.time.waitFor(answer)).startsWith('signed'));
	t.true(describeAnswer(await open.sendAndWait(commit)).startsWith('signed'));
	await cluster.time.advance(2300);
	t.true(idle.isClosed && running.isClosed && open.isClosed);
	await cluster.time.waitFor(drained);
	cluster.stop();
});

test.serial('in the second half of the grace period new sessions and statements are refused at once as not run', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const inTransaction = cluster.openSession('vm1', 'strict');
	await inTransaction.sendAndWait(begin);
	await inTransaction.sendAndWait(write);
	const drained = cluster.getGateway('vm1').gateway.drain(timing);
	await cluster.time.advance(2500);
	const early = cluster.openSession('vm1', 'strict');
	t.true(describeAnswer(await early.sendAndWait(read)).startsWith('signed'));
	await cluster.time.advance(100);
	t.true(early.isClosed, 'the session is closed after its first operation');
	await cluster.time.advance(900);
	t.is(cluster.openSession('vm1', 'strict').rejection!.kind, 'overloaded');
	const refused = await inTransaction.sendAndWait(commit);
	t.is(describeAnswer(refused), 'transaction-lost');
	t.is(cluster.database.events.filter(event => event.kind === 'commit').length, 0);
	await cluster.time.waitFor(drained);
	cluster.stop();
});

// Guards against a caller that is told that its statement was invalid, although the shutdown ended the transaction between two statements.
test.serial('the next statement of a transaction that a shutdown rolled back is refused as one that may be repeated', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const session = cluster.openSession('vm1', 'strict');
	await session.sendAndWait(begin);
	await session.sendAndWait(write);
	const drained = cluster.getGateway('vm1').gateway.drain(timing);
	await cluster.time.advance(3200);
	const answer = await session.sendAndWait(write);
	t.is(describeAnswer(answer), 'transaction-lost');
	t.true(answer.result.kind === 'refused' && answer.result.refusal.hasNotRun);
	await cluster.time.waitFor(drained);
	cluster.stop();
});

test.serial('a statement that still waits for a connection at half of the grace period is refused, not kept waiting until its end', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const inTransaction = cluster.openSession('vm1', 'strict');
	await inTransaction.sendAndWait(begin);
	const drained = cluster.getGateway('vm1').gateway.drain(timing);
	await cluster.time.advance(2600);
	cluster.database.primary.crash();
	const late = cluster.openSession('vm1', 'strict');
	const startedAt = cluster.time.now();
	const answer = await cluster.time.waitFor(late.send(write));
	t.is(describeAnswer(answer), 'overloaded');
	t.true(cluster.time.now() - startedAt <= 500);
	await cluster.time.waitFor(drained);
	cluster.stop();
});

// Guards against a process that waits for a store that does not answer until it is killed at the end of the grace period.
test.serial('a VM that cannot reach the store ends before the end of the grace period, also with a caller that never leaves its transaction', async t => {
	for (const fault of ['silent', 'busy'] as const) {
		const cluster = new TestCluster();
		await cluster.start();
		const session = cluster.openSession('vm1', 'strict');
		await session.sendAndWait(begin);
		await session.sendAndWait(write);
		const startedAt = cluster.time.now();
		const drained = cluster.getGateway('vm1').gateway.drain(timing);
		await cluster.time.advance(5000);
		cluster.store.fault = fault;
		cluster.network.isolatedVms.add('vm1');
		await cluster.time.waitFor(drained);
		const durationMs = cluster.time.now() - startedAt;
		t.true(durationMs < timing.graceMs, `${fault}: ${durationMs} ms`);
		cluster.stop();
	}
});

// Guards against a process that outlives a short grace period, and is killed, because it waits for the load balancer longer than that.
test.serial('a VM ends before the end of a grace period that is shorter than the time the load balancer takes', async t => {
	for (const graceMs of [500, 1000, 2000, 2500]) {
		const cluster = new TestCluster();
		await cluster.start();
		const session = cluster.openSession('vm1', 'strict');
		await session.sendAndWait(begin);
		await session.sendAndWait(write);
		const startedAt = cluster.time.now();
		await cluster.time.waitFor(cluster.getGateway('vm1').gateway.drain({...timing, graceMs}));
		const durationMs = cluster.time.now() - startedAt;
		t.true(durationMs < graceMs, `grace period of ${graceMs} ms: ${durationMs} ms`);
		cluster.stop();
	}
});
