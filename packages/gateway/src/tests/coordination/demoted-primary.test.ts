import test from 'ava';
import {TestCluster} from '../fakes/test-cluster.js';
import {isServed} from './write-load.js';

/** Promotes an instance without the coordinator, as an order that the platform performs late or a coordinator of a former build does, and lists the roles. */
async function promoteBehindCoordinator(cluster: TestCluster, instanceId: string): Promise<void> {
	const {database, store, time} = cluster;
	await database.promote({
		group: 'db', instanceId, holder: 'another', fencingToken: 1,
	});
	await time.advance(database.options.promoteMs + 1500);
	store.instances = database.createInstances();
}

// Guards against a group without writes for good: the instance that the open term names answers, if only that it is no primary, so that it never counted as failed.
test.serial('a term that is open with an instance that has become a replica is replaced', async t => {
	for (const isOtherDark of [false, true]) {
		const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
		const {database} = cluster;
		database.options.stepDownMs = 1000;
		await cluster.start();
		const callers = [...cluster.gateways.keys()].map(vm => cluster.openSession(vm, 'strict'));
		t.true(await isServed(cluster, callers, 1000));
		await promoteBehindCoordinator(cluster, 'db-2');
		// Where not all instances answer, the platform has to confirm the primary.
		database.instances[2]!.isDark = isOtherDark;
		t.is(database.instances[0]!.role, 'replica');
		t.true(await isServed(cluster, callers, isOtherDark ? 6500 : 3500));
		t.is(cluster.getTermRow().primaryId, 'db-2');
		t.is(database.promotions.length, 1);
		cluster.stop();
	}
});

test.serial('a primary whose entry still names it a replica stays the primary, and is asked in intervals only', async t => {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	const {database, store, time} = cluster;
	await cluster.start();
	const callers = [...cluster.gateways.keys()].map(vm => cluster.openSession(vm, 'strict'));
	store.instances = store.instances.map(instance => ({...instance, reportedRole: 'replica' as const}));
	await time.advance(1500);
	const askedBefore = database.arrivals.filter(({kind}) => kind === 'control-status').length;
	await time.advance(5000);
	t.true(database.arrivals.filter(({kind}) => kind === 'control-status').length - askedBefore <= 11);
	t.true(await isServed(cluster, callers, 500));
	t.is(database.promotionRequests.length, 0);
	cluster.stop();
});

test.serial('a primary whose entry still names it a replica is not replaced because the coordinator alone does not reach it', async t => {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	const {database, store, time} = cluster;
	await cluster.start();
	const others = [...cluster.gateways.keys()].filter(vm => vm !== cluster.getCoordinator()).map(vm => cluster.openSession(vm, 'strict'));
	store.instances = store.instances.map(instance => ({...instance, reportedRole: 'replica' as const}));
	database.unreachablePairs.add(`${cluster.getCoordinator()} db-1`);
	for (let round = 0; round < 6; round++) {
		t.true(await isServed(cluster, others, 500));
		await time.advance(500);
	}

	t.is(database.promotionRequests.length, 0);
	t.is(cluster.getTermRow().primaryId, 'db-1');
	cluster.stop();
});
