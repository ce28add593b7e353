import test from 'ava';
import {type FakeInstance} from '../fakes/fake-database.js';
import {
	createConfiguration, describeAnswer, statements, TestCluster, type TestCaller,
} from '../fakes/test-cluster.js';

const {read, write} = statements;

/** Waits until a group is led by another instance. */
async function waitForPromotion(cluster: TestCluster, former: FakeInstance, atMostMs: number): Promise<number> {
	const startedAt = cluster.time.now();
	while (cluster.time.now() < startedAt + atMostMs) {
		const row = cluster.getTermRow();
		if (row.phase === 'open' && row.primaryId !== former.id) {
			return cluster.time.now() - startedAt;
		}

		await cluster.time.advance(10);
	}

	return Number.POSITIVE_INFINITY;
}

/** Sends writes through sessions one after another and counts how each ended. */
async function writeEverywhere(cluster: TestCluster, callers: readonly TestCaller[], rounds: number): Promise<Map<string, number>> {
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

test.serial('the first primary is recorded, by one coordinator', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	t.deepEqual(cluster.getTermRow(), {
		term: 1, primaryId: 'db-1', phase: 'open', drainMs: 0,
	} as never);
	t.true(['vm1', 'vm2', 'vm3'].includes(cluster.getCoordinator()));
	cluster.stop();
});

test.serial('a primary that crashed is replaced by the most advanced replica, within a second and its promotion', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const former = cluster.database.primary;
	const callers = ['vm1', 'vm2', 'vm3'].map(vm => cluster.openSession(vm, 'strict'));
	await writeEverywhere(cluster, callers, 3);
	await cluster.time.advance(100);
	cluster.database.instances[1]!.position = {term: 1, offset: 1};
	former.crash();
	const sent = callers.map(async caller => caller.send(write));
	const gapMs = await waitForPromotion(cluster, former, 5000);
	t.true(gapMs <= 1000 + cluster.database.options.promoteMs, `${gapMs} ms`);
	t.is(cluster.getTermRow().primaryId, 'db-3');
	await cluster.time.waitFor(Promise.all(sent));
	t.is((await writeEverywhere(cluster, callers, 1)).get('completed'), 3);
	cluster.stop();
});

test.serial('a VM that is cut from the primary alone does not have it replaced', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const callers = ['vm1', 'vm2', 'vm3'].map(vm => cluster.openSession(vm, 'strict'));
	await writeEverywhere(cluster, callers, 1);
	cluster.database.unreachablePairs.add(`${cluster.getCoordinator()} db-1`);
	for (let round = 0; round < 20; round++) {
		await writeEverywhere(cluster, callers, 1);
	}

	t.is(cluster.database.promotionRequests.length, 0);
	t.is(cluster.getTermRow().primaryId, 'db-1');
	cluster.stop();
});

test.serial('a planned change of primary lets writes that are under way end, and loses none', async t => {
	const cluster = new TestCluster();
	cluster.database.options.serviceMs = 60;
	await cluster.start();
	const callers = ['vm1', 'vm2', 'vm3'].flatMap(vm => [cluster.openSession(vm, 'strict'), cluster.openSession(vm, 'strict')]);
	cluster.store.instances = cluster.store.instances.map(instance => instance.id === 'db-1' ? {...instance, state: 'draining'} : instance);
	const counts = await writeEverywhere(cluster, callers, 40);
	t.not(cluster.getTermRow().primaryId, 'db-1');
	t.is(counts.get('outcome-unknown'), undefined);
	const acknowledged = counts.get('completed')!;
	t.is(cluster.database.primary.position.offset, acknowledged, 'every acknowledged write is in the successor\'s log');
	cluster.stop();
});

test.serial('a VM that is cut off stops using the old primary before its successor serves', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	const lost = ['vm1', 'vm2', 'vm3'].find(vm => vm !== coordinator)!;
	const others = ['vm1', 'vm2', 'vm3'].filter(vm => vm !== lost);
	const stranded = cluster.openSession(lost, 'strict');
	const callers = others.map(vm => cluster.openSession(vm, 'strict'));
	await writeEverywhere(cluster, [stranded, ...callers], 2);
	// Only the lost VM still reaches the old primary, and neither the store nor any other VM.
	cluster.network.isolatedVms.add(lost);
	cluster.store.faultsByVm.set(lost, 'silent');
	for (const vm of others) {
		cluster.database.unreachablePairs.add(`${vm} db-1`);
	}

	cluster.store.instances = cluster.store.instances.filter(instance => instance.id !== 'db-1');
	const former = cluster.database.instances[0]!;
	let servedAfter = 0;
	for (let round = 0; round < 400; round++) {
		const pending = stranded.send(round % 2 === 0 ? read : write);
		const answer = await cluster.time.waitFor(pending);
		const hasSuccessor = cluster.getTermRow().primaryId !== former.id && cluster.getTermRow().phase === 'open';
		if (hasSuccessor && answer.result.kind === 'completed') {
			servedAfter += 1;
		}

		await cluster.time.advance(10);
	}

	t.not(cluster.getTermRow().primaryId, former.id);
	t.is(servedAfter, 0);
	t.is((await writeEverywhere(cluster, callers, 1)).get('completed'), 2);
	cluster.stop();
});

test.serial('a coordinator that is killed is followed by another with a higher token, which finishes what it began', async t => {
	const cluster = new TestCluster();
	cluster.database.options.promoteMs = 300;
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	const others = ['vm1', 'vm2', 'vm3'].filter(vm => vm !== coordinator);
	const callers = others.map(vm => cluster.openSession(vm, 'strict'));
	await writeEverywhere(cluster, callers, 2);
	const former = cluster.database.primary;
	former.crash();
	const sent = callers.map(async caller => caller.send(write));
	while (cluster.getTermRow().phase === 'open') {
		await cluster.time.advance(5);
	}

	cluster.getGateway(coordinator).gateway.stop();
	cluster.network.isolatedVms.add(coordinator);
	cluster.store.faultsByVm.set(coordinator, 'silent');
	t.true(await waitForPromotion(cluster, former, 12_000) < 12_000);
	await cluster.time.waitFor(Promise.all(sent));
	t.not(cluster.getCoordinator(), coordinator);
	const tokens = cluster.database.promotionRequests.map(order => order.fencingToken);
	t.deepEqual(tokens, tokens.toSorted((a, b) => a - b));
	t.is((await writeEverywhere(cluster, callers, 1)).get('completed'), 2);
	cluster.stop();
});

test.serial('a store that is away for four seconds stops nobody', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const callers = ['vm1', 'vm2', 'vm3'].map(vm => cluster.openSession(vm, 'strict'));
	cluster.store.fault = 'silent';
	const startedAt = cluster.time.now();
	const counts = new Map<string, number>();
	while (cluster.time.now() < startedAt + 3900) {
		for (const [kind, count] of await writeEverywhere(cluster, callers, 1)) {
			counts.set(kind, (counts.get(kind) ?? 0) + count);
		}

		// The account stays within its rate.
		await cluster.time.advance(50);
	}

	t.deepEqual([...counts.keys()], ['completed']);
	cluster.store.fault = 'none';
	await cluster.time.advance(8000);
	t.is((await writeEverywhere(cluster, callers, 1)).get('completed'), 3);
	cluster.stop();
});

test.serial('lost answers of the store are settled by reading back: a failover goes on', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const callers = ['vm1', 'vm2', 'vm3'].map(vm => cluster.openSession(vm, 'strict'));
	await writeEverywhere(cluster, callers, 1);
	cluster.store.fault = 'answers-lost';
	const former = cluster.database.primary;
	former.crash();
	const sent = callers.map(async caller => caller.send(write));
	t.true(await waitForPromotion(cluster, former, 8000) < 8000);
	await cluster.time.waitFor(Promise.all(sent));
	cluster.store.fault = 'none';
	// The coordinator waits for the lost answer before it reads back.
	await cluster.time.advance(1500);
	t.is((await writeEverywhere(cluster, callers, 1)).get('completed'), 3);
	t.is(new Set(cluster.database.promotionRequests.map(order => order.holder)).size, 1);
	cluster.stop();
});

test.serial('a jump of the time of day ends leases early and costs no statement', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const callers = ['vm1', 'vm2', 'vm3'].map(vm => cluster.openSession(vm, 'strict'));
	for (const jumpMs of [2400, -2400, 3000, -3000]) {
		cluster.time.jumpWallTime(jumpMs);
		t.is((await writeEverywhere(cluster, callers, 1)).get('completed'), 3, `${jumpMs} ms`);
		await cluster.time.advance(1000);
	}

	cluster.stop();
});

test.serial('a VM that the store turns away from its start learns everything from the others', async t => {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	await cluster.start();
	cluster.store.faultsByVm.set('late', 'busy');
	await cluster.startVm('late');
	await cluster.time.advance(4000);
	t.is(describeAnswer(await cluster.openSession('late', 'strict').sendAndWait(write)), 'signed q1-1');
	t.is(cluster.getGateway('late').gateway.isReady, true);
	cluster.stop();
});

test.serial('a VM that leaves hands the coordination to another at once', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	const drained = cluster.getGateway(coordinator).gateway.drain({graceMs: 6000, rotationMs: 2200});
	await cluster.time.advance(300);
	t.not(cluster.getCoordinator(), coordinator);
	t.not(cluster.getCoordinator(), '');
	await cluster.time.waitFor(drained);
	t.false(cluster.store.rows.has(`vm/${coordinator}`));
	cluster.stop();
});

test.serial('a coordinator that the store turns away hands over to a VM that reaches it, and nobody is without one for long', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	const others = ['vm1', 'vm2', 'vm3'].filter(vm => vm !== coordinator);
	const callers = others.map(vm => cluster.openSession(vm, 'strict'));
	await writeEverywhere(cluster, callers, 1);
	cluster.store.faultsByVm.set(coordinator, 'busy');
	await cluster.time.advance(3500);
	const successor = cluster.getCoordinator();
	t.true(others.includes(successor));
	t.is((await writeEverywhere(cluster, callers, 1)).get('completed'), 2);
	const former = cluster.database.primary;
	former.crash();
	const sent = callers.map(async caller => caller.send(write));
	t.true(await waitForPromotion(cluster, former, 4000) < 4000);
	await cluster.time.waitFor(Promise.all(sent));
	t.true(cluster.database.promotionRequests.every(order => order.holder === successor));
	cluster.stop();
});

test.serial('a store that is away for all is no reason to hand over', async t => {
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

test.serial('a VM that cannot reach a primary which others reach refuses at once, so that callers go there', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const lost = ['vm1', 'vm2', 'vm3'].find(vm => vm !== cluster.getCoordinator())!;
	const others = ['vm1', 'vm2', 'vm3'].filter(vm => vm !== lost).map(vm => cluster.openSession(vm, 'strict'));
	const stranded = cluster.openSession(lost, 'strict');
	await writeEverywhere(cluster, [stranded, ...others], 1);
	cluster.database.unreachablePairs.add(`${lost} db-1`);
	let waitedMs = 0;
	for (let round = 0; round < 60; round++) {
		const startedAt = cluster.time.now();
		const pending = stranded.send(write);
		await cluster.time.waitFor(Promise.all(others.map(async caller => caller.send(write))));
		t.not(describeAnswer(await cluster.time.waitFor(pending)), 'completed');
		waitedMs = cluster.time.now() - startedAt;
		await cluster.time.advance(50);
	}

	t.true(waitedMs < 100, `${waitedMs} ms`);
	cluster.database.unreachablePairs.clear();
	await cluster.time.advance(500);
	await stranded.sendAndWait(write);
	await cluster.time.advance(2000);
	t.true(describeAnswer(await stranded.sendAndWait(write)).startsWith('signed'));
	cluster.stop();
});

test.serial('VMs that leave one after the other never hand over to one that leaves, and tokens only rise', async t => {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3', 'vm4']);
	await cluster.start();
	const order = [cluster.getCoordinator()];
	for (let round = 0; round < 3; round++) {
		const leaving = cluster.getCoordinator();
		void cluster.getGateway(leaving).gateway.drain({graceMs: 6000, rotationMs: 2200});
		await cluster.time.advance(700);
		order.push(cluster.getCoordinator());
	}

	t.is(new Set(order).size, 4, order.join(' '));
	cluster.stop();
});

test.serial('a coordinator that has not read the instances yet does not tell the others that there are none', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	const caller = cluster.openSession(['vm1', 'vm2', 'vm3'].find(vm => vm !== coordinator)!, 'strict');
	await caller.sendAndWait(write);
	cluster.getGateway(coordinator).gateway.stop();
	// Its successor process takes the duty at once, while the list of instances cannot be read.
	cluster.store.areInstancesReadable = false;
	await cluster.startVm(coordinator);
	await cluster.time.advance(2500);
	t.true(describeAnswer(await caller.sendAndWait(write)).startsWith('signed'));
	cluster.stop();
});

test.serial('VMs without a coordinator and a store ask both at a bounded pace', async t => {
	const vms = Array.from({length: 12}, (_, index) => `vm${index + 1}`);
	const cluster = new TestCluster(vms);
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	cluster.getGateway(coordinator).gateway.stop();
	cluster.network.isolatedVms.add(coordinator);
	cluster.store.fault = 'busy';
	await cluster.time.advance(1500);
	const names = ['read_shared', 'read_instances', 'read_configuration', 'poll_configuration', 'write_shared'];
	const count = (vm: string) => names.map(name => cluster.getGateway(vm).metrics.getCount(`store_call_${name}`)).reduce((sum, one) => sum + one, 0);
	const others = vms.filter(vm => vm !== coordinator);
	const before = new Map(others.map(vm => [vm, count(vm)]));
	const sentBefore = cluster.network.sentMessages;
	await cluster.time.advance(4000);
	for (const vm of others) {
		// Shared rows every 800 ms, instances and configuration once a second in the long run.
		t.true(count(vm) - before.get(vm)! <= 20, `${vm}: ${count(vm) - before.get(vm)!} calls in 4 s`);
	}

	// A heartbeat every 400 ms, and its answer.
	const sent = (cluster.network.sentMessages - sentBefore) / others.length / 4;
	t.true(sent <= 7, `${sent} messages a second a VM`);
	cluster.stop();
});

test.serial('a VM that the store has not told of any term refuses at once, with a time to come back', async t => {
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

test.serial('versions of the configuration in quick succession are read as few, and the last one comes into force everywhere', async t => {
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

	// 20 versions, 5 VMs that are told by the coordinator: 100 readings without a pause between them.
	t.true(count() - before <= 30, `${count() - before}`);
	cluster.stop();
});
