import test from 'ava';
import {type Statement} from '../../statements/index.js';
import {
	createConfiguration, describeAnswer, statements, TestCluster,
} from '../fakes/test-cluster.js';

const {read, write, begin, beginRead, commit, rollBack} = statements;

test.serial('reads on a bounded route are spread over the replicas, those on a primary route go to the primary', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const writer = cluster.openSession('vm1', 'strict');
	await writer.sendAndWait(write);
	await cluster.time.advance(100);
	const readers = Array.from({length: 12}, () => cluster.openSession('vm1', 'bounded'));
	await cluster.time.waitFor(Promise.all(readers.map(async reader => reader.send(read))));
	const bounded = cluster.database.events.filter(event => event.kind === 'read');
	t.true(bounded.filter(event => event.instanceId !== 'db-1').length >= 6);
	await writer.sendAndWait(read);
	t.is(cluster.database.events.at(-1)!.instanceId, 'db-1');
	cluster.stop();
});

test.serial('a session reads its own writes although replicas lag far behind', async t => {
	const cluster = new TestCluster();
	cluster.database.options.lagMs = 4000;
	await cluster.start();
	const session = cluster.openSession('vm1', 'own');
	for (let round = 0; round < 5; round++) {
		await session.sendAndWait(write);
		await session.sendAndWait(read);
		const [written, seen] = cluster.database.events.slice(-2);
		t.true(seen!.position.offset >= written!.position.offset);
	}

	cluster.stop();
});

test.serial('a bounded read never runs on a log that lacks what was committed before the bound', async t => {
	const cluster = new TestCluster();
	cluster.database.options.lagMs = 2500;
	await cluster.start();
	const writer = cluster.openSession('vm2', 'strict');
	const reader = cluster.openSession('vm1', 'bounded');
	for (let round = 0; round < 30; round++) {
		await writer.sendAndWait(write);
		const startedAt = cluster.time.now();
		await reader.sendAndWait(read);
		const commits = cluster.database.events.filter(event => event.kind === 'commit' && event.at < startedAt - 1500);
		const seen = cluster.database.events.findLast(event => event.kind === 'read')!;
		t.true(commits.every(event => event.position.offset <= seen.position.offset));
		await cluster.time.advance(100);
	}

	cluster.stop();
});

test.serial('a transaction stays on one connection, and other callers never run inside it', async t => {
	const cluster = new TestCluster(['vm1']);
	await cluster.start(createConfiguration(1, {groups: [{name: 'db', maxConnections: 2}]}));
	const first = cluster.openSession('vm1', 'strict');
	t.is(describeAnswer(await first.sendAndWait(begin)), 'acknowledged');
	t.is(describeAnswer(await first.sendAndWait(write)), 'signed q1-2');
	const second = cluster.openSession('vm1', 'strict');
	t.is(describeAnswer(await second.sendAndWait(write)), 'signed q2-1');
	t.is(cluster.database.events.length, 1, 'the first write is not committed yet');
	const answer = await first.sendAndWait(commit);
	t.is(describeAnswer(answer), 'signed q1-3');
	t.is(answer.state, 'idle');
	t.is(cluster.database.events.length, 2);
	cluster.stop();
});

test.serial('session values and prepared statements apply on every connection that a statement runs on', async t => {
	const cluster = new TestCluster(['vm1']);
	await cluster.start(createConfiguration(1, {groups: [{name: 'db', maxConnections: 1}]}));
	const sessions = ['red', 'blue'].map(color => ({color, session: cluster.openSession('vm1', 'strict')}));
	for (const {color, session} of sessions) {
		await session.sendAndWait({
			kind: 'set', text: 'SET color x', name: 'color', value: color,
		});
		await session.sendAndWait({
			kind: 'prepare', text: 'PREPARE s READ shape', name: 's', access: 'read', shape: `shape-${color}`,
		});
	}

	const execute: Statement = {
		kind: 'execute', text: 'EXECUTE s 1', name: 's', parameters: '1',
	};
	for (let round = 0; round < 4; round++) {
		for (const {color, session} of sessions) {
			t.is(describeAnswer(await session.sendAndWait(execute)), `signed ${session.requestId}`);
			const event = cluster.database.events.at(-1)!;
			t.is(event.values.get('color'), color);
			t.is(event.shape, `read shape-${color}`);
		}
	}

	const plain = cluster.openSession('vm1', 'strict');
	await plain.sendAndWait(read);
	t.is(cluster.database.events.at(-1)!.values.size, 0);
	t.is(describeAnswer(await plain.sendAndWait(execute)), 'prepared-not-found');
	cluster.stop();
});

test.serial('a write whose answer is lost has an unknown outcome and is not retried, a read is retried', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const session = cluster.openSession('vm1', 'strict');
	cluster.database.plannedErrors.push({kind: 'write', error: 'lost-after'}, {kind: 'read', error: 'lost-before'}, {kind: 'read', error: 'failed'});
	t.is(describeAnswer(await session.sendAndWait(write)), 'outcome-unknown');
	t.is(cluster.database.events.filter(event => event.kind === 'commit').length, 1);
	t.is(describeAnswer(await session.sendAndWait(read)), 'signed q1-2');
	cluster.stop();
});

test.serial('a statement that the instance reports as not run is retried', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const session = cluster.openSession('vm1', 'strict');
	cluster.database.plannedErrors.push({kind: 'write', error: 'busy'}, {kind: 'write', error: 'busy'});
	t.is(describeAnswer(await session.sendAndWait(write)), 'signed q1-1');
	t.is(cluster.database.events.length, 1);
	cluster.stop();
});

test.serial('a transaction whose connection breaks before the commit is rolled back, one whose connection breaks during the commit has an unknown outcome', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const session = cluster.openSession('vm1', 'strict');
	await session.sendAndWait(begin);
	cluster.database.plannedErrors.push({kind: 'write', error: 'lost-after'});
	const broken = await session.sendAndWait(write);
	t.is(describeAnswer(broken), 'transaction-lost');
	t.is(broken.state, 'failed-transaction');
	t.is(describeAnswer(await session.sendAndWait(read)), 'invalid-request');
	t.is((await session.sendAndWait(rollBack)).state, 'idle');
	await session.sendAndWait(begin);
	await session.sendAndWait(write);
	cluster.database.plannedErrors.push({kind: 'commit', error: 'lost-after'});
	t.is(describeAnswer(await session.sendAndWait(commit)), 'outcome-unknown');
	await session.sendAndWait(beginRead);
	await session.sendAndWait(read);
	cluster.database.plannedErrors.push({kind: 'commit', error: 'lost-after'});
	t.is(describeAnswer(await session.sendAndWait(commit)), 'transaction-lost', 'nothing was written');
	cluster.stop();
});

test.serial('a commit after a failed statement is refused as rolled back', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const session = cluster.openSession('vm1', 'strict');
	await session.sendAndWait(begin);
	cluster.database.plannedErrors.push({kind: 'write', error: 'failed'});
	t.is(describeAnswer(await session.sendAndWait(write)), 'statement-failed');
	const answer = await session.sendAndWait(commit);
	t.is(describeAnswer(answer), 'transaction-lost');
	t.is(answer.state, 'idle');
	t.is(cluster.database.events.length, 0);
	cluster.stop();
});

test.serial('a transaction is rolled back and its connection released when the caller disconnects', async t => {
	const cluster = new TestCluster(['vm1']);
	await cluster.start(createConfiguration(1, {groups: [{name: 'db', maxConnections: 1}]}));
	const disconnecting = cluster.openSession('vm1', 'strict');
	await disconnecting.sendAndWait(begin);
	await disconnecting.sendAndWait(write);
	disconnecting.disconnect();
	await cluster.time.advance(50);
	t.is(describeAnswer(await cluster.openSession('vm1', 'strict').sendAndWait(write)), 'signed q2-1');
	t.is(cluster.database.events.length, 1);
	cluster.stop();
});

test.serial('a transaction that is idle for too long is rolled back, and its commit is refused', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const session = cluster.openSession('vm1', 'strict');
	await session.sendAndWait(begin);
	await session.sendAndWait(write);
	await cluster.time.advance(3500);
	t.is(describeAnswer(await session.sendAndWait(commit)), 'transaction-lost');
	t.is(cluster.database.events.length, 0);
	cluster.stop();
});

// Guards against a caller that is told that its statement was invalid, although the VM ended the transaction between two statements.
test.serial('the next statement of a transaction that was idle for too long is refused as one that may be repeated, and only the one after it as invalid', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const session = cluster.openSession('vm1', 'strict');
	await session.sendAndWait(begin);
	await session.sendAndWait(write);
	await cluster.time.advance(3500);
	const answer = await session.sendAndWait(write);
	t.is(describeAnswer(answer), 'transaction-lost');
	t.is(answer.state, 'failed-transaction');
	t.is(describeAnswer(await session.sendAndWait(write)), 'invalid-request');
	t.is((await session.sendAndWait(rollBack)).state, 'idle');
	await session.sendAndWait(begin);
	t.true(describeAnswer(await session.sendAndWait(write)).startsWith('signed'));
	t.is(describeAnswer(await session.sendAndWait(begin)), 'invalid-request');
	cluster.stop();
});

test.serial('unknown databases and keys are rejected, and the sessions of a withdrawn key are closed', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	t.is(cluster.openSession('vm1', 'nowhere').rejection!.kind, 'unknown-route');
	t.is(cluster.openSession('vm1', 'strict', 'nobody').rejection!.kind, 'unauthenticated');
	t.is(describeAnswer(await cluster.openSession('vm1', 'open', 'nobody').sendAndWait(read)), 'signed q3-1');
	const idle = cluster.openSession('vm1', 'strict', 'small');
	const busy = cluster.openSession('vm2', 'strict', 'small');
	await busy.sendAndWait(begin);
	await busy.sendAndWait(write);
	const accounts = createConfiguration(2).accounts.filter(account => account.name !== 'small');
	cluster.store.setConfiguration(createConfiguration(2, {accounts}));
	await cluster.time.advance(1500);
	t.true(idle.isClosed);
	t.is(describeAnswer(await busy.sendAndWait(commit)), 'unauthenticated');
	t.is(cluster.database.events.filter(event => event.kind === 'commit').length, 0);
	cluster.stop();
});

test.serial('instances receive the account name, never the key', async t => {
	const cluster = new TestCluster();
	await cluster.start(createConfiguration(1, {
		accounts: [{
			name: 'agency', keyDigests: ['secret'], priority: 1, ratePerS: 10, burst: 10,
		}],
	}));
	await cluster.openSession('vm1', 'strict', 'secret').sendAndWait(write);
	t.is(cluster.database.events[0]!.account, 'agency');
	cluster.stop();
});

test.serial('a statement above the configured size is refused without reaching an instance, one of exactly that size is served', async t => {
	const cluster = new TestCluster();
	await cluster.start(createConfiguration(1, {maxStatementBytes: 20}));
	const caller = cluster.openSession('vm1', 'strict');
	const before = cluster.database.events.length;
	t.is(describeAnswer(await caller.sendAndWait({kind: 'write', text: `WRITE x ${'y'.repeat(13)}`})), 'invalid-request');
	t.is(cluster.database.events.length, before);
	t.not(describeAnswer(await caller.sendAndWait({kind: 'write', text: `WRITE x ${'y'.repeat(12)}`})), 'invalid-request');
	t.is(cluster.database.events.length, before + 1);
	cluster.stop();
});

test.serial('a read whose instance stops answering is answered by another instance long before its timeout', async t => {
	const cluster = new TestCluster(['vm1']);
	await cluster.start();
	const writer = cluster.openSession('vm1', 'strict');
	await writer.sendAndWait(write);
	await cluster.time.advance(100);
	const readers = Array.from({length: 12}, () => cluster.openSession('vm1', 'bounded'));
	await cluster.time.waitFor(Promise.all(readers.map(async reader => reader.send(read))));
	cluster.database.unreachablePairs.add('vm1 db-2');
	const startedAt = cluster.time.now();
	const times: number[] = [];
	await cluster.time.waitFor(Promise.all(readers.map(async reader => {
		const answer = await reader.send(read);
		t.is(answer.result.kind, 'completed');
		times.push(cluster.time.now() - startedAt);
	})));
	t.true(Math.max(...times) > 300, 'no read was sent to the silent instance');
	t.true(Math.max(...times) < 500, `${Math.max(...times)}`);
	t.true(cluster.getGateway('vm1').metrics.getCount('read_doubted') > 0);
	cluster.stop();
});
