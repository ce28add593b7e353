import test from 'ava';
import {createStoreVersion} from '../../ports/index.js';
import {TestCluster} from '../fakes/test-cluster.js';
import {isServed} from './write-load.js';

/** Nested so deeply that a recursive function fails on it. */
const deeplyNested = '['.repeat(100_000) + ']'.repeat(100_000);

const hostileRows: ReadonlyArray<readonly [key: string, value: string]> = [
	['vm/odd', '{"address":"127.0.0.1:99999","zone":"a","incarnation":"r"}'],
	['vm/deep', deeplyNested],
	['vm/', '{}'],
	['vm/number', '{"address":1e999}'],
	['group/deep', `{"term":${deeplyNested}}`],
	['group/huge', '{"term":1e300,"primaryId":"i-1","phase":"open","drainMs":0}'],
	['group/negative', '{"term":-1,"primaryId":"i-1","phase":"open","drainMs":-1e300}'],
	['group/', '{"term":1,"primaryId":"i-1","phase":"open","drainMs":0}'],
	['group/other', '{"term":1,"primaryId":"nobody","phase":"closing","drainMs":1e9}'],
	['', ''],
	['unknown', '\u0000'],
];

// Guards against a VM that ends, or a group that loses its primary, because of a row beside those of the VMs. An unhandled rejection fails the test too.
test.serial('VMs go on, and change coordinator and primary, beside rows that can\'t be read', async t => {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	const {store, database} = cluster;
	await cluster.start();
	for (const [key, value] of hostileRows) {
		store.version += 1;
		store.rows.set(key, {key, value, version: createStoreVersion(store.era, store.version)});
	}

	const coordinator = cluster.getCoordinator();
	const callers = [...cluster.gateways.keys()].filter(vm => vm !== coordinator).map(vm => cluster.openSession(vm, 'strict'));
	t.true(await isServed(cluster, callers, 2000));
	cluster.killVm(coordinator);
	await cluster.time.advance(12_000);
	t.not(cluster.getCoordinator(), coordinator);
	t.true(await isServed(cluster, callers, 3000));
	database.primary.crash();
	t.true(await isServed(cluster, callers, 12_000));
	await cluster.startVm(coordinator);
	t.true(await isServed(cluster, [await cluster.openSessionWhenReady(coordinator, 'strict')], 10_000));
	cluster.stop();
});
