import test from 'ava';
import {TestCluster} from '../fakes/test-cluster.js';

/** Jump of the time of day by which a lease counts as ended, in milliseconds. */
const jumpMs = 10_000;

// Guards against VMs that never serve, or keep an outdated list of instances, because the coordinator read the list while its lease did not count as held.
test.serial('a coordinator whose lease is interrupted by a jump of the time of day reports the instances that it read meanwhile', async t => {
	const vms = ['vm1', 'vm2', 'vm3'];
	const cluster = new TestCluster(vms);
	const {store, time} = cluster;
	store.areInstancesReadable = false;
	await cluster.start();
	const {gateway} = cluster.getGateway(cluster.getCoordinator());
	t.false(gateway.isReady);
	time.jumpWallTime(jumpMs);
	store.areInstancesReadable = true;
	for (let passedMs = 0; passedMs < 2000 && !gateway.isReady; passedMs += 5) {
		await time.advance(5);
	}

	t.true(gateway.isReady);
	time.jumpWallTime(-jumpMs);
	await time.advance(3000);
	t.deepEqual(vms.filter(vm => !cluster.getGateway(vm).gateway.isReady), []);
	t.is(cluster.log.events.filter(({name}) => name === 'coordinator.taken').length, 1);
	cluster.stop();
});
