import test from 'ava';
import {type TestCluster} from '../fakes/test-cluster.js';
import {startFaultyPromotion} from './faulty-promotion.js';
import {isServed, writeUntil} from './write-load.js';

/** Returns the fencing tokens of the orders that arrived with a lower one than an earlier order. */
function findOutdatedTokens({database: {promotionRequests}}: TestCluster): number[] {
	return promotionRequests.flatMap(({fencingToken}, index) => promotionRequests.slice(0, index).some(other => other.fencingToken > fencingToken) ? [fencingToken] : []);
}

// Guards against an order of a former coordinator that arrives after those of the next one: the lease was given up while the answer was awaited.
for (const shutdownAfterMs of [100, 700, 1300, 1900]) {
	test.serial(`an order that is under way is taken back when the coordinator shuts down, ${shutdownAfterMs} ms after the first one`, async t => {
		const {cluster, coordinator, callers} = await startFaultyPromotion('held');
		const {database} = cluster;
		await cluster.time.advance(shutdownAfterMs);
		void cluster.getGateway(coordinator).gateway.drain({graceMs: 4000, rotationMs: 500});
		while (cluster.getCoordinator() === coordinator) {
			await cluster.time.advance(5);
		}

		t.is(cluster.getCoordinator(), '');
		t.deepEqual([...database.heldOrders].filter(({request}) => request.fencingToken === 1), []);
		t.true(await writeUntil(cluster, callers, 8000, () => [...database.heldOrders].some(({request}) => request.fencingToken === 2)));
		database.promotionFault = 'none';
		database.deliverHeldOrders();
		t.true(await isServed(cluster, callers, 4000));
		t.deepEqual(findOutdatedTokens(cluster), []);
		cluster.stop();
	});
}

// Guards against a coordinator that takes the order of a former one for settled, because it has taken effect once, although it was given twice.
test.serial('an order without an answer is recorded as pending before it is repeated', async t => {
	const {cluster, callers} = await startFaultyPromotion('held');
	const {database, store} = cluster;
	const {request} = [...database.heldOrders][0]!;
	t.true(await writeUntil(cluster, callers, 3000, () => database.heldOrders.size > 0 && ![...database.heldOrders].some(order => order.request === request)));
	const row = JSON.parse(store.rows.get('group/db')!.value) as {promotion: {order: {instanceId: string}}; pendingOrders?: unknown};
	t.is(row.promotion.order.instanceId, request.instanceId);
	t.deepEqual(row.pendingOrders, [{instanceId: request.instanceId, address: `${request.instanceId}:1`}]);
	cluster.stop();
});

// Guards against the same where the lease runs out: no order is awaited for longer than the lease lasts.
test.serial('an order is given up at the latest when the lease ends', async t => {
	const {cluster, coordinator, callers} = await startFaultyPromotion('busy');
	const {database, store} = cluster;
	const orderedAt = cluster.time.now();
	store.faultsByVm.set(coordinator, 'silent');
	await writeUntil(cluster, callers, 3600, () => false);
	database.promotionFault = 'held';
	t.true(await writeUntil(cluster, callers, 500, () => database.heldOrders.size > 0));
	// The lease was renewed at the latest by the write that recorded the order.
	await writeUntil(cluster, callers, orderedAt + 6000 - cluster.time.now(), () => false);
	t.is([...database.heldOrders].filter(({request}) => request.holder === coordinator).length, 0);
	cluster.stop();
});
