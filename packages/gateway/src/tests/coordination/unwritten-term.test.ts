import test from 'ava';
import {TestCluster} from '../fakes/test-cluster.js';

/** Minimum interval between attempts to write a term, in milliseconds. */
const retryIntervalMs = 200;

const durationMs = 5000;

// Guards against a coordinator that calls the store in every tick, for each group, while the first term of a group is not written.
test.serial('a coordinator that fails to write the first term of a group tries again at intervals', async t => {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	const {store} = cluster;
	const write = store.write.bind(store);
	let attempts = 0;
	let isRefused = true;
	store.write = writes => {
		const isTerm = writes.some(({key}) => key === 'group/db');
		attempts += isTerm ? 1 : 0;
		return isTerm && isRefused ? {isApplied: false, version: 0} : write(writes);
	};

	await cluster.start();
	attempts = 0;
	await cluster.time.advance(durationMs);
	t.true(attempts > 0);
	t.true(attempts <= durationMs / retryIntervalMs, `${attempts} attempts in ${durationMs} ms`);
	isRefused = false;
	await cluster.time.advance(1000);
	t.is(cluster.getTermRow().primaryId, 'db-1');
	cluster.stop();
});
