import test from 'ava';
import {countAllowedPerWindow} from '@chicorysaddle/decisions';
import {createConfiguration, TestCluster} from '../fakes/test-cluster.js';
import {
	countAcceptedPerWindow, countMaxOperationsPerWindow, createLimitedConfiguration, sendAtRate,
} from './limit-load.js';

test.serial('an account within its limit is never refused, whether its load is even or on a single VM', async t => {
	const cluster = new TestCluster();
	cluster.database.options.serviceMs = 1;
	await cluster.start(createLimitedConfiguration(40, 40));
	const even = await sendAtRate(cluster, () => ['vm1', 'vm2', 'vm3'], 30, 4000);
	const uneven = await sendAtRate(cluster, () => ['vm2'], 30, 4000);
	t.is(even.refused, 0);
	t.is(uneven.refused, 0);
	cluster.stop();
});

test.serial('an account at eight times its rate is served up to its limit across all VMs, and no more', async t => {
	const cluster = new TestCluster();
	cluster.database.options.serviceMs = 1;
	await cluster.start(createLimitedConfiguration(40, 40));
	const counts = await sendAtRate(cluster, () => ['vm1', 'vm2', 'vm3'], 320, 8000);
	const served = cluster.database.events.length;
	t.true(counts.refused > 0);
	t.true(served >= 40 * 8);
	t.true(countMaxOperationsPerWindow(cluster) <= countAcceptedPerWindow({ratePerS: 40, burst: 40}));
	cluster.stop();
});

test.serial('an isolated VM continues to admit operations locally, and the total stays within the limit', async t => {
	const cluster = new TestCluster();
	cluster.database.options.serviceMs = 1;
	await cluster.start(createLimitedConfiguration(40, 40));
	await sendAtRate(cluster, () => ['vm1', 'vm2', 'vm3'], 320, 4000);
	const isolatedVm = ['vm1', 'vm2', 'vm3'].find(vm => vm !== cluster.getCoordinator())!;
	cluster.network.isolatedVms.add(isolatedVm);
	const countsInIsolation = await sendAtRate(cluster, () => ['vm1', 'vm2', 'vm3'], 320, 6000);
	t.true(countsInIsolation.sent > countsInIsolation.refused);
	t.deepEqual(cluster.log.events.filter(({name}) => name === 'limits.local').map(({vm}) => vm), [isolatedVm]);
	t.true(countMaxOperationsPerWindow(cluster) <= countAcceptedPerWindow({ratePerS: 40, burst: 40}), `${countMaxOperationsPerWindow(cluster)}`);
	cluster.stop();
});

test.serial('killing the coordinator while an account sends at eight times its rate does not lift the limit', async t => {
	const cluster = new TestCluster();
	cluster.database.options.serviceMs = 1;
	await cluster.start(createLimitedConfiguration(40, 40));
	await sendAtRate(cluster, () => ['vm1', 'vm2', 'vm3'], 320, 3000);
	const coordinator = cluster.getCoordinator();
	cluster.getGateway(coordinator).gateway.stop();
	cluster.network.isolatedVms.add(coordinator);
	cluster.store.faultsByVm.set(coordinator, 'silent');
	const others = ['vm1', 'vm2', 'vm3'].filter(vm => vm !== coordinator);
	await sendAtRate(cluster, () => others, 320, 12_000);
	t.not(cluster.getCoordinator(), coordinator);
	t.true(countMaxOperationsPerWindow(cluster) <= countAcceptedPerWindow({ratePerS: 40, burst: 40}), `${countMaxOperationsPerWindow(cluster)}`);
	cluster.stop();
});

test.serial('an isolated VM logs the loss of the coordinator and of its term lease once, and their recovery', async t => {
	const cluster = new TestCluster();
	await cluster.start(createLimitedConfiguration(40, 40));
	const isolatedVm = ['vm1', 'vm2', 'vm3'].find(vm => vm !== cluster.getCoordinator())!;
	cluster.network.isolatedVms.add(isolatedVm);
	cluster.store.faultsByVm.set(isolatedVm, 'silent');
	await sendAtRate(cluster, () => [isolatedVm], 20, 4000);
	cluster.network.isolatedVms.delete(isolatedVm);
	cluster.store.faultsByVm.delete(isolatedVm);
	await sendAtRate(cluster, () => [isolatedVm], 20, 4000);
	const names = cluster.log.events.filter(({vm}) => vm === isolatedVm).map(({name}) => name);
	for (const name of ['term-lease.lost', 'limits.local', 'limits.shared']) {
		t.is(names.filter(other => other === name).length, 1, name);
	}

	t.true(names.lastIndexOf('term-lease.taken') > names.indexOf('term-lease.lost'));
	cluster.stop();
});

test.serial('restarting all VMs while an account exceeds its limit does not grant the limit a second time', async t => {
	const vms = Array.from({length: 7}, (_, index) => `vm${index + 1}`);
	const cluster = new TestCluster(vms);
	cluster.database.options.serviceMs = 1;
	await cluster.start(createLimitedConfiguration(40, 40));
	await sendAtRate(cluster, () => vms, 320, 6500);
	for (const {gateway} of cluster.gateways.values()) {
		gateway.stop();
	}

	// The coordinator stays down, so for several seconds no VM distributes the limit.
	const others = vms.filter(vm => vm !== cluster.getCoordinator());
	await cluster.time.advance(100);
	for (const vm of others) {
		await cluster.startVm(vm);
	}

	await cluster.time.advance(150);
	await sendAtRate(cluster, () => others, 320, 3000);
	t.true(countMaxOperationsPerWindow(cluster) <= countAcceptedPerWindow({ratePerS: 40, burst: 40}), `${countMaxOperationsPerWindow(cluster)}`);
	t.true(cluster.database.events.length > 300, 'the account is served before and after the restart');
	cluster.stop();
});

// Guards against names that are lost from objects that serve as maps, or found in those that lack them.
for (const name of ['__proto__', 'constructor', 'toString']) {
	test.serial(`an account gets its limit, and not more, if its name is ${name}`, async t => {
		const cluster = new TestCluster();
		cluster.database.options.serviceMs = 1;
		const {accounts} = createLimitedConfiguration(40, 40);
		await cluster.start(createConfiguration(1, {accounts: [{...accounts[0]!, name}]}));
		const {sent, refused} = await sendAtRate(cluster, () => ['vm1', 'vm2', 'vm3'], 200, 12_000);
		cluster.stop();
		const limit = {ratePerS: 40, burst: 40};
		t.true(countMaxOperationsPerWindow(cluster) <= countAcceptedPerWindow(limit), `${countMaxOperationsPerWindow(cluster)} in a window`);
		t.true(sent - refused >= countAllowedPerWindow(limit, 5000) * 2, `${sent - refused} of ${sent}`);
		t.is(['vm1', 'vm2', 'vm3'].reduce((sum, vm) => sum + cluster.getGateway(vm).metrics.getCount('limit_admitted_locally'), 0), 0);
	});
}
