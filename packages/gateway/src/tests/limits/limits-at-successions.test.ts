import {mock} from 'node:test';
import test from 'ava';
import {type PeerMessage} from '@chicorysaddle/protocol/coordination';
import {createRandom} from '../fakes/seeded-random.js';
import {TestCluster} from '../fakes/test-cluster.js';
import {
	countAcceptedPerWindow, countMaxOperationsPerWindow, createLimitedConfiguration, sendAtRate,
} from './limit-load.js';

const limit = {ratePerS: 60, burst: 60};
const timing = {graceMs: 6000, rotationMs: 2200};
const vms = Array.from({length: 9}, (_, index) => `vm${index + 1}`);

/** Maximum fraction of operations refused of an account that remains within its limit. */
const maxRefusedFraction = 0.02;

/** Starts a cluster whose coordinator has had time to learn that the account uses little. */
async function startQuietCluster(): Promise<TestCluster> {
	mock.method(Math, 'random', createRandom(1));
	const cluster = new TestCluster(vms);
	cluster.database.options.serviceMs = 1;
	await cluster.start(createLimitedConfiguration(limit.ratePerS, limit.burst));
	await sendAtRate(cluster, () => vms, 20, 6000);
	return cluster;
}

test.afterEach.always(() => {
	mock.restoreAll();
});

// Guards against a successor that takes the usage of the last window for evenly spread, while the account's load rose seconds before.
test.serial('a coordinator that takes over soon after the load of an account rose does not grant its limit again', async t => {
	const cluster = await startQuietCluster();
	await sendAtRate(cluster, () => vms, 320, 3000);
	const coordinator = cluster.getCoordinator();
	const drained = cluster.getGateway(coordinator).gateway.drain(timing);
	const others = vms.filter(vm => vm !== coordinator);
	await sendAtRate(cluster, () => others, 320, 5000);
	await drained;
	t.not(cluster.getCoordinator(), coordinator);
	t.log(`${countMaxOperationsPerWindow(cluster)} in a window`);
	t.true(countMaxOperationsPerWindow(cluster) <= countAcceptedPerWindow(limit));
	cluster.stop();
});

/** Sends operations at a constant rate while the coordinator shuts down and starts again, six times in series; returns the counts and the coordinators. */
async function sendDuringHandOvers(cluster: TestCluster, ratePerS: number) {
	const leaving = new Set<string>();
	const drainAndRestart = async () => {
		const vm = cluster.getCoordinator();
		leaving.add(vm);
		await cluster.getGateway(vm).gateway.drain(timing);
		cluster.killVm(vm);
		await cluster.startVm(vm);
		leaving.delete(vm);
	};

	const getVms = () => vms.filter(vm => !leaving.has(vm) && cluster.gateways.get(vm)?.gateway.isReady === true);
	const counts = {sent: 0, refused: 0};
	const send = async (durationMs: number) => {
		const {sent, refused} = await sendAtRate(cluster, getVms, ratePerS, durationMs);
		counts.sent += sent;
		counts.refused += refused;
	};

	await send(1500);
	const coordinators = new Set([cluster.getCoordinator()]);
	const restarts: Array<Promise<void>> = [];
	for (let count = 0; count < 6; count++) {
		restarts.push(drainAndRestart());
		await send(700);
		coordinators.add(cluster.getCoordinator());
	}

	await send(5000);
	await cluster.time.waitFor(Promise.all(restarts));
	return {...counts, coordinators};
}

// Guards against the same in series: VMs shut down and start again one after the other, each coordinator shortly after its predecessor.
test.serial('hand-overs in series, while VMs restart one after the other, grant the limit only once', async t => {
	const cluster = await startQuietCluster();
	const {coordinators} = await sendDuringHandOvers(cluster, 320);
	t.true(coordinators.size >= 4, `${coordinators.size} coordinators`);
	t.log(`${countMaxOperationsPerWindow(cluster)} in a window`);
	t.true(countMaxOperationsPerWindow(cluster) <= countAcceptedPerWindow(limit));
	cluster.stop();
});

// Guards against an issuer that is kept from an earlier time as the coordinator: it lacks what others granted since.
test.serial('a VM that becomes the coordinator again does not decide by the usage of its first time', async t => {
	const cluster = await startQuietCluster();
	const first = cluster.getCoordinator();
	const loseLease = async (vm: string, successors: readonly string[], ratePerS: number) => {
		for (const other of vms) {
			cluster.store.faultsByVm.set(other, successors.includes(other) ? 'none' : 'busy');
		}

		for (let passed = 0; cluster.getCoordinator() === vm && passed < 8000; passed += 50) {
			await sendAtRate(cluster, () => vms, ratePerS, 50);
		}
	};

	const second = vms.find(vm => vm !== first)!;
	await loseLease(first, [second], 20);
	t.is(cluster.getCoordinator(), second);
	await cluster.time.advance(6000);
	await sendAtRate(cluster, () => vms, 320, 1000);
	await loseLease(second, [first], 320);
	t.is(cluster.getCoordinator(), first);
	await sendAtRate(cluster, () => vms, 320, 4000);
	t.log(`${countMaxOperationsPerWindow(cluster)} in a window`);
	t.true(countMaxOperationsPerWindow(cluster) <= countAcceptedPerWindow(limit));
	cluster.stop();
});

// Guards against usage that ends with a process: the coordinator is killed, and its next process takes the lease back before it expires.
test.serial('a coordinator that is killed and restarted at once does not grant the limit again', async t => {
	const cluster = await startQuietCluster();
	await sendAtRate(cluster, () => vms, 320, 3000);
	const coordinator = cluster.getCoordinator();
	cluster.killVm(coordinator);
	const others = vms.filter(vm => vm !== coordinator);
	await sendAtRate(cluster, () => others, 320, 600);
	await cluster.startVm(coordinator);
	await sendAtRate(cluster, () => others, 320, 5000);
	t.is(cluster.getCoordinator(), coordinator);
	t.log(`${countMaxOperationsPerWindow(cluster)} in a window`);
	t.true(countMaxOperationsPerWindow(cluster) <= countAcceptedPerWindow(limit));
	cluster.stop();
});

// Guards against operations that VMs admit while the coordinator does not answer and that no coordinator counts, and against allowances that grow with each such gap.
test.serial('short losses of the coordinator in series do not add up to more than the limit', async t => {
	const cluster = await startQuietCluster();
	await sendAtRate(cluster, () => vms, 320, 5000);
	const coordinator = cluster.getCoordinator();
	const others = vms.filter(vm => vm !== coordinator);
	for (let count = 0; count < 6; count++) {
		cluster.network.isolatedVms.add(coordinator);
		await sendAtRate(cluster, () => others, 320, 500);
		cluster.network.isolatedVms.delete(coordinator);
		await sendAtRate(cluster, () => others, 320, 700);
	}

	await sendAtRate(cluster, () => others, 320, 5000);
	t.log(`${countMaxOperationsPerWindow(cluster)} in a window`);
	t.true(countMaxOperationsPerWindow(cluster) <= countAcceptedPerWindow(limit));
	cluster.stop();
});

// Guards against operations that a VM admits alone and that end with its process, before it could report them.
test.serial('VMs that are killed while they do not reach the coordinator do not take their usage with them', async t => {
	const cluster = await startQuietCluster();
	const coordinator = cluster.getCoordinator();
	const others = vms.filter(vm => vm !== coordinator);
	const killed = others.slice(0, 4);
	const rest = others.slice(4);
	cluster.network.isolatedVms.add(coordinator);
	await sendAtRate(cluster, () => killed, 320, 1400);
	for (const vm of killed) {
		cluster.killVm(vm);
	}

	cluster.network.isolatedVms.delete(coordinator);
	await sendAtRate(cluster, () => rest, 320, 700);
	for (const vm of killed) {
		await cluster.startVm(vm);
	}

	await sendAtRate(cluster, () => others, 320, 5000);
	t.is(cluster.getCoordinator(), coordinator);
	t.log(`${countMaxOperationsPerWindow(cluster)} in a window`);
	t.true(countMaxOperationsPerWindow(cluster) <= countAcceptedPerWindow(limit));
	cluster.stop();
});

// Guards against a coordinator that keeps a large part of the limit for its own callers while all other VMs use their shares.
test.serial('a coordinator that reaches no other VM but keeps its lease leaves the account its limit only', async t => {
	const cluster = await startQuietCluster();
	const coordinator = cluster.getCoordinator();
	await sendAtRate(cluster, () => vms, 320, 3000);
	cluster.network.isolatedVms.add(coordinator);
	const others = vms.filter(vm => vm !== coordinator);
	await sendAtRate(cluster, () => others.flatMap(vm => [vm, coordinator]), 800, 12_000);
	t.is(cluster.getCoordinator(), coordinator);
	cluster.network.isolatedVms.delete(coordinator);
	await sendAtRate(cluster, () => vms, 320, 5000);
	t.log(`${countMaxOperationsPerWindow(cluster)} in a window`);
	t.true(countMaxOperationsPerWindow(cluster) <= countAcceptedPerWindow(limit));
	cluster.stop();
});

// Guards against limits that hold for even load only: the VMs that had none of it take their shares as well once the coordinator is away.
test.serial('a loss of the coordinator under uneven load leaves the account its limit only', async t => {
	const cluster = await startQuietCluster();
	const coordinator = cluster.getCoordinator();
	const others = vms.filter(vm => vm !== coordinator);
	await sendAtRate(cluster, () => others.slice(0, 2), 320, 5000);
	cluster.network.isolatedVms.add(coordinator);
	await sendAtRate(cluster, () => others, 320, 3000);
	cluster.network.isolatedVms.delete(coordinator);
	await sendAtRate(cluster, () => others, 320, 5000);
	t.log(`${countMaxOperationsPerWindow(cluster)} in a window`);
	t.true(countMaxOperationsPerWindow(cluster) <= countAcceptedPerWindow(limit));
	cluster.stop();
});

// Guards against successors that assume so much that they refuse accounts within their limits.
test.serial('an account within its limit is hardly refused while coordinators succeed each other', async t => {
	const cluster = await startQuietCluster();
	const {sent, refused} = await sendDuringHandOvers(cluster, 0.9 * limit.ratePerS);
	t.log(`hand-overs: ${refused} of ${sent} refused`);
	t.true(refused <= maxRefusedFraction * sent, `${refused} of ${sent}`);
	cluster.stop();
});

test.serial('an account within its limit is hardly refused while the coordinator is lost for short times in series, and after a restart of the coordinator', async t => {
	const cluster = await startQuietCluster();
	const coordinator = cluster.getCoordinator();
	const others = vms.filter(vm => vm !== coordinator);
	const counts = {sent: 0, refused: 0};
	const send = async (durationMs: number) => {
		const {sent, refused} = await sendAtRate(cluster, () => others, 0.9 * limit.ratePerS, durationMs);
		counts.sent += sent;
		counts.refused += refused;
	};

	await send(3000);
	for (let count = 0; count < 6; count++) {
		cluster.network.isolatedVms.add(coordinator);
		await send(500);
		cluster.network.isolatedVms.delete(coordinator);
		await send(700);
	}

	t.log(`short losses: ${counts.refused} of ${counts.sent} refused`);
	cluster.killVm(coordinator);
	await send(600);
	await cluster.startVm(coordinator);
	await send(5000);
	t.log(`and a restart: ${counts.refused} of ${counts.sent} refused`);
	t.true(counts.refused <= maxRefusedFraction * counts.sent, `${counts.refused} of ${counts.sent}`);
	cluster.stop();
});

// Guards against operations of a long loss of the coordinator that count as if all had been admitted at its end.
test.serial('an account within its limit is hardly refused after the coordinator was away for several seconds', async t => {
	const cluster = await startQuietCluster();
	const coordinator = cluster.getCoordinator();
	const others = vms.filter(vm => vm !== coordinator);
	await sendAtRate(cluster, () => others, 0.9 * limit.ratePerS, 4000);
	cluster.network.isolatedVms.add(coordinator);
	const away = await sendAtRate(cluster, () => others, 0.9 * limit.ratePerS, 4000);
	cluster.network.isolatedVms.delete(coordinator);
	const back = await sendAtRate(cluster, () => others, 0.9 * limit.ratePerS, 6000);
	t.is(cluster.getCoordinator(), coordinator);
	t.log(`${away.refused} of ${away.sent} refused while it was away, ${back.refused} of ${back.sent} afterwards`);
	t.true(back.refused <= maxRefusedFraction * back.sent, `${back.refused} of ${back.sent}`);
	cluster.stop();
});

test.serial('an account within its limit is hardly refused after all VMs were restarted', async t => {
	const cluster = await startQuietCluster();
	await sendAtRate(cluster, () => vms, 0.9 * limit.ratePerS, 3000);
	for (const vm of vms) {
		cluster.killVm(vm);
	}

	await cluster.time.advance(1300);
	for (const vm of vms) {
		await cluster.startVm(vm);
	}

	await cluster.time.advance(300);
	const {sent, refused} = await sendAtRate(cluster, () => vms, 0.9 * limit.ratePerS, 6000);
	t.log(`${refused} of ${sent} refused`);
	t.true(refused <= maxRefusedFraction * sent, `${refused} of ${sent}`);
	cluster.stop();
});

/** Fields of messages that former builds neither send nor read. */
const newFields: ReadonlySet<string> = new Set(['uptimeMs', 'accountUsage', 'statedUsage', 'usage', 'admitted', 'free', 'used']);

/** Removes those fields from the messages between VMs if one of the two VMs is of a former build. */
function removeNewFields(cluster: TestCluster, formerVms: ReadonlySet<string>): void {
	cluster.network.convertMessage = (from, to, message) => formerVms.has(from) || formerVms.has(to)
		? JSON.parse(JSON.stringify(message), (key, value: unknown) => newFields.has(key) ? undefined : value) as PeerMessage
		: message;
}

// Guards against messages that VMs of two builds misread, and against refusals of accounts within their limits while both builds run.
test.serial('VMs that exchange no usage with others, as those of a former build, take part in hand-overs in series', async t => {
	for (const ratePerS of [0.9 * limit.ratePerS, 320]) {
		const cluster = await startQuietCluster();
		removeNewFields(cluster, new Set(['vm2', 'vm4', 'vm6', 'vm8']));
		const {sent, refused} = await sendDuringHandOvers(cluster, ratePerS);
		t.log(`${ratePerS} a second: ${refused} of ${sent} refused, ${countMaxOperationsPerWindow(cluster)} in a window`);
		t.true(ratePerS > limit.ratePerS || refused <= maxRefusedFraction * sent, `${refused} of ${sent}`);
		t.deepEqual(cluster.log.events.filter(({name}) => name === 'peer.invalid' || name === 'peer.failed'), []);
		cluster.stop();
	}
});
