import test from 'ava';
import {
	createConfiguration, describeAnswer, statements, TestCluster,
} from '../fakes/test-cluster.js';

const {read, beginRead, write} = statements;
const vms = ['vm1', 'vm2', 'vm3'];

/** Longest time for which the bounds of the routes let reads be served by positions known before, in milliseconds. */
const maxStalenessMs = 2500;

/** Cuts a VM off from the store and from all other VMs; it still reaches the instances. */
function cutOff(cluster: TestCluster, vm: string): void {
	cluster.network.isolatedVms.add(vm);
	cluster.store.faultsByVm.set(vm, 'silent');
}

/** Sends a read every 100 ms and counts those that are served. */
async function countServedReads(cluster: TestCluster, vm: string, database: string, count: number): Promise<number> {
	let served = 0;
	for (let index = 0; index < count; index++) {
		const session = cluster.openSession(vm, database);
		const answer = await session.sendAndWait(read);
		served += answer.result.kind === 'completed' ? 1 : 0;
		session.disconnect();
		await cluster.time.advance(100);
	}

	return served;
}

// Answers the load of a store outage in which the coordinator is lost: two thirds of the requests are reads that a replica may serve.
test.serial('while the store is down and the coordinator lost, reads that a replica may serve are served, and writes refused at once', async t => {
	const cluster = new TestCluster(vms);
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	const others = vms.filter(vm => vm !== coordinator);
	const writer = cluster.openSession(others[0]!, 'own');
	await writer.sendAndWait(write);
	cluster.store.fault = 'busy';
	cluster.killVm(coordinator);
	await cluster.time.advance(1500 + maxStalenessMs);
	t.is(cluster.getGateway(others[0]!).terms.getLeaseRemainingMs(), 0);
	for (const vm of others) {
		t.is(await countServedReads(cluster, vm, 'bounded', 30), 30);
		t.is(await countServedReads(cluster, vm, 'own', 30), 30);
	}

	const startedAt = cluster.time.now();
	const statuses = cluster.database.arrivals.filter(({kind, at}) => kind === 'control-status' && at > startedAt - 6000);
	t.true(statuses.length <= 80, `${statuses.length} status requests of two VMs in 6 s`);
	for (const vm of others) {
		t.is(await countServedReads(cluster, vm, 'strict', 10), 10);
	}

	for (const database of ['bounded', 'own', 'strict']) {
		const transaction = cluster.openSession(others[1]!, database);
		await transaction.sendAndWait(beginRead);
		t.true(describeAnswer(await transaction.sendAndWait(read)).startsWith('signed'), database);
		transaction.disconnect();
	}

	t.true(describeAnswer(await writer.sendAndWait(read)).startsWith('signed'));
	const refusedAt = cluster.time.now();
	t.is(describeAnswer(await writer.sendAndWait(write)), 'no-primary');
	t.is(describeAnswer(await cluster.openSession(others[0]!, 'strict').sendAndWait(write)), 'no-primary');
	t.true(cluster.time.now() - refusedAt < 100);
	cluster.stop();
});

// Guards against reads of a VM that does not know that the other side of a partition has another primary.
test.serial('a VM that is cut off serves no read once another instance was promoted, whichever instances it still reaches', async t => {
	for (const unreachable of [[], ['db-1'], ['db-2', 'db-3'], ['db-3'], ['db-2']]) {
		const cluster = new TestCluster(vms);
		await cluster.start();
		const vm = vms.find(name => name !== cluster.getCoordinator())!;
		const others = vms.filter(name => name !== vm);
		cutOff(cluster, vm);
		for (const other of others) {
			cluster.database.unreachablePairs.add(`${other} db-1`);
		}

		for (const instance of unreachable) {
			cluster.database.unreachablePairs.add(`${vm} ${instance}`);
		}

		for (let passed = 0; passed < 8000; passed += 400) {
			// Without a statement no VM notices that the primary is gone.
			void cluster.openSession(others[passed % 800 === 0 ? 0 : 1]!, 'strict').send(write);
			await cluster.time.advance(400);
		}

		t.is(cluster.database.promotions.length, 1);
		const promotedAt = cluster.database.promotions[0]!.at;
		const writer = cluster.openSession(others[0]!, 'strict');
		t.true(describeAnswer(await writer.sendAndWait(write)).startsWith('signed'));
		await cluster.time.advance(maxStalenessMs);
		t.is(await countServedReads(cluster, vm, 'bounded', 10), 0, `without ${unreachable.join(', ')}`);
		t.is(await countServedReads(cluster, vm, 'own', 10), 0, `without ${unreachable.join(', ')}`);
		t.is(await countServedReads(cluster, vm, 'strict', 10), 0, `without ${unreachable.join(', ')}`);
		t.true(cluster.time.now() > promotedAt + maxStalenessMs);
		cluster.stop();
	}
});

test.serial('a VM whose coordinator answers asks no instance', async t => {
	const cluster = new TestCluster(vms);
	await cluster.start();
	const before = cluster.database.arrivals.filter(({kind}) => kind === 'control-status').length;
	t.is(await countServedReads(cluster, 'vm1', 'bounded', 30), 30);
	t.is(cluster.database.arrivals.filter(({kind}) => kind === 'control-status').length, before);
	cluster.stop();
});

// Guards against a survey that began before a read, and so before a commit that the read has to see.
test.serial('reads of a primary route on a VM that is cut off see every commit that was acknowledged before them, also while other VMs write', async t => {
	const cluster = new TestCluster(vms);
	cluster.database.options.lagMs = 60;
	await cluster.start(createConfiguration(1, {
		accounts: [{
			name: 'agency', keyDigests: ['large'], priority: 1, ratePerS: 10_000, burst: 10_000,
		}],
	}));
	const vm = vms.find(name => name !== cluster.getCoordinator())!;
	const other = vms.find(name => name !== vm)!;
	cutOff(cluster, vm);
	await cluster.time.advance(4500);
	let served = 0;
	for (let round = 0; round < 40; round++) {
		const writer = cluster.openSession(other, 'strict');
		const readers = [cluster.openSession(vm, 'strict'), cluster.openSession(vm, 'strict')];
		const early = readers[0]!.send(read);
		await writer.sendAndWait(write);
		const committed = cluster.database.events.findLast(({kind}) => kind === 'commit')!;
		const answer = await readers[1]!.sendAndWait(read);
		await cluster.time.waitFor(early);
		if (answer.result.kind === 'completed') {
			served += 1;
			const seen = cluster.database.events.findLast(({kind, requestId}) => kind === 'read' && requestId === readers[1]!.requestId)!;
			t.true(seen.position.offset >= committed.position.offset, `round ${round}: ${seen.position.offset} of ${committed.position.offset}`);
		}
	}

	t.true(served >= 36, `${served} of 40 served`);
	cluster.stop();
});
