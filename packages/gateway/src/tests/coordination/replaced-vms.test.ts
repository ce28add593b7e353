import test from 'ava';
import {measureCollections} from '../fakes/collection-sizes.js';
import {TestCluster} from '../fakes/test-cluster.js';

/** Time after which a silent VM is removed, with the interval of the checks, in milliseconds. */
const removalMs = 26_000;

// Guards against a coordinator that counts VMs that are gone: its memory grows, and what an unheard process admitted is assumed to be less the more VMs were replaced.
test.serial('a coordinator keeps the usage reports of the present VMs only', async t => {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	for (let round = 1; round <= 4; round++) {
		cluster.killVm([...cluster.gateways.keys()].find(vm => vm !== coordinator)!);
		await cluster.startVm(`new${round}`);
		await cluster.time.advance(removalMs);
	}

	t.is(cluster.getCoordinator(), coordinator);
	const sizes = measureCollections(cluster.getGateway(coordinator).gateway, value => value instanceof TestCluster);
	t.is(sizes.get('UsageAssumption.#unknownUntil'), 3);
	cluster.stop();
});
