import test from 'ava';
import {createConfiguration, statements, TestCluster} from '../fakes/test-cluster.js';

const {write} = statements;

/** Sends writes of many accounts at a constant rate through the VMs, and returns how many were sent and served in each second. */
async function sendLoad(cluster: TestCluster, vms: readonly string[], accounts: readonly string[], ratePerS: number, durationS: number): Promise<Array<{sent: number; served: number}>> {
	const seconds = Array.from({length: durationS}, () => ({sent: 0, served: 0}));
	const startedAt = cluster.time.now();
	const pending: Array<Promise<void>> = [];
	let index = 0;
	const send = async (second: {sent: number; served: number}) => {
		index += 1;
		second.sent += 1;
		const session = cluster.openSession(vms[index % vms.length]!, 'strict', accounts[(index * 7) % accounts.length]);
		const answer = await session.send(write);
		second.served += answer.result.kind === 'completed' ? 1 : 0;
		session.disconnect();
	};

	while (cluster.time.now() < startedAt + (durationS * 1000)) {
		const elapsed = cluster.time.now() - startedAt;
		const second = seconds[Math.floor(elapsed / 1000)]!;
		const due = Math.floor((elapsed / 1000) * ratePerS) - index;
		pending.push(...Array.from({length: Math.max(0, due)}, async () => send(second)));

		await cluster.time.advance(5);
	}

	await cluster.time.waitFor(Promise.all(pending));
	return seconds;
}

test.serial('many VMs and accounts back off after a surge beyond the slots of a primary, so that it recovers', async t => {
	const vms = Array.from({length: 40}, (_, index) => `vm${index + 1}`);
	const accounts = Array.from({length: 40}, (_, index) => `account${index + 1}`);
	const cluster = new TestCluster(vms);
	Object.assign(cluster.database.options, {
		slots: 2, queue: 6, handshakeMs: 12, serviceMs: 14, maxConnections: 120,
	});
	await cluster.start(createConfiguration(1, {
		groups: [{name: 'db', maxConnections: 120}],
		accounts: accounts.map(name => ({
			name, keyDigests: [name], priority: 1, ratePerS: 1000, burst: 1000,
		})),
	}));
	// Two slots serve 77 new connections a second with one write each.
	await sendLoad(cluster, vms, accounts, 600, 3);
	const after = await sendLoad(cluster, vms, accounts, 55, 6);
	for (const second of after.slice(2)) {
		t.true(second.served >= second.sent * 0.9, `${second.served} of ${second.sent}`);
	}

	cluster.stop();
});

test.serial('after all VMs lost power each of them gets connections although the instance still counts the former ones', async t => {
	const vms = Array.from({length: 7}, (_, index) => `vm${index + 1}`);
	const accounts = Array.from({length: 8}, (_, index) => `account${index + 1}`);
	const cluster = new TestCluster(vms);
	Object.assign(cluster.database.options, {
		slots: 2, queue: 16, handshakeMs: 12, serviceMs: 14, maxConnections: 30,
	});
	await cluster.start(createConfiguration(1, {
		groups: [{name: 'db', maxConnections: 30}],
		accounts: accounts.map(name => ({
			name, keyDigests: [name], priority: 1, ratePerS: 1000, burst: 1000,
		})),
	}));
	await sendLoad(cluster, vms, accounts, 60, 2);
	await cluster.time.advance(1600);
	for (const {gateway} of cluster.gateways.values()) {
		gateway.stop();
	}

	// Connections of the former processes that the primary still counts.
	const staleCount = cluster.database.primary.connections.size;
	t.true(staleCount >= 14 && staleCount < 28, `${staleCount}`);
	for (const vm of vms) {
		await cluster.startVm(vm);
	}

	await cluster.time.advance(200);
	const byVm = await Promise.all(vms.map(async vm => sendLoad(cluster, [vm], accounts, 6, 2)));
	for (const [index, seconds] of byVm.entries()) {
		for (const {sent, served} of seconds) {
			t.true(served >= sent * 0.8, `${vms[index]}: ${served} of ${sent}`);
		}
	}

	cluster.stop();
});
