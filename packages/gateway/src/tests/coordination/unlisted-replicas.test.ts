import test, {type ExecutionContext} from 'ava';
import {findLostCommits} from './lost-commits.js';
import {SynchronousCluster} from './synchronous-cluster.js';

/** Time within which an instance is promoted where another one left in order and it has every commit, in milliseconds. */
const orderlyRecoveryMs = 10_000;

/** Time within which writes are served again once the instance with every commit is listed, in milliseconds: what the deployments state for a recovery. */
const recoveryMs = 12_000;

/** Ways in which the replica that receives every commit leaves the list and goes on receiving; each returns how it comes back. */
const departures: Readonly<Record<string, (run: SynchronousCluster) => Promise<() => void>>> = {
	async 'draining, since the store does not hear it'(run) {
		const [, synchronized] = run.instances;
		synchronized.state = 'draining';
		run.list();
		await run.cluster.time.advance(1500);
		run.list(instance => instance !== synchronized);
		return () => {
			run.list();
		};
	},
	async 'ready, since the store does not hear it'(run) {
		const [, synchronized] = run.instances;
		run.list(instance => instance !== synchronized);
		return () => {
			run.list();
		};
	},
	async 'ready in an evacuated zone, since the store does not hear it'(run) {
		const {cluster, instances: [, synchronized]} = run;
		synchronized.zone = 'b';
		run.list();
		await cluster.time.advance(1500);
		cluster.store.setEvacuated('b', true);
		await cluster.time.advance(1500);
		run.list(instance => instance !== synchronized);
		return () => {
			cluster.store.setEvacuated('b', false);
			run.list();
		};
	},
	async 'since its entry names another group'(run) {
		const {cluster: {store}, instances: [, synchronized]} = run;
		synchronized.state = 'draining';
		run.list();
		await run.cluster.time.advance(1500);
		store.instances = store.instances.map(instance => instance.id === synchronized.id ? {...instance, group: 'another'} : instance);
		return () => {
			run.list();
		};
	},
};

/** Changes of the coordinator while the replica is not listed. */
const successions: Readonly<Record<string, (run: SynchronousCluster) => Promise<void>>> = {
	async 'the same coordinator'() {
		// Nothing happens.
	},
	'the coordinator is killed': async run => run.restartVms([run.cluster.getCoordinator()]),
	'all VMs are killed': async run => run.restartVms(['vm1', 'vm2', 'vm3']),
};

/** Has the replica that receives every commit drain, end and leave the list. */
async function leaveInOrder(run: SynchronousCluster): Promise<void> {
	const {cluster: {time}, instances: [, synchronized]} = run;
	synchronized.state = 'draining';
	run.list();
	await time.advance(3000);
	synchronized.crash();
	run.list();
	await time.advance(3000);
}

/** Checks that the remaining instance is promoted in time, and serves once a replica receives its commits. */
async function checkOrderlyRecovery(t: ExecutionContext, run: SynchronousCluster): Promise<void> {
	const {cluster: {time}, database, instances: [primary]} = run;
	const deadline = time.now() + orderlyRecoveryMs;
	while (database.promotions.length === 0 && time.now() < deadline) {
		await time.advance(50);
	}

	t.is(database.promotions.length, 1, 'the remaining instance is promoted');
	primary.restart();
	run.list();
	t.true(await run.isServed(recoveryMs), 'writes are served again');
}

for (const [departure, leave] of Object.entries(departures)) {
	for (const [succession, succeed] of Object.entries(successions)) {
		// Guards against a replica that counts as drained when its entry is gone: it may receive and acknowledge every commit as long as it runs.
		test.serial(`the replica that receives every commit is not listed, ${departure}; ${succession}`, async t => {
			const run = new SynchronousCluster();
			await run.start();
			const [primary, , lagging] = run.instances;
			const {time} = run.cluster;
			const comeBack = await leave(run);
			await time.advance(2000);
			await succeed(run);
			await time.advance(4000);
			lagging.isDeaf = true;
			await time.advance(300);
			primary.crash();
			await time.advance(5000);
			t.is(run.database.promotions.length, 0, 'nothing is promoted while the replica with every commit is not listed');
			comeBack();
			lagging.isDeaf = false;
			t.true(await run.isServed(recoveryMs), 'writes are served again');
			t.deepEqual(findLostCommits(run.database, run.acknowledged).slice(0, 3), []);
			await run.stop();
		});
	}
}

for (const [succession, succeed] of Object.entries(successions)) {
	// Guards against a group that waits for a replica which has left in order, although the other one has every commit.
	test.serial(`a replica left in order, and the primary crashes; ${succession}`, async t => {
		const run = new SynchronousCluster();
		await run.start();
		const [primary] = run.instances;
		await leaveInOrder(run);
		await succeed(run);
		await run.cluster.time.advance(4000);
		primary.crash();
		await checkOrderlyRecovery(t, run);
		t.deepEqual(findLostCommits(run.database, run.acknowledged).slice(0, 3), []);
		await run.stop();
	});

	// Guards against the same where the coordinator ends together with the primary, so that the next one has seen neither of them leave.
	test.serial(`a replica left in order, and the primary crashes with VMs; ${succession}`, async t => {
		const run = new SynchronousCluster();
		await run.start();
		const [primary] = run.instances;
		await leaveInOrder(run);
		primary.crash();
		await succeed(run);
		await checkOrderlyRecovery(t, run);
		t.deepEqual(findLostCommits(run.database, run.acknowledged).slice(0, 3), []);
		await run.stop();
	});
}

// Guards against a wait for a replica that left in order while nothing was written, so that no statement states a position after it.
test.serial('a replica leaves an idle group in order, and the primary crashes', async t => {
	const run = new SynchronousCluster();
	await run.start();
	const [primary, synchronized] = run.instances;
	const {time} = run.cluster;
	run.pause();
	await time.advance(1000);
	synchronized.state = 'draining';
	run.list();
	await time.advance(8000);
	synchronized.crash();
	run.list();
	await time.advance(8000);
	primary.crash();
	run.resume();
	await checkOrderlyRecovery(t, run);
	t.deepEqual(findLostCommits(run.database, run.acknowledged).slice(0, 3), []);
	await run.stop();
});

// Guards against a wait for a replica that has stated its log since the term closed, and ends before another one is promoted.
test.serial('a replica leaves in order while a change of primary waits', async t => {
	const run = new SynchronousCluster();
	await run.start();
	const [primary, synchronized, lagging] = run.instances;
	const {time} = run.cluster;
	synchronized.state = 'draining';
	run.list();
	await time.advance(1500);
	lagging.isDark = true;
	primary.crash();
	synchronized.isDeaf = true;
	run.database.promotionFault = 'busy';
	await time.advance(2500);
	synchronized.crash();
	run.database.promotionFault = 'none';
	run.list();
	await time.advance(1000);
	lagging.isDark = false;
	await checkOrderlyRecovery(t, run);
	t.deepEqual(findLostCommits(run.database, run.acknowledged).slice(0, 3), []);
	await run.stop();
});
