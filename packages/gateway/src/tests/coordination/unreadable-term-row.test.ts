import test, {type ExecutionContext} from 'ava';
import {type FakeInstance} from '../fakes/fake-database.js';
import {createConfiguration, TestCluster} from '../fakes/test-cluster.js';
import {isServed, writeUntil} from './write-load.js';

const vms = ['vm1', 'vm2', 'vm3'];

/** Time within which callers are served again after a failure beside an unreadable row, in milliseconds: the registration of instances, the term leases and a promotion. */
const maxRecoveryMs = 8000;

async function startCluster(t: ExecutionContext, groups: readonly string[] = ['db']): Promise<TestCluster> {
	const cluster = new TestCluster(vms, {groups});
	t.teardown(() => {
		cluster.stop();
	});
	await cluster.start(createConfiguration(1, {groups: groups.map(name => ({name, maxConnections: 30}))}));
	return cluster;
}

async function restartVms(cluster: TestCluster): Promise<void> {
	for (const vm of vms) {
		cluster.killVm(vm);
	}

	for (const vm of vms) {
		await cluster.startVm(vm);
	}

	while (!vms.every(vm => cluster.getGateway(vm).gateway.isReady)) {
		await cluster.time.advance(20);
	}
}

function openSessions(cluster: TestCluster) {
	return vms.map(vm => cluster.openSession(vm, 'strict'));
}

function countCommits(cluster: TestCluster, {id}: FakeInstance, term: number, from: number): number {
	return cluster.database.events.filter(({kind, at, instanceId, position}) => kind === 'commit' && instanceId === id && position.term === term && at > from).length;
}

// Guards against a primary that is never replaced, because each write of its group's row requires a version that the row does not have.
for (const value of ['', 'no JSON', '{}', '{"term":1e300,"primaryId":"i-1","phase":"open","drainMs":0}']) {
	test.serial(`a primary is replaced although its group's row was overwritten with ${JSON.stringify(value)}`, async t => {
		const cluster = await startCluster(t);
		cluster.store.putRow('group/db', value);
		const callers = openSessions(cluster);
		t.true(await isServed(cluster, callers, 1000));
		cluster.database.primary.crash();
		t.true(await isServed(cluster, callers, maxRecoveryMs));
		t.like(cluster.getTermRow(), {primaryId: cluster.database.primary.id, phase: 'open'});
	});
}

// Guards against a row that can never be written, and against a group without a primary that counts as a new one, whose instances elect the first.
for (const isPrimaryAlive of [true, false]) {
	test.serial(`VMs that all start again beside an unreadable row of a group find its primary${isPrimaryAlive ? '' : ', or replace one that is gone'}`, async t => {
		const cluster = await startCluster(t);
		const former = cluster.database.primary;
		cluster.store.putRow('group/db', 'no JSON');
		if (!isPrimaryAlive) {
			former.crash();
		}

		await restartVms(cluster);
		t.true(await isServed(cluster, openSessions(cluster), maxRecoveryMs + 10_000));
		t.is(cluster.getTermRow().phase, 'open');
		t.is(cluster.getTermRow().primaryId === former.id, isPrimaryAlive);
		t.is(cluster.database.promotions.length, isPrimaryAlive ? 0 : 1);
	});
}

// Guards against writes to a former primary that answers while its successor, of which no record is left, does not.
test.serial('a group whose row is unreadable is not opened with a primary before every instance has answered', async t => {
	const cluster = await startCluster(t);
	const {database} = cluster;
	const former = database.primary;
	former.isDark = true;
	const callers = openSessions(cluster);
	await writeUntil(cluster, callers, 6000, () => database.promotions.length > 0);
	await writeUntil(cluster, callers, 500, () => false);
	const successor = database.primary;
	t.not(successor.id, former.id);
	cluster.store.putRow('group/db', 'no JSON');
	former.isDark = false;
	successor.isDark = true;
	const from = cluster.time.now();
	await restartVms(cluster);
	t.true(await isServed(cluster, openSessions(cluster), maxRecoveryMs + 10_000));
	successor.isDark = false;
	await writeUntil(cluster, openSessions(cluster), 3000, () => false);
	t.is(countCommits(cluster, former, 1, from), 0, 'commits of the former primary in its former term');
});

// Guards against a VM that goes on with the primary it knows, while the row that it reads may name another.
test.serial('a VM that reads an unreadable row newer than the term it knows stops using the primary', async t => {
	const cluster = await startCluster(t);
	const vm = vms.find(name => name !== cluster.getCoordinator())!;
	const {terms} = cluster.getGateway(vm);
	cluster.network.isolatedVms.add(vm);
	await cluster.time.advance(3000);
	t.is(terms.getUsablePrimary('db'), cluster.database.primary.id);
	cluster.store.putRow('group/db', 'no JSON');
	await cluster.time.advance(1500);
	t.is(terms.getUsablePrimary('db'), undefined);
	cluster.network.isolatedVms.delete(vm);
	cluster.database.primary.crash();
	t.true(await isServed(cluster, openSessions(cluster), maxRecoveryMs));
	t.true(await isServed(cluster, [cluster.openSession(vm, 'strict')], 2000));
});

// Guards against terms that are never written again after a restore, since one row beside them can't be read.
test.serial('after the store returned from an older copy, all terms are written again although one row is unreadable', async t => {
	const cluster = await startCluster(t, ['db', 'other']);
	const copy = cluster.store.takeCopy();
	await cluster.time.advance(500);
	cluster.store.restore(copy);
	cluster.store.putRow('group/db', 'no JSON');
	await cluster.time.advance(3000);
	for (const group of ['db', 'other']) {
		t.like(JSON.parse(cluster.store.rows.get(`group/${group}`)!.value), {era: 1, phase: 'open'});
	}

	t.true(await isServed(cluster, openSessions(cluster), 2000));
});
