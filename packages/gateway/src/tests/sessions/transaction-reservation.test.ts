import test from 'ava';
import {
	createConfiguration, describeAnswer, statements, TestCluster,
} from '../fakes/test-cluster.js';

const {write, begin, commit} = statements;

const handshakeMs = 12;

async function startCluster(maxConnections = 30): Promise<TestCluster> {
	const cluster = new TestCluster(['vm1']);
	cluster.database.options.handshakeMs = handshakeMs;
	await cluster.start(createConfiguration(1, {groups: [{name: 'db', maxConnections}]}));
	return cluster;
}

test.serial('the connection of a transaction is opened when it begins, so its first statement does not wait for the handshake', async t => {
	const cluster = await startCluster();
	const session = cluster.openSession('vm1', 'strict');
	await session.sendAndWait(begin);
	await cluster.time.advance(20);
	const sentAt = cluster.time.now();
	t.is(describeAnswer(await session.sendAndWait(write)), 'signed q1-2');
	t.true(cluster.time.now() - sentAt < handshakeMs + cluster.database.options.serviceMs);
	t.is(describeAnswer(await session.sendAndWait(commit)), 'signed q1-3');
	cluster.stop();
});

test.serial('a caller that begins a transaction and then rests does not keep the only connection from others', async t => {
	const cluster = await startCluster(1);
	const resting = cluster.openSession('vm1', 'strict');
	await resting.sendAndWait(begin);
	await cluster.time.advance(500);
	t.is(describeAnswer(await cluster.openSession('vm1', 'strict').sendAndWait(write)), 'signed q2-1');
	t.is(describeAnswer(await resting.sendAndWait(write)), 'signed q1-2');
	cluster.stop();
});

test.serial('a caller that leaves while its connection is being reserved leaves no transaction behind', async t => {
	const cluster = await startCluster(1);
	const leaving = cluster.openSession('vm1', 'strict');
	await leaving.sendAndWait(begin);
	leaving.disconnect();
	await cluster.time.advance(100);
	t.is(describeAnswer(await cluster.openSession('vm1', 'strict').sendAndWait(write)), 'signed q2-1');
	cluster.stop();
});

test.serial('a transaction whose reserved connection breaks before its first statement begins on another one', async t => {
	const cluster = await startCluster();
	const session = cluster.openSession('vm1', 'strict');
	await session.sendAndWait(begin);
	await cluster.time.advance(20);
	t.is(cluster.database.primary.connections.size, 1);
	for (const connection of cluster.database.primary.connections) {
		connection.close();
	}

	t.is(describeAnswer(await session.sendAndWait(write)), 'signed q1-2');
	t.is(describeAnswer(await session.sendAndWait(commit)), 'signed q1-3');
	cluster.stop();
});
