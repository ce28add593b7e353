import test from 'ava';
import {getEra} from '../../ports/index.js';
import {TestCluster} from '../fakes/test-cluster.js';
import {isServed} from './write-load.js';

const vms = ['vm1', 'vm2', 'vm3'];

/** Time for which a holder that is silent keeps the role, in milliseconds: the duration of the lease with its margin. */
const silentHolderMs = 6500;

/** Time after that within which the role is taken, in milliseconds: polls of the store and the election. */
const maxElectionMs = 3000;

/** Values that are not the row of a coordinator. */
const unreadableValues = ['', 'no JSON', '{}', '{"holder":"vm1","incarnation":"run-1","address":"vm1:1","token":-3}', '{"holder":"vm2","token":2}', '['.repeat(100_000)];

function getToken(cluster: TestCluster): number {
	return (JSON.parse(cluster.store.rows.get('coordinator')!.value) as {token: number}).token;
}

function countTaken(cluster: TestCluster): number {
	return cluster.log.events.filter(({name}) => name === 'coordinator.taken').length;
}

/** Advances time until a VM has taken the role; returns the time that passed, in milliseconds. */
async function measureElection(cluster: TestCluster): Promise<number> {
	const [startedAt, count] = [cluster.time.now(), countTaken(cluster)];
	while (countTaken(cluster) === count && cluster.time.now() - startedAt < 20_000) {
		await cluster.time.advance(20);
	}

	return cluster.time.now() - startedAt;
}

// Guards against a role that nobody can take, because the row counts as absent and each write to it requires that it is.
for (const [index, value] of unreadableValues.entries()) {
	test.serial(`an unreadable row of the coordinator is replaced after the time that a silent holder is given, value ${index + 1}`, async t => {
		const cluster = new TestCluster(vms);
		t.teardown(() => {
			cluster.stop();
		});
		await cluster.start();
		const token = getToken(cluster);
		cluster.store.putRow('coordinator', value);
		const electionMs = await measureElection(cluster);
		t.true(electionMs >= silentHolderMs && electionMs <= silentHolderMs + maxElectionMs, `${electionMs} ms`);
		t.true(getToken(cluster) > token);
		const callers = vms.map(vm => cluster.openSession(vm, 'strict'));
		t.true(await isServed(cluster, callers, 2000));
		cluster.database.primary.crash();
		t.true(await isServed(cluster, callers, 8000));
	});
}

// Guards against a fencing token that the platform rejects, when no VM knows the tokens that were used.
test.serial('VMs that all start again beside an unreadable row use a token above all that were used', async t => {
	const cluster = new TestCluster(vms);
	t.teardown(() => {
		cluster.stop();
	});
	await cluster.start();
	for (let round = 0; round < 4; round++) {
		const coordinator = cluster.getCoordinator();
		await cluster.time.waitFor(cluster.getGateway(coordinator).gateway.drain({graceMs: 2000, rotationMs: 100}));
		cluster.killVm(coordinator);
		await cluster.startVm(coordinator);
		await cluster.time.advance(3000);
	}

	const token = getToken(cluster);
	t.true(token >= 5, String(token));
	for (const vm of vms) {
		cluster.killVm(vm);
	}

	cluster.store.putRow('coordinator', 'no JSON');
	for (const vm of vms) {
		await cluster.startVm(vm);
	}

	const electionMs = await measureElection(cluster);
	t.true(electionMs >= silentHolderMs && electionMs <= silentHolderMs + maxElectionMs, `${electionMs} ms`);
	t.true(getToken(cluster) > token, `${getToken(cluster)}, ${token} was used`);
	const later = getToken(cluster);
	cluster.store.putRow('coordinator', '[]');
	for (const vm of vms) {
		cluster.killVm(vm);
		await cluster.startVm(vm);
	}

	await measureElection(cluster);
	t.true(getToken(cluster) > later, `${getToken(cluster)}, ${later} was used`);
});

// Guards against a VM that takes the role from a holder that still acts: the holder's renewal replaces nothing, so only time tells that its lease has ended.
test.serial('two VMs never hold the lease at the same time while its row is overwritten again and again', async t => {
	const cluster = new TestCluster(vms);
	t.teardown(() => {
		cluster.stop();
	});
	await cluster.start();
	const isHolder = new Map<string, boolean>();
	let handled = 0;
	const tokens: number[] = [];
	for (let part = 0; part < 3000; part++) {
		if (part % 400 === 150) {
			cluster.store.putRow('coordinator', `no JSON ${part}`);
		}

		await cluster.time.advance(20);
		const events = cluster.log.events.slice(handled);
		handled = cluster.log.events.length;
		for (const {name, vm, fields} of events) {
			if (name === 'coordinator.taken' || name === 'coordinator.lost') {
				isHolder.set(vm, name === 'coordinator.taken');
				tokens.push(...(name === 'coordinator.taken' ? [Number(fields.token)] : []));
			}
		}

		t.true([...isHolder.values()].filter(Boolean).length <= 1);
	}

	t.true(tokens.length >= 3);
	t.deepEqual(tokens, [...new Set(tokens)].toSorted((a, b) => a - b));
});

// Guards against a store that returned from an older copy whose row of the coordinator can't be read.
test.serial('an unreadable row is replaced in a later era of the store, too', async t => {
	const cluster = new TestCluster(vms);
	t.teardown(() => {
		cluster.stop();
	});
	await cluster.start();
	const token = getToken(cluster);
	const copy = cluster.store.takeCopy();
	for (const vm of vms) {
		cluster.killVm(vm);
	}

	cluster.store.restore(copy);
	cluster.store.putRow('coordinator', 'no JSON');
	for (const vm of vms) {
		await cluster.startVm(vm);
	}

	const electionMs = await measureElection(cluster);
	t.true(electionMs <= silentHolderMs + maxElectionMs, `${electionMs} ms`);
	t.true(getToken(cluster) > Math.max(token, 1_000_000));
	t.is(getEra(cluster.store.rows.get('coordinator')!.version), 1);
	t.true(await isServed(cluster, vms.map(vm => cluster.openSession(vm, 'strict')), 5000));
});
