import test from 'ava';
import {type TestCluster} from '../fakes/test-cluster.js';
import {startFaultyPromotion} from './faulty-promotion.js';
import {isServed, writeUntil} from './write-load.js';

/** Returns the commits of instances whose successor had taken effect before. */
function findFormerCommits({database: {events, promotions}}: TestCluster): string[] {
	return events.flatMap(({kind, instanceId, position, at}) => {
		const promotion = kind === 'commit' ? promotions.find(({term, at: promotedAt}) => term > position.term && promotedAt < at) : undefined;
		return promotion === undefined ? [] : [`${instanceId} in term ${position.term} ${at - promotion.at} ms after term ${promotion.term} had begun`];
	});
}

// Guards against writes at an instance that was promoted in place of one whose order the platform had not answered, and performs later.
test.serial('no write is acknowledged at an instance after an earlier order without an answer has taken effect', async t => {
	const {cluster, callers} = await startFaultyPromotion('late', 7000);
	const {database} = cluster;
	const ordered = database.promotionRequests[0]!.instanceId;
	await writeUntil(cluster, callers, 4500, () => false);
	database.promotionFault = 'none';
	t.true(await isServed(cluster, callers, 4000));
	await writeUntil(cluster, callers, 8000, () => false);
	t.deepEqual(findFormerCommits(cluster).slice(0, 3), []);
	t.is(database.primary.id, ordered);
	t.is(cluster.getTermRow().primaryId, ordered);
	cluster.stop();
});

// Guards against the same at the former primary, which is a candidate again once it answers.
test.serial('no write is acknowledged at the former primary after an order without an answer has taken effect', async t => {
	const {cluster, callers} = await startFaultyPromotion('late', 16_000);
	const {database} = cluster;
	const former = database.primary;
	const ordered = database.promotionRequests[0]!.instanceId;
	await writeUntil(cluster, callers, 6000, () => false);
	former.isDark = false;
	await writeUntil(cluster, callers, 4300, () => false);
	database.promotionFault = 'none';
	t.true(await isServed(cluster, callers, 6000));
	await writeUntil(cluster, callers, 14_000, () => false);
	t.deepEqual(findFormerCommits(cluster).slice(0, 3), []);
	t.is(cluster.getTermRow().primaryId, ordered);
	cluster.stop();
});

// Guards against a group that waits for an instance that the platform has said not to run.
test.serial('after a rejected repetition of an order another instance is promoted at once', async t => {
	const {cluster, callers} = await startFaultyPromotion('late', 7000);
	const {database} = cluster;
	const ordered = database.instances.find(({id}) => id === database.promotionRequests[0]!.instanceId)!;
	await cluster.time.advance(2000);
	ordered.crash();
	database.promotionFault = 'none';
	t.true(await isServed(cluster, callers, 2500));
	t.not(cluster.getTermRow().primaryId, ordered.id);
	await writeUntil(cluster, callers, 8000, () => false);
	t.deepEqual(findFormerCommits(cluster).slice(0, 3), []);
	cluster.stop();
});

// Guards against the same where the ordered instance does not answer for a while, so that another one is promoted meanwhile.
test.serial('no write is acknowledged at an instance after an order without an answer for one that was silent has taken effect', async t => {
	const {cluster, callers} = await startFaultyPromotion('late', 7000);
	const {database} = cluster;
	const ordered = database.instances.find(({id}) => id === database.promotionRequests[0]!.instanceId)!;
	ordered.isDark = true;
	await writeUntil(cluster, callers, 4500, () => false);
	database.promotionFault = 'none';
	await isServed(cluster, callers, 4000);
	ordered.isDark = false;
	await writeUntil(cluster, callers, 8000, () => false);
	const commits = findFormerCommits(cluster);
	cluster.stop();
	t.deepEqual(commits.slice(0, 3), []);
});
