import test from 'ava';
import {type FakeInstance} from '../fakes/fake-database.js';
import {statements, TestCluster, type TestCaller} from '../fakes/test-cluster.js';
import {isServed, writeUntil} from './write-load.js';

/** Returns the commits of an instance in a term after a time. */
function getCommits({events}: TestCluster['database'], {id}: FakeInstance, term: number, after: number) {
	return events.filter(({kind, at, instanceId, position}) => kind === 'commit' && instanceId === id && position.term === term && at > after);
}

async function startCluster(): Promise<TestCluster> {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	cluster.database.options.promoteMs = 600;
	cluster.database.options.stepDownMs = 1000;
	await cluster.start();
	return cluster;
}

/** Opens a session on each VM but one. */
function openSessions(cluster: TestCluster, excludedVm: string): TestCaller[] {
	return [...cluster.gateways.keys()].filter(vm => vm !== excludedVm).map(vm => cluster.openSession(vm, 'strict'));
}

/** Replaces the term row by the one that a coordinator of a former build would have left, which records no orders. */
function writeFormerRow(cluster: TestCluster, primaryId: string): void {
	const {version} = cluster.store.rows.get('group/db')!;
	const value = JSON.stringify({
		term: 1, primaryId, phase: 'closing', drainMs: 0,
	});
	cluster.store.rows.set('group/db', {key: 'group/db', value, version});
}

/**
 * Makes the primary silent, kills the coordinator after it has ordered a promotion, and makes the promoted instance silent when the former primary answers again.
 * @returns The former primary, the promoted instance, and the time from which the promotion was in effect.
 */
async function interruptPromotion(cluster: TestCluster, callers: readonly TestCaller[], coordinator: string): Promise<{readonly former: FakeInstance; readonly successor: FakeInstance; readonly promotedAt: number}> {
	const {database} = cluster;
	const former = database.primary;
	former.isDark = true;
	await writeUntil(cluster, callers, 5000, () => database.promotionRequests.length > 0);
	await cluster.time.advance(200);
	cluster.killVm(coordinator);
	await cluster.time.advance(300);
	await cluster.startVm(coordinator);
	while (database.promotions.length === 0) {
		await cluster.time.advance(5);
	}

	const promotedAt = cluster.time.now();
	const successor = database.primary;
	await cluster.time.advance(100);
	former.isDark = false;
	successor.isDark = true;
	return {former, successor, promotedAt};
}

for (const writer of ['the present build', 'a former build'] as const) {
	// Guards against writes to a former primary: a coordinator that resumed the change took the former primary's answer for proof that no promotion had been ordered.
	test.serial(`a former primary is not used again while the instance whose promotion was ordered does not answer, with a row of ${writer}`, async t => {
		const cluster = await startCluster();
		const {database} = cluster;
		const coordinator = cluster.getCoordinator();
		const callers = openSessions(cluster, coordinator);
		const {former, successor, promotedAt} = await interruptPromotion(cluster, callers, coordinator);
		if (writer === 'a former build') {
			writeFormerRow(cluster, former.id);
		}

		t.true(await isServed(cluster, callers, 8000));
		await writeUntil(cluster, callers, 1500, () => false);
		successor.isDark = false;
		await writeUntil(cluster, callers, 4000, () => false);
		t.is(getCommits(database, former, 1, promotedAt).length, 0, 'commits of the former primary in its former term');
		t.true(await isServed(cluster, callers, 3000));
		t.is(cluster.getTermRow().primaryId, database.primary.id);
		cluster.stop();
	});
}

// Guards against a needless change of primary, and against a wait for term leases, where the record shows that nothing was ordered.
test.serial('a former primary that answers again is used at once if the record has no order', async t => {
	const cluster = await startCluster();
	const {database} = cluster;
	const coordinator = cluster.getCoordinator();
	const callers = openSessions(cluster, coordinator);
	await isServed(cluster, callers, 1000);
	database.primary.isDark = true;
	const pendingWrites = callers.map(async caller => caller.send(statements.write));
	while (cluster.getTermRow().phase === 'open') {
		await cluster.time.advance(5);
	}

	cluster.killVm(coordinator);
	database.primary.isDark = false;
	await cluster.time.waitFor(Promise.all(pendingWrites));
	await cluster.startVm(coordinator);
	const startedAt = cluster.time.now();
	t.true(await isServed(cluster, callers, 3000));
	// The coordinator's own start, and its first answers to the other VMs; a closed term would be waited for 1.5 s longer.
	t.true(cluster.time.now() - startedAt < 1200, `${cluster.time.now() - startedAt} ms`);
	t.is(database.promotionRequests.length, 0);
	t.is(cluster.getTermRow().primaryId, 'db-1');
	cluster.stop();
});

// Guards against a group that stays without a primary because the record names an instance that never leads.
test.serial('a former primary is used again after orders without effect, once the platform has confirmed it', async t => {
	const cluster = await startCluster();
	const {database} = cluster;
	database.options.promoteMs = 1_000_000;
	const callers = openSessions(cluster, cluster.getCoordinator());
	database.primary.isDark = true;
	t.true(await writeUntil(cluster, callers, 5000, () => database.promotionRequests.length > 0));
	database.primary.isDark = false;
	// Two candidates for the time that a promotion may take each, and the confirmation.
	t.true(await isServed(cluster, callers, 14_000));
	t.is(database.promotionRequests.at(-1)!.instanceId, 'db-1');
	t.is(database.promotions.length, 0);
	cluster.stop();
});

// Guards against an order that nobody knows of after its coordinator has ended.
test.serial('an order is recorded before it is given, in a row that names no primary, so that a former build uses none that answers without a promotion', async t => {
	const cluster = await startCluster();
	const {database} = cluster;
	const callers = openSessions(cluster, cluster.getCoordinator());
	database.primary.isDark = true;
	await writeUntil(cluster, callers, 5000, () => database.promotionRequests.length > 0);
	const order = {instanceId: database.promotionRequests[0]!.instanceId, instanceTerm: 1};
	t.deepEqual(cluster.getTermRow() as unknown, {
		term: 1, primaryId: '', phase: 'closing', drainMs: 0, promotion: {token: 1, formerPrimaryId: 'db-1', order},
	});
	cluster.stop();
});

// Guards against the same inference where the store has no row of the group, because it returned from a copy that is older than the row.
test.serial('a group without a row does not open with a primary that answers while an instance that may lead a later term does not', async t => {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	const {database} = cluster;
	const [former, promoted] = database.instances as [FakeInstance, FakeInstance];
	database.options.stepDownMs = 1000;
	database.term = 2;
	Object.assign(promoted, {role: 'primary', term: 2, position: {term: 2, offset: 0}});
	promoted.isDark = true;
	await cluster.start();
	const callers = [...cluster.gateways.keys()].map(vm => cluster.openSession(vm, 'strict'));
	t.true(await isServed(cluster, callers, 5000));
	promoted.isDark = false;
	await writeUntil(cluster, callers, 2000, () => false);
	t.is(getCommits(database, former, 1, 0).length, 0, 'commits of the former primary in its former term');
	t.is(cluster.getTermRow().primaryId, database.primary.id);
	cluster.stop();
});

// Guards against a coordinator of a former build that opens the group with an instance whose successor was ordered and does not answer: it takes any later term than that of the row.
test.serial('a row with an order states the newest term that an instance had before it', async t => {
	const cluster = await startCluster();
	const {database} = cluster;
	const callers = openSessions(cluster, cluster.getCoordinator());
	database.instances[2]!.term = 4;
	database.primary.isDark = true;
	t.true(await writeUntil(cluster, callers, 5000, () => database.promotionRequests.length > 0));
	t.is(cluster.getTermRow().term, 4);
	cluster.stop();
});

test.serial('a group of one instance opens once others have had time to register, without an order', async t => {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	const {database, time} = cluster;
	database.instances.splice(1);
	await cluster.start();
	await time.advance(1500);
	t.is(cluster.getTermRow().phase, 'open');
	t.true(await isServed(cluster, [cluster.openSession('vm1', 'strict')], 500));
	t.is(database.promotionRequests.length, 0);
	cluster.stop();
});
