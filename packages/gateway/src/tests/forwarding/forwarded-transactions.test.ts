import test from 'ava';
import {type LogPosition} from '@chicorysaddle/model';
import {describeAnswer, statements} from '../fakes/test-cluster.js';
import {
	accountNames, createScarceConfiguration, maxConnections, startScene,
} from './scarce-cluster.js';

const {
	read, write, begin, beginRead, commit, rollBack,
} = statements;

test.serial('a transaction runs on one connection of the gateway, and its commit is kept', async t => {
	const {cluster, entry, gateway, caller} = await startScene();
	const opened = cluster.connectors.get(entry)!.openedConnections;
	t.is(describeAnswer(await caller.sendAndWait(begin)), 'acknowledged');
	t.is((await caller.sendAndWait(write)).result.kind, 'completed');
	t.is((await caller.sendAndWait(read)).state, 'in-transaction');
	const answer = await caller.sendAndWait(commit);
	t.is(answer.result.kind, 'completed', describeAnswer(answer));
	t.is(answer.state, 'idle');
	t.is(cluster.database.events.filter(({requestId, kind}) => requestId === caller.requestId && kind === 'commit').length, 1);
	t.is(cluster.connectors.get(entry)!.openedConnections, opened);
	t.true(cluster.getCount(gateway, 'gateway_completed') >= 4);
	await cluster.time.advance(100);
	t.is(cluster.getGateway(gateway).gateway.isReady, true);
	t.deepEqual([...cluster.database.primary.connections].filter(connection => connection.isInTransaction), []);
	cluster.stop();
});

// Guards against a transaction that is rolled back at once, because its idle time, or its statements, because their timeout, are longer than what a timer can wait for.
test.serial('a transaction stays open for an idle time, and its statements run for a timeout, beyond the range of timers', async t => {
	for (const ms of [2_147_483_647, 1e12, Number.MAX_SAFE_INTEGER]) {
		const {routes} = createScarceConfiguration();
		const {cluster, entry, gateway, account, caller} = await startScene('strict', accountNames, createScarceConfiguration({transactionIdleMs: ms, routes: routes.map(route => ({...route, statementTimeoutMs: ms}))}));
		const local = cluster.openSession(gateway, 'strict', account);
		for (const session of [caller, local]) {
			t.is(describeAnswer(await session.sendAndWait(begin)), 'acknowledged');
			t.is((await session.sendAndWait(write)).result.kind, 'completed', `${ms}`);
		}

		await cluster.time.advance(2000);
		for (const session of [caller, local]) {
			const answer = await session.sendAndWait(commit);
			t.is(answer.result.kind, 'completed', `${ms}: ${describeAnswer(answer)}`);
		}

		t.true(cluster.getCount(entry, 'forwarded') > 0);
		cluster.stop();
	}
});

test.serial('a rolled back transaction and one whose caller leaves keep nothing and free the connection', async t => {
	const {cluster, entry, account, caller} = await startScene();
	const commits = cluster.database.events.filter(({kind}) => kind === 'commit').length;
	await caller.sendAndWait(begin);
	await caller.sendAndWait(write);
	t.is(describeAnswer(await caller.sendAndWait(rollBack)), 'acknowledged');
	const leaver = cluster.openSession(entry, 'strict', account);
	await leaver.sendAndWait(begin);
	await leaver.sendAndWait(write);
	leaver.disconnect();
	await cluster.time.advance(100);
	t.is(cluster.database.events.filter(({kind}) => kind === 'commit').length, commits);
	t.deepEqual([...cluster.database.primary.connections].filter(connection => connection.isInTransaction), []);
	cluster.stop();
});

test.serial('session values that change within a transaction are applied without a reset', async t => {
	const {cluster, caller} = await startScene();
	const set = async (name: string, value: string) => caller.sendAndWait({
		kind: 'set', text: 'SET', name, value,
	});
	await set('user', 'u1');
	await caller.sendAndWait(begin);
	await caller.sendAndWait(write);
	await set('step', '2');
	await caller.sendAndWait(read);
	t.deepEqual(Object.fromEntries(cluster.database.events.at(-1)!.values), {user: 'u1', step: '2'});
	const answer = await caller.sendAndWait(commit);
	t.is(answer.result.kind, 'completed', describeAnswer(answer));
	t.is(cluster.database.events.at(-1)!.kind, 'commit');
	cluster.stop();
});

test.serial('other callers never run inside a forwarded transaction', async t => {
	const {cluster, entry, account, caller} = await startScene();
	await caller.sendAndWait(begin);
	await caller.sendAndWait(write);
	for (const vm of cluster.vmNames) {
		const other = cluster.openSession(vm, 'strict', account);
		t.is((await other.sendAndWait(write)).result.kind, 'completed');
		t.is(cluster.database.events.at(-1)!.requestId, other.requestId);
	}

	t.is(describeAnswer(await caller.sendAndWait(rollBack)), 'acknowledged');
	t.true(cluster.database.primary.connections.size <= maxConnections);
	t.true(cluster.getCount(entry, 'forwarded') > 0);
	cluster.stop();
});

test.serial('a gateway that is lost before the commit was sent: the transaction is rolled back, and the caller is told so', async t => {
	for (const isCommit of [true, false]) {
		const {cluster, gateway, caller} = await startScene();
		const commits = cluster.database.events.filter(({kind}) => kind === 'commit').length;
		await caller.sendAndWait(begin);
		await caller.sendAndWait(write);
		cluster.killVm(gateway);
		await cluster.time.advance(10);
		const answer = await caller.sendAndWait(isCommit ? commit : write);
		t.is(describeAnswer(answer), 'transaction-lost');
		t.true(answer.result.kind === 'refused' && answer.result.refusal.hasNotRun);
		await cluster.time.advance(1000);
		t.is(cluster.database.events.filter(({kind}) => kind === 'commit').length, commits);
		cluster.stop();
	}
});

for (const [when, delayMs] of [['on its way', 0], ['at the instance', 10], ['done', 15]] as const) {
	test.serial(`a gateway that is killed while the commit is ${when}: the outcome is unknown`, async t => {
		const {cluster, gateway, caller} = await startScene();
		await caller.sendAndWait(begin);
		await caller.sendAndWait(write);
		const committed = caller.send(commit);
		await cluster.time.advance(delayMs);
		cluster.killVm(gateway);
		t.is(describeAnswer(await cluster.time.waitFor(committed)), 'outcome-unknown');
		cluster.stop();
	});
}

test.serial('a gateway that is killed while a statement before the commit runs: the transaction was rolled back', async t => {
	const {cluster, gateway, caller} = await startScene();
	await caller.sendAndWait(begin);
	await caller.sendAndWait(write);
	const written = caller.send(write);
	await cluster.time.advance(10);
	cluster.killVm(gateway);
	t.is(describeAnswer(await cluster.time.waitFor(written)), 'transaction-lost');
	cluster.stop();
});

test.serial('an entry VM that is killed: the gateway rolls its transactions back and frees the connections', async t => {
	const {cluster, entry, gateway, caller} = await startScene();
	const commits = cluster.database.events.filter(({kind}) => kind === 'commit').length;
	await caller.sendAndWait(begin);
	await caller.sendAndWait(write);
	t.true([...cluster.database.primary.connections].some(connection => connection.isInTransaction));
	cluster.killVm(entry);
	await cluster.time.advance(100);
	t.deepEqual([...cluster.database.primary.connections].filter(connection => connection.isInTransaction), []);
	t.is(cluster.database.events.filter(({kind}) => kind === 'commit').length, commits);
	t.is((await cluster.openSession(gateway, 'strict').sendAndWait(write)).result.kind, 'completed');
	cluster.stop();
});

test.serial('a gateway whose entry VM can no longer be heard ends the transaction after its idle time', async t => {
	const {cluster, entry, gateway, caller} = await startScene();
	await caller.sendAndWait(begin);
	await caller.sendAndWait(write);
	cluster.network.cutDirections.add(`${entry} ${gateway}`);
	await cluster.time.advance(4200);
	t.deepEqual([...cluster.database.primary.connections].filter(connection => connection.isInTransaction), []);
	const answer = await caller.sendAndWait(commit);
	t.is(describeAnswer(answer), 'transaction-lost');
	cluster.stop();
});

test.serial('a draining gateway finishes open transactions, and rolls them back at half of the grace period', async t => {
	const {cluster, entry, gateway, account, caller} = await startScene();
	const late = cluster.openSession(entry, 'strict', account);
	for (const session of [caller, late]) {
		await session.sendAndWait(begin);
		await session.sendAndWait(write);
	}

	const drained = cluster.getGateway(gateway).gateway.drain({graceMs: 4000, rotationMs: 1000});
	await cluster.time.advance(500);
	t.is((await caller.sendAndWait(commit)).result.kind, 'completed');
	await cluster.time.advance(2000);
	const commits = cluster.database.events.filter(({kind}) => kind === 'commit').length;
	t.is(describeAnswer(await late.sendAndWait(commit)), 'transaction-lost');
	t.is(cluster.database.events.filter(({kind}) => kind === 'commit').length, commits);
	await cluster.time.waitFor(drained);
	cluster.stop();
});

for (const entryBuild of ['the present build', 'a former build'] as const) {
	// Guards against a COMMIT with a position before it, which an instance may refuse: an entry VM stated the position of the transaction with each of its statements, and the gateway passed it on.
	test.serial(`only the beginning of a forwarded read-only transaction requires a position, with an entry VM of ${entryBuild}`, async t => {
		const {cluster, entry, account} = await startScene('own');
		const {database, network} = cluster;
		const stated = new Set<string>();
		let position: LogPosition | undefined;
		network.convertMessage = (from, _to, message) => {
			if (from !== entry || message.kind !== 'forward') {
				return message;
			}

			position = message.statement.kind === 'control-begin' ? message.requiredPosition : position;
			if (message.requiredPosition !== undefined) {
				stated.add(message.statement.kind);
			}

			return entryBuild === 'a former build' ? {...message, requiredPosition: position} : message;
		};

		const caller = cluster.openSession(entry, 'bounded', account);
		const countBefore = database.positionedStatements.length;
		for (let round = 0; round < 10; round++) {
			await caller.sendAndWait(beginRead);
			t.is((await caller.sendAndWait(read)).result.kind, 'completed');
			const answer = await caller.sendAndWait(commit);
			t.is(answer.result.kind, 'completed', describeAnswer(answer));
		}

		// A gateway of a former build passes on whatever it is told.
		t.deepEqual([...stated], ['control-begin']);
		t.deepEqual([...new Set(database.positionedStatements.slice(countBefore).map(({kind}) => kind))], ['control-begin']);
		t.true(cluster.getCount(entry, 'forwarded') >= 30);
		cluster.stop();
	});
}

test.serial('a read-only transaction runs on a replica through its gateway', async t => {
	const {cluster, entry, account} = await startScene('own');
	const caller = cluster.openSession(entry, 'bounded', account);
	await caller.sendAndWait(beginRead);
	t.is((await caller.sendAndWait(read)).result.kind, 'completed');
	t.is((await caller.sendAndWait(commit)).result.kind, 'completed');
	await cluster.time.advance(100);
	t.deepEqual(cluster.database.instances.flatMap(({connections}) => [...connections]).filter(connection => connection.isInTransaction), []);
	cluster.stop();
});
