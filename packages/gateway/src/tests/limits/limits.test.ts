import test from 'ava';
import {createConfiguration, statements, TestCluster} from '../fakes/test-cluster.js';

const {read} = statements;

/** The window over which deployments count, milliseconds, and what they allow beyond the limit. */
const windowMs = 5000;
const allowedOverage = 0.1;
const slack = 20;

/** Sends reads of one account at a pace from every VM, and returns when each was run. */
async function sendAtRate(cluster: TestCluster, vms: readonly string[], perS: number, forMs: number): Promise<{asked: number; refused: number}> {
	const figures = {asked: 0, refused: 0};
	const pending = new Set<Promise<void>>();
	const sessions = new Map(vms.map(vm => [vm, [] as Array<ReturnType<TestCluster['openSession']>>]));
	const send = async (vm: string) => {
		const free = sessions.get(vm)!;
		const session = free.pop() ?? cluster.openSession(vm, 'strict');
		figures.asked += 1;
		const answer = await session.send(read);
		figures.refused += answer.result.kind === 'refused' && answer.result.refusal.kind === 'over-limit' ? 1 : 0;
		free.push(session);
	};

	const gapMs = 1000 / perS;
	let due = 0;
	const startedAt = cluster.time.now();
	let index = 0;
	while (cluster.time.now() < startedAt + forMs) {
		while (due <= cluster.time.now() - startedAt) {
			const sent = send(vms[index % vms.length]!);
			pending.add(sent);
			index += 1;
			due += gapMs;
		}

		await cluster.time.advance(10);
	}

	await cluster.time.waitFor(Promise.all(pending));
	return figures;
}

/** Returns the most operations that ran in any window. */
function countBusiestWindow(cluster: TestCluster): number {
	const times = cluster.database.events.map(event => event.at).toSorted((a, b) => a - b);
	let most = 0;
	for (let end = 0, start = 0; end < times.length; end++) {
		while (times[end]! - times[start]! >= windowMs) {
			start += 1;
		}

		most = Math.max(most, end - start + 1);
	}

	return most;
}

function createLimited(ratePerS: number, burst: number) {
	return createConfiguration(1, {
		accounts: [{
			name: 'agency', keyDigests: ['large'], priority: 1, ratePerS, burst,
		}],
	});
}

test.serial('an account within its limit is never refused, however unevenly its callers come', async t => {
	const cluster = new TestCluster();
	cluster.database.options.serviceMs = 1;
	await cluster.start(createLimited(40, 40));
	const even = await sendAtRate(cluster, ['vm1', 'vm2', 'vm3'], 30, 4000);
	const uneven = await sendAtRate(cluster, ['vm2'], 30, 4000);
	t.is(even.refused, 0);
	t.is(uneven.refused, 0);
	cluster.stop();
});

test.serial('an account at eight times its rate gets its limit over all VMs, and no more', async t => {
	const cluster = new TestCluster();
	cluster.database.options.serviceMs = 1;
	await cluster.start(createLimited(40, 40));
	const figures = await sendAtRate(cluster, ['vm1', 'vm2', 'vm3'], 320, 8000);
	const served = cluster.database.events.length;
	t.true(figures.refused > 0);
	t.true(served >= 40 * 8);
	t.true(countBusiestWindow(cluster) <= (((40 * 5) + 40) * (1 + allowedOverage)) + slack);
	cluster.stop();
});

test.serial('a VM that is cut off goes on at its pace, and the sum stays within the bound', async t => {
	const cluster = new TestCluster();
	cluster.database.options.serviceMs = 1;
	await cluster.start(createLimited(40, 40));
	await sendAtRate(cluster, ['vm1', 'vm2', 'vm3'], 320, 4000);
	const lost = ['vm1', 'vm2', 'vm3'].find(vm => vm !== cluster.getCoordinator())!;
	cluster.network.isolatedVms.add(lost);
	const cut = await sendAtRate(cluster, ['vm1', 'vm2', 'vm3'], 320, 6000);
	t.true(cut.asked > cut.refused);
	t.deepEqual(cluster.log.events.filter(({name}) => name === 'limits.local').map(({vm}) => vm), [lost]);
	t.true(countBusiestWindow(cluster) <= (((40 * 5) + 40) * (1 + allowedOverage)) + slack, `${countBusiestWindow(cluster)}`);
	cluster.stop();
});

test.serial('a coordinator that is killed under an account at eight times its rate does not lift the limit', async t => {
	const cluster = new TestCluster();
	cluster.database.options.serviceMs = 1;
	await cluster.start(createLimited(40, 40));
	await sendAtRate(cluster, ['vm1', 'vm2', 'vm3'], 320, 3000);
	const coordinator = cluster.getCoordinator();
	cluster.getGateway(coordinator).gateway.stop();
	cluster.network.isolatedVms.add(coordinator);
	cluster.store.faultsByVm.set(coordinator, 'silent');
	const others = ['vm1', 'vm2', 'vm3'].filter(vm => vm !== coordinator);
	await sendAtRate(cluster, others, 320, 12_000);
	t.not(cluster.getCoordinator(), coordinator);
	t.true(countBusiestWindow(cluster) <= (((40 * 5) + 40) * (1 + allowedOverage)) + slack, `${countBusiestWindow(cluster)}`);
	cluster.stop();
});

test.serial('a VM logs once that nobody coordinates it, that its lease ran out, and that both are back', async t => {
	const cluster = new TestCluster();
	await cluster.start(createLimited(40, 40));
	const lost = ['vm1', 'vm2', 'vm3'].find(vm => vm !== cluster.getCoordinator())!;
	cluster.network.isolatedVms.add(lost);
	cluster.store.faultsByVm.set(lost, 'silent');
	await sendAtRate(cluster, [lost], 20, 4000);
	cluster.network.isolatedVms.delete(lost);
	cluster.store.faultsByVm.delete(lost);
	await sendAtRate(cluster, [lost], 20, 4000);
	const names = cluster.log.events.filter(({vm}) => vm === lost).map(({name}) => name);
	for (const name of ['term-lease.lost', 'limits.local', 'limits.shared']) {
		t.is(names.filter(other => other === name).length, 1, name);
	}

	t.true(names.lastIndexOf('term-lease.taken') > names.indexOf('term-lease.lost'));
	cluster.stop();
});

test.serial('VMs that are all killed under a pressing account do not give it its limit once more', async t => {
	const vms = Array.from({length: 7}, (_, index) => `vm${index + 1}`);
	const cluster = new TestCluster(vms);
	cluster.database.options.serviceMs = 1;
	await cluster.start(createLimited(40, 40));
	await sendAtRate(cluster, vms, 320, 6500);
	for (const {gateway} of cluster.gateways.values()) {
		gateway.stop();
	}

	// The coordinator does not come back: nobody divides the limit for seconds.
	const others = vms.filter(vm => vm !== cluster.getCoordinator());
	await cluster.time.advance(100);
	for (const vm of others) {
		await cluster.startVm(vm);
	}

	await cluster.time.advance(150);
	await sendAtRate(cluster, others, 320, 3000);
	t.true(countBusiestWindow(cluster) <= (((40 * 5) + 40) * (1 + allowedOverage)) + slack, `${countBusiestWindow(cluster)}`);
	t.true(cluster.database.events.length > 300, 'the account is served before and after');
	cluster.stop();
});
