import test from 'ava';
import {measureCollections} from '../fakes/collection-sizes.js';
import {statements, TestCluster} from '../fakes/test-cluster.js';
import {accountNames, createScarceConfiguration, ScarceCluster} from './scarce-cluster.js';

const roundCount = 4;

// Guards against memory and connections that grow with every VM that was a gateway.
test.serial('a VM keeps links to the present gateways only', async t => {
	const cluster = new ScarceCluster(8);
	await cluster.startAll(createScarceConfiguration({groups: [{name: 'db', maxConnections: 5}]}));
	const entryVm = cluster.getCoordinator();
	const callers = accountNames.map(account => cluster.openSession(entryVm, 'own', account));
	const sendReads = async () => {
		for (const caller of callers) {
			await caller.sendAndWait(statements.read);
		}
	};

	await sendReads();
	for (let round = 1; round <= roundCount; round++) {
		for (const vm of [...cluster.gateways.keys()].filter(name => name !== entryVm)) {
			cluster.killVm(vm);
			await cluster.startVm(`${vm.split('-')[0]!}-${round}`);
		}

		for (let count = 0; count < 6; count++) {
			await cluster.time.advance(1000);
			await sendReads();
		}
	}

	t.is(cluster.getCoordinator(), entryVm);
	const sizes = measureCollections(cluster.getGateway(entryVm).gateway, value => value instanceof TestCluster);
	t.log(`${sizes.get('ForwardingClient.#links')} links`);
	t.true(sizes.get('ForwardingClient.#links')! < cluster.gateways.size, `${sizes.get('ForwardingClient.#links')} links`);
	cluster.stop();
});
