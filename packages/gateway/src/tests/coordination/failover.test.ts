import test from 'ava';
import {type FakeInstance} from '../fakes/fake-database.js';
import {
	createConfiguration, describeAnswer, statements, TestCluster, type TestCaller,
} from '../fakes/test-cluster.js';

const {read, write} = statements;

/** Waits until the group has another primary; returns the time that it took, in milliseconds, `Infinity` on timeout. */
async function waitForPromotion(cluster: TestCluster, formerPrimary: FakeInstance, timeoutMs: number): Promise<number> {
	const startedAt = cluster.time.now();
	while (cluster.time.now() < startedAt + timeoutMs) {
		const row = cluster.getTermRow();
		if (row.phase === 'open' && row.primaryId !== formerPrimary.id) {
			return cluster.time.now() - startedAt;
		}

		await cluster.time.advance(10);
	}

	return Number.POSITIVE_INFINITY;
}

/** Sends one write through each session per round and counts the results by kind. */
async function sendWrites(cluster: TestCluster, callers: readonly TestCaller[], rounds: number): Promise<Map<string, number>> {
	const counts = new Map<string, number>();
	for (let round = 0; round < rounds; round++) {
		const answers = await cluster.time.waitFor(Promise.all(callers.map(async caller => caller.send(write))));
		for (const answer of answers) {
			const kind = answer.result.kind === 'completed' ? 'completed' : answer.result.refusal.kind;
			counts.set(kind, (counts.get(kind) ?? 0) + 1);
		}
	}

	return counts;
}

test.serial('a coordinator records the initial primary', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	t.deepEqual(cluster.getTermRow(), {
		term: 1, primaryId: 'db-1', phase: 'open', drainMs: 0,
	} as never);
	t.true(['vm1', 'vm2', 'vm3'].includes(cluster.getCoordinator()));
	cluster.stop();
});

test.serial('a crashed primary is replaced by the most advanced replica, within one second plus the promotion time', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const formerPrimary = cluster.database.primary;
	const callers = ['vm1', 'vm2', 'vm3'].map(vm => cluster.openSession(vm, 'strict'));
	await sendWrites(cluster, callers, 3);
	await cluster.time.advance(100);
	cluster.database.instances[1]!.position = {term: 1, offset: 1};
	formerPrimary.crash();
	const pendingWrites = callers.map(async caller => caller.send(write));
	const failoverMs = await waitForPromotion(cluster, formerPrimary, 5000);
	t.true(failoverMs <= 1000 + cluster.database.options.promoteMs, `${failoverMs} ms`);
	t.is(cluster.getTermRow().primaryId, 'db-3');
	await cluster.time.waitFor(Promise.all(pendingWrites));
	t.is((await sendWrites(cluster, callers, 1)).get('completed'), 3);
	cluster.stop();
});

test.serial('a primary is not replaced when only one VM loses its connection to it', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const callers = ['vm1', 'vm2', 'vm3'].map(vm => cluster.openSession(vm, 'strict'));
	await sendWrites(cluster, callers, 1);
	cluster.database.unreachablePairs.add(`${cluster.getCoordinator()} db-1`);
	for (let round = 0; round < 20; round++) {
		await sendWrites(cluster, callers, 1);
	}

	t.is(cluster.database.promotionRequests.length, 0);
	t.is(cluster.getTermRow().primaryId, 'db-1');
	cluster.stop();
});

test.serial('a planned change of primary lets pending writes complete and loses none', async t => {
	const cluster = new TestCluster();
	cluster.database.options.serviceMs = 60;
	await cluster.start();
	const callers = ['vm1', 'vm2', 'vm3'].flatMap(vm => [cluster.openSession(vm, 'strict'), cluster.openSession(vm, 'strict')]);
	cluster.store.instances = cluster.store.instances.map(instance => instance.id === 'db-1' ? {...instance, state: 'draining'} : instance);
	const counts = await sendWrites(cluster, callers, 40);
	t.not(cluster.getTermRow().primaryId, 'db-1');
	t.is(counts.get('outcome-unknown'), undefined);
	const acknowledged = counts.get('completed')!;
	t.is(cluster.database.primary.position.offset, acknowledged, 'every acknowledged write is in the successor\'s log');
	cluster.stop();
});

test.serial('an isolated VM stops using the former primary before its successor serves', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	const isolated = ['vm1', 'vm2', 'vm3'].find(vm => vm !== coordinator)!;
	const others = ['vm1', 'vm2', 'vm3'].filter(vm => vm !== isolated);
	const isolatedCaller = cluster.openSession(isolated, 'strict');
	const callers = others.map(vm => cluster.openSession(vm, 'strict'));
	await sendWrites(cluster, [isolatedCaller, ...callers], 2);
	// The isolated VM still reaches the former primary, but neither the store nor any other VM; the others do not reach that primary.
	cluster.network.isolatedVms.add(isolated);
	cluster.store.faultsByVm.set(isolated, 'silent');
	for (const vm of others) {
		cluster.database.unreachablePairs.add(`${vm} db-1`);
	}

	cluster.store.instances = cluster.store.instances.filter(instance => instance.id !== 'db-1');
	const formerPrimary = cluster.database.instances[0]!;
	let servedAfterPromotion = 0;
	for (let round = 0; round < 400; round++) {
		const pending = isolatedCaller.send(round % 2 === 0 ? read : write);
		const answer = await cluster.time.waitFor(pending);
		const hasSuccessor = cluster.getTermRow().primaryId !== formerPrimary.id && cluster.getTermRow().phase === 'open';
		if (hasSuccessor && answer.result.kind === 'completed') {
			servedAfterPromotion += 1;
		}

		await cluster.time.advance(10);
	}

	t.not(cluster.getTermRow().primaryId, formerPrimary.id);
	t.is(servedAfterPromotion, 0);
	t.is((await sendWrites(cluster, callers, 1)).get('completed'), 2);
	cluster.stop();
});

test.serial('a killed coordinator is succeeded by one with a higher fencing token, which completes the promotion', async t => {
	const cluster = new TestCluster();
	cluster.database.options.promoteMs = 300;
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	const others = ['vm1', 'vm2', 'vm3'].filter(vm => vm !== coordinator);
	const callers = others.map(vm => cluster.openSession(vm, 'strict'));
	await sendWrites(cluster, callers, 2);
	const formerPrimary = cluster.database.primary;
	formerPrimary.crash();
	const pendingWrites = callers.map(async caller => caller.send(write));
	while (cluster.getTermRow().phase === 'open') {
		await cluster.time.advance(5);
	}

	cluster.getGateway(coordinator).gateway.stop();
	cluster.network.isolatedVms.add(coordinator);
	cluster.store.faultsByVm.set(coordinator, 'silent');
	t.true(await waitForPromotion(cluster, formerPrimary, 12_000) < 12_000);
	await cluster.time.waitFor(Promise.all(pendingWrites));
	t.not(cluster.getCoordinator(), coordinator);
	const tokens = cluster.database.promotionRequests.map(request => request.fencingToken);
	t.deepEqual(tokens, tokens.toSorted((a, b) => a - b));
	t.is((await sendWrites(cluster, callers, 1)).get('completed'), 2);
	cluster.stop();
});

test.serial('statements complete during a store outage of four seconds', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const callers = ['vm1', 'vm2', 'vm3'].map(vm => cluster.openSession(vm, 'strict'));
	cluster.store.fault = 'silent';
	const startedAt = cluster.time.now();
	const counts = new Map<string, number>();
	while (cluster.time.now() < startedAt + 3900) {
		for (const [kind, count] of await sendWrites(cluster, callers, 1)) {
			counts.set(kind, (counts.get(kind) ?? 0) + count);
		}

		// Keeps the account within its rate limit.
		await cluster.time.advance(50);
	}

	t.deepEqual([...counts.keys()], ['completed']);
	cluster.store.fault = 'none';
	await cluster.time.advance(8000);
	t.is((await sendWrites(cluster, callers, 1)).get('completed'), 3);
	cluster.stop();
});

test.serial('a failover proceeds when responses of the store are lost, by reading the rows back', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const callers = ['vm1', 'vm2', 'vm3'].map(vm => cluster.openSession(vm, 'strict'));
	await sendWrites(cluster, callers, 1);
	cluster.store.fault = 'answers-lost';
	const formerPrimary = cluster.database.primary;
	formerPrimary.crash();
	const pendingWrites = callers.map(async caller => caller.send(write));
	t.true(await waitForPromotion(cluster, formerPrimary, 8000) < 8000);
	await cluster.time.waitFor(Promise.all(pendingWrites));
	cluster.store.fault = 'none';
	// The coordinator waits for the lost response until its timeout before it reads the rows back.
	await cluster.time.advance(1500);
	t.is((await sendWrites(cluster, callers, 1)).get('completed'), 3);
	t.is(new Set(cluster.database.promotionRequests.map(request => request.holder)).size, 1);
	cluster.stop();
});

test.serial('a jump of the wall clock ends leases early and fails no statement', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const callers = ['vm1', 'vm2', 'vm3'].map(vm => cluster.openSession(vm, 'strict'));
	for (const jumpMs of [2400, -2400, 3000, -3000]) {
		cluster.time.jumpWallTime(jumpMs);
		t.is((await sendWrites(cluster, callers, 1)).get('completed'), 3, `${jumpMs} ms`);
		await cluster.time.advance(1000);
	}

	cluster.stop();
});

test.serial('a VM that the store rejects from startup on gets all state from the other VMs', async t => {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	await cluster.start();
	cluster.store.faultsByVm.set('late', 'busy');
	await cluster.startVm('late');
	await cluster.time.advance(4000);
	t.is(describeAnswer(await cluster.openSession('late', 'strict').sendAndWait(write)), 'signed q1-1');
	t.is(cluster.getGateway('late').gateway.isReady, true);
	cluster.stop();
});

// Guards against a small VM that answers the token requests of all others too late: each VM then limits every account to an even share.
test.serial('a leaving coordinator hands over to the VM with the most capacity, whatever the order in which VMs accept', async t => {
	const cluster = new TestCluster(Array.from({length: 12}, (_, index) => `vm${index + 1}`));
	cluster.capacity = 0.05;
	cluster.capacities.set('vm1', 1).set('vm9', 1);
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	t.true(['vm1', 'vm9'].includes(coordinator));
	const draining = cluster.getGateway(coordinator).gateway.drain({graceMs: 6000, rotationMs: 2200});
	await cluster.time.advance(700);
	t.is(cluster.getCoordinator(), coordinator === 'vm1' ? 'vm9' : 'vm1');
	await cluster.time.waitFor(draining);
	const last = cluster.getGateway(cluster.getCoordinator()).gateway.drain({graceMs: 6000, rotationMs: 2200});
	await cluster.time.advance(1500);
	t.false(['vm1', 'vm9', ''].includes(cluster.getCoordinator()), 'a small VM takes over when no larger one is left');
	await cluster.time.waitFor(last);
	cluster.stop();
});

// Guards against a small VM that became the coordinator while the large ones were cut off or restarting, and serves all others over its narrow link from then on.
test.serial('a small coordinator leaves the role to a large VM that arrives later, and only once', async t => {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3', 'vm4']);
	cluster.capacity = 0.05;
	cluster.capacities.set('vm4', 1);
	cluster.network.isolatedVms.add('vm4');
	cluster.store.faultsByVm.set('vm4', 'silent');
	await cluster.start();
	const small = cluster.getCoordinator();
	t.not(small, 'vm4');
	await cluster.time.advance(4000);
	t.is(cluster.getCoordinator(), small);
	cluster.network.isolatedVms.delete('vm4');
	cluster.store.faultsByVm.delete('vm4');
	await cluster.time.advance(4000);
	t.is(cluster.getCoordinator(), 'vm4');
	await cluster.time.advance(5000);
	t.is(cluster.getCoordinator(), 'vm4');
	t.is(cluster.log.events.filter(({name}) => name === 'coordinator.handed-over').length, 1);
	t.true(describeAnswer(await cluster.openSession('vm1', 'strict').sendAndWait(statements.write)).startsWith('signed'));
	cluster.stop();
});

test.serial('a leaving coordinator hands over to another VM at once', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	const draining = cluster.getGateway(coordinator).gateway.drain({graceMs: 6000, rotationMs: 2200});
	await cluster.time.advance(300);
	t.not(cluster.getCoordinator(), coordinator);
	t.not(cluster.getCoordinator(), '');
	await cluster.time.waitFor(draining);
	t.false(cluster.store.rows.has(`vm/${coordinator}`));
	cluster.stop();
});

test.serial('a coordinator that the store rejects hands over to a VM that reaches the store, with only a short gap', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	const others = ['vm1', 'vm2', 'vm3'].filter(vm => vm !== coordinator);
	const callers = others.map(vm => cluster.openSession(vm, 'strict'));
	await sendWrites(cluster, callers, 1);
	cluster.store.faultsByVm.set(coordinator, 'busy');
	await cluster.time.advance(3500);
	const successor = cluster.getCoordinator();
	t.true(others.includes(successor));
	t.is((await sendWrites(cluster, callers, 1)).get('completed'), 2);
	const formerPrimary = cluster.database.primary;
	formerPrimary.crash();
	const pendingWrites = callers.map(async caller => caller.send(write));
	t.true(await waitForPromotion(cluster, formerPrimary, 4000) < 4000);
	await cluster.time.waitFor(Promise.all(pendingWrites));
	t.true(cluster.database.promotionRequests.every(request => request.holder === successor));
	cluster.stop();
});

test.serial('a coordinator does not hand over when no VM reaches the store', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	cluster.store.fault = 'busy';
	await cluster.time.advance(4000);
	cluster.store.fault = 'none';
	await cluster.time.advance(2000);
	t.is(cluster.getCoordinator(), coordinator);
	cluster.stop();
});

test.serial('a VM that cannot reach a primary that other VMs reach refuses at once, so that callers use those VMs', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const isolated = ['vm1', 'vm2', 'vm3'].find(vm => vm !== cluster.getCoordinator())!;
	const others = ['vm1', 'vm2', 'vm3'].filter(vm => vm !== isolated).map(vm => cluster.openSession(vm, 'strict'));
	const isolatedCaller = cluster.openSession(isolated, 'strict');
	await sendWrites(cluster, [isolatedCaller, ...others], 1);
	cluster.database.unreachablePairs.add(`${isolated} db-1`);
	let waitedMs = 0;
	for (let round = 0; round < 60; round++) {
		const startedAt = cluster.time.now();
		const pending = isolatedCaller.send(write);
		await cluster.time.waitFor(Promise.all(others.map(async caller => caller.send(write))));
		t.not(describeAnswer(await cluster.time.waitFor(pending)), 'completed');
		waitedMs = cluster.time.now() - startedAt;
		await cluster.time.advance(50);
	}

	t.true(waitedMs < 100, `${waitedMs} ms`);
	cluster.database.unreachablePairs.clear();
	await cluster.time.advance(500);
	await isolatedCaller.sendAndWait(write);
	await cluster.time.advance(2000);
	t.true(describeAnswer(await isolatedCaller.sendAndWait(write)).startsWith('signed'));
	cluster.stop();
});

test.serial('VMs that leave one after another never hand over to a leaving VM', async t => {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3', 'vm4']);
	await cluster.start();
	const coordinators = [cluster.getCoordinator()];
	for (let round = 0; round < 3; round++) {
		const leaving = cluster.getCoordinator();
		void cluster.getGateway(leaving).gateway.drain({graceMs: 6000, rotationMs: 2200});
		await cluster.time.advance(700);
		coordinators.push(cluster.getCoordinator());
	}

	t.is(new Set(coordinators).size, 4, coordinators.join(' '));
	cluster.stop();
});

test.serial('a coordinator that has not yet read the instances does not report an empty list', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	const caller = cluster.openSession(['vm1', 'vm2', 'vm3'].find(vm => vm !== coordinator)!, 'strict');
	await caller.sendAndWait(write);
	cluster.getGateway(coordinator).gateway.stop();
	// The restarted process acquires the lease at once, while the list of instances cannot be read.
	cluster.store.areInstancesReadable = false;
	await cluster.startVm(coordinator);
	await cluster.time.advance(2500);
	t.true(describeAnswer(await caller.sendAndWait(write)).startsWith('signed'));
	cluster.stop();
});

test.serial('VMs that reach neither a coordinator nor the store limit their request rate to both', async t => {
	const vms = Array.from({length: 12}, (_, index) => `vm${index + 1}`);
	const cluster = new TestCluster(vms);
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	cluster.getGateway(coordinator).gateway.stop();
	cluster.network.isolatedVms.add(coordinator);
	cluster.store.fault = 'busy';
	await cluster.time.advance(1500);
	const callNames = ['read_shared', 'read_instances', 'read_configuration', 'poll_configuration', 'write_shared'];
	const count = (vm: string) => callNames.map(name => cluster.getGateway(vm).metrics.getCount(`store_call_${name}`)).reduce((sum, one) => sum + one, 0);
	const others = vms.filter(vm => vm !== coordinator);
	const before = new Map(others.map(vm => [vm, count(vm)]));
	const sentBefore = cluster.network.sentMessages;
	await cluster.time.advance(4000);
	for (const vm of others) {
		// Shared rows every 800 ms; instances and configuration once per second on average.
		t.true(count(vm) - before.get(vm)! <= 20, `${vm}: ${count(vm) - before.get(vm)!} calls in 4 s`);
	}

	// One heartbeat every 400 ms and its response.
	const messagesPerSecond = (cluster.network.sentMessages - sentBefore) / others.length / 4;
	t.true(messagesPerSecond <= 7, `${messagesPerSecond} messages per second and VM`);
	cluster.stop();
});

test.serial('a VM that has read no term from the store refuses at once, with a retry delay', async t => {
	const cluster = new TestCluster(['vm1']);
	await cluster.start();
	cluster.getGateway('vm1').gateway.stop();
	const caller = cluster.openSession('vm1', 'strict');
	cluster.store.faultsByVm.set('vm1', 'silent');
	await cluster.time.advance(2500);
	const startedAt = cluster.time.now();
	const answer = await caller.sendAndWait(write);
	t.is(describeAnswer(answer), 'no-primary');
	t.true(cluster.time.now() - startedAt < 50, `${cluster.time.now() - startedAt} ms`);
	t.true(answer.result.kind === 'refused' && answer.result.refusal.retryAfterMs >= 400);
	cluster.stop();
});

test.serial('configuration versions in quick succession take few reads, and every VM applies the last one', async t => {
	const vms = Array.from({length: 8}, (_, index) => `vm${index + 1}`);
	const cluster = new TestCluster(vms);
	await cluster.start();
	const count = () => vms.map(vm => cluster.getGateway(vm).metrics.getCount('store_call_read_configuration')).reduce((sum, one) => sum + one, 0);
	const before = count();
	for (let version = 2; version <= 21; version++) {
		cluster.store.setConfiguration(createConfiguration(version));
		await cluster.time.advance(60);
	}

	await cluster.time.advance(1500);
	for (const vm of vms) {
		t.is(cluster.log.events.findLast(event => event.vm === vm && event.name === 'configuration.applied')!.fields.version, 21, vm);
	}

	// Without the minimum time between reads: 20 versions on 5 VMs that learn of them from the coordinator, 100 reads.
	t.true(count() - before <= 30, `${count() - before}`);
	cluster.stop();
});
