import {type FakeDatabase} from '../fakes/fake-database.js';
import {TestCluster, type TestCaller} from '../fakes/test-cluster.js';
import {isServed, writeUntil} from './write-load.js';

/** A cluster in which the promotion of a successor has been ordered. */
export type FaultyPromotion = {
	readonly cluster: TestCluster;
	/** VM that gave the order. */
	readonly coordinator: string;
	/** A session on each of the other VMs. */
	readonly callers: readonly TestCaller[];
};

/**
 * Starts a cluster whose primary falls silent while promotion calls have a fault, and waits until one is sent.
 * @param lateMs - Time until a call with the fault `late` is performed, in milliseconds.
 */
export async function startFaultyPromotion(fault: FakeDatabase['promotionFault'], lateMs = 0): Promise<FaultyPromotion> {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	const {database} = cluster;
	Object.assign(database.options, {promoteMs: 600, stepDownMs: 1000});
	await cluster.start();
	const coordinator = cluster.getCoordinator();
	const callers = [...cluster.gateways.keys()].filter(vm => vm !== coordinator).map(vm => cluster.openSession(vm, 'strict'));
	await isServed(cluster, callers, 1000);
	database.promotionFault = fault;
	database.lateMs = lateMs;
	database.primary.isDark = true;
	await writeUntil(cluster, callers, 5000, () => database.heldOrders.size + database.promotionRequests.length > 0);
	return {cluster, coordinator, callers};
}
