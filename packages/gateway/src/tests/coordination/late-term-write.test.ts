import test from 'ava';
import {TestCluster} from '../fakes/test-cluster.js';
import {isServed, writeUntil} from './write-load.js';

/** Starts a cluster whose store gives no answers for a while, in which the coordinator tries to close the term; that write is performed later, and the primary is well again by then. */
async function startWithLateClosing() {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	const {store, database, time} = cluster;
	await cluster.start();
	const callers = [...cluster.gateways.keys()].map(vm => cluster.openSession(vm, 'strict'));
	await isServed(cluster, callers, 1000);
	store.getLateMs = writes => writes.some(({key}) => key === 'group/db') ? 1500 : undefined;
	database.primary.isDark = true;
	await writeUntil(cluster, callers, 700, () => false);
	store.fault = 'silent';
	await writeUntil(cluster, callers, 1500, () => false);
	database.primary.isDark = false;
	await writeUntil(cluster, callers, 1800, () => false);
	store.fault = 'none';
	const closedAt = time.now();
	while (cluster.getTermRow().phase !== 'closing' && time.now() < closedAt + 3000) {
		await time.advance(10);
	}

	return {cluster, callers};
}

// Guards against a group that stays without a primary for good: the coordinator took the version of its own row for that of a term row which the store had written late.
test.serial('a change of primary succeeds after the store has performed an earlier write of the term late', async t => {
	const {cluster, callers} = await startWithLateClosing();
	const {database} = cluster;
	t.is(cluster.getTermRow().phase, 'closing');
	await writeUntil(cluster, callers, 8000, () => false);
	database.primary.crash();
	// Detection, status requests to an instance that may be restarting, and the promotion.
	t.true(await isServed(cluster, callers, 5000));
	t.is(cluster.getTermRow().primaryId, database.primary.id);
	cluster.stop();
});

// Guards against VMs that read the closed term from the store while the coordinator goes on with the open one.
test.serial('the coordinator adopts a term row that the store has written late, and opens the term again', async t => {
	const {cluster, callers} = await startWithLateClosing();
	const revision = cluster.store.rows.get('group/db')!.version;
	await writeUntil(cluster, callers, 3000, () => false);
	t.is(cluster.getTermRow().phase, 'open');
	t.is(cluster.database.promotionRequests.length, 0);
	t.true([...cluster.gateways.values()].every(({terms}) => terms.getTerm('db')!.revision > revision));
	cluster.stop();
});

// Guards against the state in which a coordinator of a former build leaves the VMs: it reported the version of its own row as the revision of a term.
test.serial('a change of primary succeeds although the VMs know a later revision of the term than its row has', async t => {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	const {store, database} = cluster;
	await cluster.start();
	const callers = [...cluster.gateways.keys()].map(vm => cluster.openSession(vm, 'strict'));
	await isServed(cluster, callers, 1000);
	for (const {terms} of cluster.gateways.values()) {
		terms.applyTerm({...terms.getTerm('db')!, revision: store.version});
	}

	database.primary.crash();
	t.true(await isServed(cluster, callers, 5000));
	t.is(cluster.getTermRow().primaryId, database.primary.id);
	cluster.stop();
});
