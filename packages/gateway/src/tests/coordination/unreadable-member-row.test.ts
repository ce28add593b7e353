import test, {type ExecutionContext} from 'ava';
import {TestCluster} from '../fakes/test-cluster.js';
import {isServed} from './write-load.js';

/** Time for which a silent VM stays registered, with the interval of the checks, in milliseconds. */
const maxRegisteredMs = 26_000;

/** Time within which the coordinator registers a connected VM, in milliseconds: an interval of its checks. */
const maxRegistrationMs = 7000;

/** Duration of a term lease, in milliseconds. */
const termLeaseMs = 1500;

function createCluster(t: ExecutionContext, vms: readonly string[]): TestCluster {
	const cluster = new TestCluster(vms);
	t.teardown(() => {
		cluster.stop();
	});
	return cluster;
}

// Guards against a VM that never registers, so that it relies on no term and never becomes the coordinator.
for (const vms of [['vm1'], ['vm1', 'vm2', 'vm3']]) {
	test.serial(`${vms.length} of ${vms.length} VMs start although unreadable rows are under their names`, async t => {
		const cluster = createCluster(t, vms);
		for (const vm of vms) {
			cluster.store.putRow(`vm/${vm}`, 'no JSON');
		}

		await cluster.start();
		t.true(await isServed(cluster, vms.map(vm => cluster.openSession(vm, 'strict')), 3000));
		for (const vm of vms) {
			t.like(JSON.parse(cluster.store.rows.get(`vm/${vm}`)!.value), {address: `${vm}:1`});
		}
	});
}

// Guards against a VM whose row was overwritten later and that the coordinator never registers again.
test.serial('the coordinator registers a connected VM again whose row has become unreadable', async t => {
	const cluster = createCluster(t, ['vm1', 'vm2', 'vm3']);
	await cluster.start();
	const vm = ['vm1', 'vm2', 'vm3'].find(name => name !== cluster.getCoordinator())!;
	cluster.store.putRow(`vm/${vm}`, '{}');
	await cluster.time.advance(maxRegistrationMs);
	t.like(JSON.parse(cluster.store.rows.get(`vm/${vm}`)!.value), {address: `${vm}:1`});
});

// Guards against a primary that is replaced while a VM, of whose registration only the name can be read, may still use it.
test.serial('the closing of a term waits for the term lease of a VM whose row is unreadable, until the row is removed', async t => {
	const cluster = createCluster(t, ['vm1', 'vm2', 'vm3']);
	await cluster.start();
	cluster.store.putRow('vm/other', 'no JSON');
	const callers = ['vm1', 'vm2', 'vm3'].map(vm => cluster.openSession(vm, 'strict'));
	cluster.database.primary.crash();
	t.true(await isServed(cluster, callers, 8000));
	const ended = cluster.log.events.find(({name}) => name === 'promotion.ended')!;
	t.true(Number(ended.fields.closedMs) >= termLeaseMs, `closed after ${String(ended.fields.closedMs)} ms`);
	await cluster.time.advance(maxRegisteredMs);
	t.false(cluster.store.rows.has('vm/other'));
	t.true(cluster.log.events.some(({name, fields}) => name === 'member.removed' && fields.member === 'other'));
});
