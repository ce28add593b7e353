import test from 'ava';
import {formatPeerMessage, parsePeerMessage} from '@chicorysaddle/protocol/coordination';
import {type GatewayConfiguration} from '../../configuration/index.js';
import {
	createConfiguration, describeAnswer, statements, TestCluster,
} from '../fakes/test-cluster.js';

/** Names that every object has as properties. */
const names = ['__proto__', 'constructor', 'toString', 'hasOwnProperty', 'valueOf'];

const vms = ['__proto__', 'constructor', 'toString'];

/** Time within which a term closes if all VMs acknowledge that, in milliseconds: less than a term lease lasts. */
const maxClosingMs = 1000;

/** Creates a configuration whose accounts, keys, groups, routes and databases have these names. */
function createNamedConfiguration(): GatewayConfiguration {
	return createConfiguration(1, {
		groups: names.map(name => ({name, maxConnections: 30})),
		routes: names.map(name => ({
			...createConfiguration(1).routes[0]!, name, database: name, group: name,
		})),
		accounts: names.map(name => ({
			name, keyDigests: [name], priority: 1, ratePerS: 50, burst: 50,
		})),
	});
}

async function startCluster(): Promise<TestCluster> {
	const cluster = new TestCluster(vms, {
		groups: names, zones: new Map(vms.map(vm => [vm, vm])), regions: new Map(vms.map((vm, index) => [vm, names[index]!])),
	});
	await cluster.start(createNamedConfiguration());
	return cluster;
}

// Guards against names that are lost from objects that serve as maps, or found in those that lack them.
test.serial('accounts with names of properties get tokens from the coordinator', async t => {
	const cluster = await startCluster();
	t.teardown(() => {
		cluster.stop();
	});
	for (let round = 0; round < 5; round++) {
		for (const vm of vms) {
			for (const name of names) {
				const answer = await cluster.openSession(vm, name, name).sendAndWait(statements.write);
				t.is(answer.result.kind, 'completed', `${vm}, ${name}: ${describeAnswer(answer)}`);
			}
		}

		await cluster.time.advance(400);
	}

	t.deepEqual(cluster.log.events.filter(({name}) => name === 'limits.local' || name === 'task.failed').map(({vm, name}) => [vm, name]), []);
	for (const vm of vms) {
		t.is(cluster.getGateway(vm).metrics.getCount('limit_admitted_locally'), 0, vm);
	}
});

test.serial('groups, VMs and zones with names of properties are coordinated as others are', async t => {
	const cluster = await startCluster();
	t.teardown(() => {
		cluster.stop();
	});
	for (const name of names) {
		await cluster.openSession(vms[0]!, name, name).sendAndWait(statements.write);
	}

	await cluster.time.advance(1500);
	for (const vm of vms) {
		const {terms} = cluster.getGateway(vm);
		t.deepEqual(names.filter(name => terms.getNewestPosition(name) === undefined), [], `${vm} does not know these positions`);
	}

	for (const [index, database] of cluster.databases.entries()) {
		const name = names[index]!;
		const former = database.primary;
		former.crash();
		const sessions = vms.map(vm => cluster.openSession(vm, name, name));
		const deadline = cluster.time.now() + 8000;
		while (cluster.time.now() < deadline && (cluster.getTermRow(name).phase !== 'open' || cluster.getTermRow(name).primaryId === former.id)) {
			await cluster.time.waitFor(Promise.all(sessions.map(async session => session.send(statements.write))));
			await cluster.time.advance(50);
		}

		const ended = cluster.log.events.find(event => event.name === 'promotion.ended' && event.fields.group === name);
		t.true(Number(ended?.fields.closedMs) < maxClosingMs, `${name}: ${JSON.stringify(ended?.fields)}`);
	}

	t.deepEqual(cluster.log.events.filter(({name}) => name === 'task.failed'), []);
	t.deepEqual([...cluster.store.rows.keys()].toSorted(), ['coordinator', ...names.map(name => `group/${name}`), ...vms.map(vm => `vm/${vm}`)].toSorted());
});

test('messages between VMs keep names of properties', t => {
	const wants = Object.fromEntries(names.map(name => [name, {
		needed: 1, urgent: undefined, extra: 0, admitted: undefined,
	}]));
	const grants = Object.fromEntries(names.map(name => [name, {
		count: 1, waitMs: 0, free: undefined, used: undefined,
	}]));
	const request = parsePeerMessage(formatPeerMessage({
		kind: 'token-request', vm: '__proto__', sequence: 1, wants,
	}).trimEnd());
	const grant = parsePeerMessage(formatPeerMessage({kind: 'token-grant', sequence: 1, grants}).trimEnd());
	t.deepEqual(request.kind === 'token-request' && Object.keys(request.wants), names);
	t.deepEqual(grant.kind === 'token-grant' && Object.keys(grant.grants), names);
	for (const kind of names) {
		t.is(parsePeerMessage(JSON.stringify({kind})).kind, 'invalid');
	}
});
