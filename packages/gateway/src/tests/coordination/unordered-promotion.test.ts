import test from 'ava';
import {type FakeDatabase, type FakeInstance} from '../fakes/fake-database.js';
import {statements, type TestCaller, TestCluster} from '../fakes/test-cluster.js';
import {startFaultyPromotion} from './faulty-promotion.js';
import {findFormerWrites} from './former-writes.js';

/** Maximum time until writes are served again after a promotion that no coordinator ordered, in milliseconds: a change of primary without an answer of every instance. */
const recoveryMs = 6000;

/** A load whose acknowledged writes are recorded. */
class RecordedLoad {
	readonly acknowledged = new Set<string>();

	constructor(private readonly cluster: TestCluster, private readonly callers: readonly TestCaller[]) {}

	/** Writes for a time, in milliseconds, while the entries of the instances follow their roles and states. */
	async run(ms: number, listsInstance: (instance: FakeInstance) => boolean = () => true): Promise<void> {
		const {cluster} = this;
		const {time, store, database} = cluster;
		const deadline = time.now() + ms;
		const running = this.callers.map(async caller => {
			while (time.now() < deadline) {
				const answer = await caller.send(statements.write);
				if (answer.result.kind === 'completed') {
					this.acknowledged.add(caller.requestId);
				}

				await new Promise(resolve => {
					setTimeout(resolve, 15);
				});
			}
		});
		while (time.now() < deadline) {
			const listed = new Set(database.instances.filter(instance => listsInstance(instance)).map(({id}) => id));
			store.instances = database.createInstances().filter(({id}) => listed.has(id));
			await time.advance(5);
		}

		await time.waitFor(Promise.all(running));
	}

	/** Returns whether a write that was committed after a time was acknowledged. */
	hasServedSince(time: number): boolean {
		return this.cluster.database.events.some(({kind, at, requestId}) => kind === 'commit' && at > time && this.acknowledged.has(requestId));
	}
}

/** Runs the load until writes are served again after the newest promotion. */
async function checkOutcome(t: {deepEqual: (actual: unknown, expected: unknown) => unknown; true: (actual: unknown, message?: string) => unknown; is: (actual: unknown, expected: unknown) => unknown}, cluster: TestCluster, load: RecordedLoad): Promise<void> {
	const {database} = cluster;
	await load.run(recoveryMs);
	const checkedAt = cluster.time.now();
	await load.run(1000);
	t.deepEqual(findFormerWrites(database, load.acknowledged), []);
	t.true(load.hasServedSince(checkedAt), 'writes are served again');
	t.is(cluster.getTermRow().primaryId, database.primary.id);
}

/** States of the ordered instance while another one is promoted, and when the order is delivered. */
const ordered: Readonly<Record<string, {readonly leave: (instance: FakeInstance, database: FakeDatabase) => void; readonly isListed: boolean; readonly comeBack: (instance: FakeInstance, database: FakeDatabase) => void}>> = {
	'is ready again': {
		leave(instance) {
			instance.isDark = true;
		}, isListed: true, comeBack(instance) {
			instance.isDark = false;
		},
	},
	drains: {
		leave(instance) {
			instance.state = 'draining';
		}, isListed: true, comeBack() {
			// It goes on draining.
		},
	},
	'runs without an entry': {
		leave(instance) {
			instance.isDark = true;
		}, isListed: false, comeBack(instance) {
			instance.isDark = false;
		},
	},
	'has started again': {
		leave(instance) {
			instance.crash();
		}, isListed: true, comeBack(instance) {
			instance.restartEmpty();
		},
	},
	'has crashed and is back': {
		leave(instance) {
			instance.crash();
		}, isListed: true, comeBack(instance) {
			instance.restart();
		},
	},
};

for (const [state, {leave, isListed, comeBack}] of Object.entries(ordered)) {
	// Guards against writes that are acknowledged at a primary after an order of a former coordinator has arrived and promoted another instance.
	test.serial(`an order of a coordinator that was killed is delivered after its successor's, to an instance that ${state}`, async t => {
		const {cluster, coordinator, callers} = await startFaultyPromotion('held');
		const {database, time} = cluster;
		const instance = database.instances.find(({id}) => id === [...database.heldOrders][0]!.request.instanceId)!;
		const load = new RecordedLoad(cluster, callers);
		cluster.killVm(coordinator);
		database.promotionFault = 'none';
		leave(instance, database);
		const isNamed = (other: FakeInstance) => isListed || other !== instance;
		await load.run(14_000, isNamed);
		const servedAt = time.now();
		const {primary} = database;
		t.not(primary, instance);
		comeBack(instance, database);
		await load.run(2000, isNamed);
		t.true(load.hasServedSince(servedAt), 'writes are served at the successor');
		t.is(database.heldOrders.size, 1);
		database.deliverHeldOrders();
		await load.run(2000, isNamed);
		t.is(database.promotions.at(-1)!.instanceId, instance.id);
		await checkOutcome(t, cluster, load);
		cluster.stop();
	});
}

// Guards against writes that wait for an answer of an instance that is gone for good, each for as long as the question's timeout.
test.serial('an order for an instance that is gone does not delay writes', async t => {
	const {cluster, coordinator, callers} = await startFaultyPromotion('held');
	const {database} = cluster;
	const instance = database.instances.find(({id}) => id === [...database.heldOrders][0]!.request.instanceId)!;
	const load = new RecordedLoad(cluster, callers);
	cluster.killVm(coordinator);
	database.promotionFault = 'none';
	instance.isDark = true;
	await load.run(14_000, other => other !== instance);
	const count = load.acknowledged.size;
	await load.run(4000, other => other !== instance);
	// A caller sends up to 40 writes a second; with a question before and after each write it would be two.
	t.true(load.acknowledged.size - count > 120, `${load.acknowledged.size - count} writes`);
	cluster.stop();
});

// Guards against the same where the instance has been the primary meanwhile, by a repeated order, and was replaced since.
test.serial('an order without an answer is performed after its instance was promoted by a repetition and replaced', async t => {
	const {cluster, callers} = await startFaultyPromotion('late', 14_000);
	const {database, time} = cluster;
	const instance = database.instances.find(({id}) => id === database.promotionRequests[0]!.instanceId)!;
	const load = new RecordedLoad(cluster, callers);
	database.promotionFault = 'none';
	await load.run(5000);
	t.is(database.primary, instance);
	instance.state = 'draining';
	for (const {id} of database.instances.filter(({role}) => role === 'replica')) {
		database.instances.find(other => other.id === id)!.isDark = false;
	}

	await load.run(4000);
	t.not(database.primary, instance);
	const servedAt = time.now();
	const promotionCount = database.promotions.length;
	await load.run(7000);
	t.true(load.hasServedSince(servedAt));
	t.true(database.promotions.length > promotionCount);
	await checkOutcome(t, cluster, load);
	cluster.stop();
});

// Guards against a group that is written to at its old primary for as long as that does not know of its successor, where nobody of the VMs has ordered the promotion.
test.serial('a promotion that no VM has ordered is found by the entry of its instance', async t => {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	const {database, time} = cluster;
	Object.assign(database.options, {promoteMs: 600, stepDownMs: 20_000});
	await cluster.start();
	const load = new RecordedLoad(cluster, [...cluster.gateways.keys()].map(vm => cluster.openSession(vm, 'strict')));
	await load.run(1000);
	void database.promote({
		group: 'db', instanceId: 'db-2', holder: 'another', fencingToken: 1,
	});
	await load.run(600);
	const promotedAt = time.now();
	// The entry is read within its poll interval, and reported with the next heartbeat at the latest.
	await load.run(1800);
	const noticedAt = time.now();
	await load.run(recoveryMs);
	t.deepEqual(database.events.filter(({kind, at, position}) => kind === 'commit' && position.term === 1 && at > noticedAt), []);
	t.true(load.hasServedSince(promotedAt + 1800));
	t.is(cluster.getTermRow().primaryId, 'db-2');
	cluster.stop();
});
