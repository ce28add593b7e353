import test from 'ava';
import {createConfiguration, statements, TestCluster} from '../fakes/test-cluster.js';

const {read} = statements;

/** Sliding window of the limits, in milliseconds. */
const windowMs = 5000;

/** Maximum overage that deployments allow, as a fraction of the limit. */
const allowedOverage = 0.1;

/** Maximum number of operations that deployments allow beyond that overage. */
const allowedExtraOperations = 20;

/** Sends reads of one account at a constant rate, round-robin over VMs; counts the reads that were sent, and those refused as over the limit. */
async function sendAtRate(cluster: TestCluster, vms: readonly string[], ratePerS: number, durationMs: number): Promise<{sent: number; refused: number}> {
	const counts = {sent: 0, refused: 0};
	const pending = new Set<Promise<void>>();
	const sessions = new Map(vms.map(vm => [vm, [] as Array<ReturnType<TestCluster['openSession']>>]));
	const send = async (vm: string) => {
		const idleSessions = sessions.get(vm)!;
		const session = idleSessions.pop() ?? cluster.openSession(vm, 'strict');
		counts.sent += 1;
		const answer = await session.send(read);
		counts.refused += answer.result.kind === 'refused' && answer.result.refusal.kind === 'over-limit' ? 1 : 0;
		idleSessions.push(session);
	};

	const intervalMs = 1000 / ratePerS;
	let nextSendMs = 0;
	const startedAt = cluster.time.now();
	let index = 0;
	while (cluster.time.now() < startedAt + durationMs) {
		while (nextSendMs <= cluster.time.now() - startedAt) {
			const sent = send(vms[index % vms.length]!);
			pending.add(sent);
			index += 1;
			nextSendMs += intervalMs;
		}

		await cluster.time.advance(10);
	}

	await cluster.time.waitFor(Promise.all(pending));
	return counts;
}

/** Returns the maximum number of operations executed in any window. */
function countMaxOperationsPerWindow(cluster: TestCluster): number {
	const times = cluster.database.events.map(event => event.at).toSorted((a, b) => a - b);
	let maxCount = 0;
	for (let end = 0, start = 0; end < times.length; end++) {
		while (times[end]! - times[start]! >= windowMs) {
			start += 1;
		}

		maxCount = Math.max(maxCount, end - start + 1);
	}

	return maxCount;
}

function createLimitedConfiguration(ratePerS: number, burst: number) {
	return createConfiguration(1, {
		accounts: [{
			name: 'agency', keyDigests: ['large'], priority: 1, ratePerS, burst,
		}],
	});
}

test.serial('an account within its limit is never refused, whether its load is even or on a single VM', async t => {
	const cluster = new TestCluster();
	cluster.database.options.serviceMs = 1;
	await cluster.start(createLimitedConfiguration(40, 40));
	const even = await sendAtRate(cluster, ['vm1', 'vm2', 'vm3'], 30, 4000);
	const uneven = await sendAtRate(cluster, ['vm2'], 30, 4000);
	t.is(even.refused, 0);
	t.is(uneven.refused, 0);
	cluster.stop();
});

test.serial('an account at eight times its rate is served up to its limit across all VMs, and no more', async t => {
	const cluster = new TestCluster();
	cluster.database.options.serviceMs = 1;
	await cluster.start(createLimitedConfiguration(40, 40));
	const counts = await sendAtRate(cluster, ['vm1', 'vm2', 'vm3'], 320, 8000);
	const served = cluster.database.events.length;
	t.true(counts.refused > 0);
	t.true(served >= 40 * 8);
	t.true(countMaxOperationsPerWindow(cluster) <= (((40 * 5) + 40) * (1 + allowedOverage)) + allowedExtraOperations);
	cluster.stop();
});

test.serial('an isolated VM continues to admit operations locally, and the total stays within the limit', async t => {
	const cluster = new TestCluster();
	cluster.database.options.serviceMs = 1;
	await cluster.start(createLimitedConfiguration(40, 40));
	await sendAtRate(cluster, ['vm1', 'vm2', 'vm3'], 320, 4000);
	const isolatedVm = ['vm1', 'vm2', 'vm3'].find(vm => vm !== cluster.getCoordinator())!;
	cluster.network.isolatedVms.add(isolatedVm);
	const countsInIsolation = await sendAtRate(cluster, ['vm1', 'vm2', 'vm3'], 320, 6000);
	t.true(countsInIsolation.sent > countsInIsolation.refused);
	t.deepEqual(cluster.log.events.filter(({name}) => name === 'limits.local').map(({vm}) => vm), [isolatedVm]);
	t.true(countMaxOperationsPerWindow(cluster) <= (((40 * 5) + 40) * (1 + allowedOverage)) + allowedExtraOperations, `${countMaxOperationsPerWindow(cluster)}`);
	cluster.stop();
});

test.serial('killing the coordinator while an account sends at eight times its rate does not lift the limit', async t => {
	const cluster = new TestCluster();
	cluster.database.options.serviceMs = 1;
	await cluster.start(createLimitedConfiguration(40, 40));
	await sendAtRate(cluster, ['vm1', 'vm2', 'vm3'], 320, 3000);
	const coordinator = cluster.getCoordinator();
	cluster.getGateway(coordinator).gateway.stop();
	cluster.network.isolatedVms.add(coordinator);
	cluster.store.faultsByVm.set(coordinator, 'silent');
	const others = ['vm1', 'vm2', 'vm3'].filter(vm => vm !== coordinator);
	await sendAtRate(cluster, others, 320, 12_000);
	t.not(cluster.getCoordinator(), coordinator);
	t.true(countMaxOperationsPerWindow(cluster) <= (((40 * 5) + 40) * (1 + allowedOverage)) + allowedExtraOperations, `${countMaxOperationsPerWindow(cluster)}`);
	cluster.stop();
});

test.serial('an isolated VM logs the loss of the coordinator and of its term lease once, and their recovery', async t => {
	const cluster = new TestCluster();
	await cluster.start(createLimitedConfiguration(40, 40));
	const isolatedVm = ['vm1', 'vm2', 'vm3'].find(vm => vm !== cluster.getCoordinator())!;
	cluster.network.isolatedVms.add(isolatedVm);
	cluster.store.faultsByVm.set(isolatedVm, 'silent');
	await sendAtRate(cluster, [isolatedVm], 20, 4000);
	cluster.network.isolatedVms.delete(isolatedVm);
	cluster.store.faultsByVm.delete(isolatedVm);
	await sendAtRate(cluster, [isolatedVm], 20, 4000);
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
	await sendAtRate(cluster, vms, 320, 6500);
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
	await sendAtRate(cluster, others, 320, 3000);
	t.true(countMaxOperationsPerWindow(cluster) <= (((40 * 5) + 40) * (1 + allowedOverage)) + allowedExtraOperations, `${countMaxOperationsPerWindow(cluster)}`);
	t.true(cluster.database.events.length > 300, 'the account is served before and after the restart');
	cluster.stop();
});
