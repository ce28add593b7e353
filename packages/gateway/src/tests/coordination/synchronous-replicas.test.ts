import test from 'ava';
import {findLostCommits} from './lost-commits.js';
import {SynchronousCluster} from './synchronous-cluster.js';

/** Time within which writes are served once what a change of primary waits for is there, in milliseconds: what the deployments state for a recovery. */
const recoveryMs = 12_000;

/** Ways in which the only replica that has all commits is not the first choice, or not there, while the primary is away; each returns once the group can be served again. */
const disruptions: Readonly<Record<string, (run: SynchronousCluster) => Promise<void>>> = {
	async 'it drains while the primary crashes'(run) {
		const [primary, synchronized, lagging] = run.instances;
		synchronized.state = 'draining';
		run.list();
		await run.loseLagging();
		primary.crash();
		await run.cluster.time.advance(4000);
		run.list();
		lagging.isDeaf = false;
	},
	async 'it is replaced by an instance at its address while the primary is gone'(run) {
		const [primary, synchronized, lagging] = run.instances;
		synchronized.state = 'draining';
		run.list();
		await run.loseLagging();
		primary.crash();
		synchronized.crash();
		run.list();
		await run.cluster.time.advance(5000);
		run.database.replace(synchronized);
		run.list();
		lagging.isDeaf = false;
	},
	async 'it is dark together with the primary'(run) {
		await run.loseLagging();
		await run.darkenHolders(3500);
		await run.returnHolders(1500);
	},
	async 'it is dark together with the primary, and their entries lapse'(run) {
		await run.loseLagging();
		await run.darkenHolders(9600);
		await run.returnHolders(0);
	},
	async 'it is dark when the primary crashes for good'(run) {
		const [primary, synchronized, lagging] = run.instances;
		await run.loseLagging();
		synchronized.isDark = true;
		primary.crash();
		run.list();
		await run.cluster.time.advance(6000);
		synchronized.isDark = false;
		lagging.isDeaf = false;
	},
	async 'it is dark and the coordinator is replaced meanwhile'(run) {
		await run.loseLagging();
		await run.darkenHolders(4100);
		await run.restartVms([run.cluster.getCoordinator()]);
		await run.returnHolders(6000);
	},
	async 'it is dark and all VMs are restarted meanwhile'(run) {
		await run.loseLagging();
		await run.darkenHolders(3700);
		await run.restartVms(['vm1', 'vm2', 'vm3']);
		await run.returnHolders(6000);
	},
	async 'it has no connection left when the primary crashes'(run) {
		const [primary, synchronized, lagging] = run.instances;
		await run.loseLagging();
		primary.crash();
		synchronized.maxConnections = 0;
		lagging.isDeaf = false;
		await run.cluster.time.advance(3000);
		synchronized.maxConnections = undefined;
		run.list();
	},
	async 'the primary drains and is in use until a replica receives its log'(run) {
		const [primary, synchronized, lagging] = run.instances;
		await run.loseLagging();
		synchronized.state = 'draining';
		primary.state = 'draining';
		run.list();
		await run.cluster.time.advance(3000);
		lagging.isDeaf = false;
	},
	async 'the primary restarts without its log'(run) {
		const [primary, synchronized, lagging] = run.instances;
		await run.loseLagging();
		synchronized.isDark = true;
		primary.crash();
		primary.restartEmpty();
		run.list();
		await run.cluster.time.advance(5000);
		synchronized.isDark = false;
		lagging.isDeaf = false;
	},
};

for (const [name, disrupt] of Object.entries(disruptions)) {
	// Guards against a promotion that takes the best instance that answers although another one may hold acknowledged commits.
	test.serial(`no acknowledged commit is lost where one replica has them all: ${name}`, async t => {
		const run = new SynchronousCluster();
		await run.start();
		await disrupt(run);
		t.true(await run.isServed(recoveryMs), 'served again');
		await run.cluster.time.advance(2000);
		t.true(await run.isServed(recoveryMs), 'served at the end');
		await run.stop();
		t.deepEqual(findLostCommits(run.database, run.acknowledged).slice(0, 3), []);
	});
}

// Guards against a group that stays without a primary because what it waits for is gone for good.
test.serial('a group is served again from what is left once the instances that had its commits have been away for long', async t => {
	const run = new SynchronousCluster();
	await run.start();
	const [primary, synchronized, lagging] = run.instances;
	await run.loseLagging();
	primary.crash();
	synchronized.crash();
	run.list();
	await run.cluster.time.advance(40_000);
	t.is(run.database.promotions.length, 0);
	run.database.options.syncReplicas = 0;
	t.true(await run.isServed(25_000 + recoveryMs));
	t.is(run.cluster.getTermRow().primaryId, lagging.id);
	t.is([...run.cluster.gateways.values()].reduce((count, {log}) => count + log.countEvents('promotion.incomplete'), 0), 1);
	await run.stop();
});

// Guards against a promotion that waits where a service does not ask for it.
test.serial('without synchronous replicas the best instance that answers is promoted at once', async t => {
	const run = new SynchronousCluster();
	await run.start(0);
	const [primary, synchronized] = run.instances;
	await run.loseLagging();
	primary.crash();
	synchronized.isDark = true;
	t.true(await run.isServed(3500));
	t.is(run.database.promotions.length, 1);
	await run.stop();
});

// Guards against a promotion that waits although the instances that answer show that nothing is missing.
test.serial('where all replicas answer, the one with all commits is promoted as fast as without synchronous replicas', async t => {
	const times = [];
	for (const syncReplicas of [0, 1]) {
		const run = new SynchronousCluster();
		await run.start(syncReplicas);
		run.instances[0].crash();
		const crashedAt = run.cluster.time.now();
		t.true(await run.isServed(4000));
		times.push(run.cluster.time.now() - crashedAt);
		await run.stop();
	}

	t.true(times[1]! <= times[0]! + 200, times.join(' '));
});

for (const [name, isListedStill] of [['is listed', true], ['was listed a moment ago', false]] as const) {
	// Guards against a promotion that waits for an entry of another writer, which names no instance of the group.
	test.serial(`an entry of another writer that ${name} does not delay a change of primary`, async t => {
		const run = new SynchronousCluster();
		await run.start();
		const {store, time} = run.cluster;
		const [own] = store.instances;
		const foreign = {
			...own!, id: 'foreign', address: 'foreign:1', reportedRole: 'replica' as const,
		};
		store.instances = [...store.instances, foreign];
		await time.advance(2500);
		run.instances[0].crash();
		run.list();
		store.instances = isListedStill ? [...store.instances, foreign] : store.instances;
		t.true(await run.isServed(4000));
		await run.stop();
		t.deepEqual(findLostCommits(run.database, run.acknowledged), []);
	});
}
