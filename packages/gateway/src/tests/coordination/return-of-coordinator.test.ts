import test from 'ava';
import {createConfiguration, statements, TestCluster} from '../fakes/test-cluster.js';

const {read} = statements;
const vms = ['vm1', 'vm2', 'vm3', 'vm4', 'vm5'];

/** Time after a coordinator's return within which every VM has to get tokens from it, in milliseconds: a few exchanges, less than an interval of heartbeats. */
const maxReunionMs = 200;

/** Advances time until a condition holds, while every VM has operations to admit; returns the time that passed, in milliseconds. */
async function advanceUnderLoad(cluster: TestCluster, running: readonly string[], isReached: () => boolean): Promise<number> {
	const startedAt = cluster.time.now();
	while (!isReached() && cluster.time.now() - startedAt < 10_000) {
		for (const vm of running) {
			const caller = cluster.openSession(vm, 'bounded');
			if (caller.rejection === undefined) {
				void caller.send(read);
			}
		}

		await cluster.time.advance(20);
	}

	return cluster.time.now() - startedAt;
}

test.serial('after a restart of all VMs the coordinator\'s VM takes its lease at once, however little capacity it has, and the others use it at once', async t => {
	const cluster = new TestCluster(vms);
	cluster.capacity = 0.1;
	await cluster.start(createConfiguration(1));
	const last = cluster.getCoordinator();
	for (const {gateway} of cluster.gateways.values()) {
		gateway.stop();
	}

	cluster.network.listeners.clear();
	const others = vms.filter(vm => vm !== last);
	for (const vm of others) {
		await cluster.startVm(vm);
	}

	await advanceUnderLoad(cluster, others, () => cluster.log.events.filter(({name}) => name === 'limits.local').length >= others.length);
	cluster.log.events.length = 0;
	await cluster.startVm(last);
	const has = (name: string, count: number) => cluster.log.events.filter(event => event.name === name).length >= count;
	t.true(await advanceUnderLoad(cluster, others, () => has('coordinator.taken', 1)) <= 200);
	t.is(cluster.getCoordinator(), last);
	t.true(await advanceUnderLoad(cluster, others, () => has('limits.shared', others.length)) <= maxReunionMs);
	cluster.stop();
});
