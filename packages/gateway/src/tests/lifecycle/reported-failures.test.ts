import test from 'ava';
import {
	createConfiguration, describeAnswer, statements, TestCluster, type TestCaller,
} from '../fakes/test-cluster.js';

const {read, write, begin, commit} = statements;
const timing = {graceMs: 6000, rotationMs: 2200};

/** Time from an answer to the caller's next statement, in milliseconds. */
const callerDelayMs = 6;

function countCommits(cluster: TestCluster): number {
	return cluster.database.events.filter(event => event.kind === 'commit').length;
}

test.serial('work at an instance that is slow to answer is neither started again nor given up', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const transaction = cluster.openSession('vm1', 'strict');
	await transaction.sendAndWait(begin);
	await transaction.sendAndWait(write);
	// Longer than the time after which an instance counts as silent.
	cluster.database.options.serviceMs = 600;
	const answers = await cluster.time.waitFor(Promise.all([transaction.send(write), cluster.openSession('vm1', 'strict').send(write), cluster.openSession('vm2', 'strict').send(write)]));
	t.deepEqual(answers.map(answer => answer.result.kind), ['completed', 'completed', 'completed']);
	t.is((await transaction.sendAndWait(commit)).result.kind, 'completed');
	t.is(countCommits(cluster), 3);
	t.is(cluster.database.primary.id, 'db-1');
	cluster.stop();
});

test.serial('a running write of a VM that the others do not hear for a second is answered, and runs once', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	const silent = ['vm1', 'vm2', 'vm3'].find(vm => vm !== cluster.getCoordinator())!;
	cluster.database.options.serviceMs = 500;
	const answer = cluster.openSession(silent, 'strict').send(write);
	cluster.network.isolatedVms.add(silent);
	cluster.store.faultsByVm.set(silent, 'silent');
	await cluster.time.advance(1000);
	cluster.network.isolatedVms.clear();
	cluster.store.faultsByVm.clear();
	t.is(describeAnswer(await cluster.time.waitFor(answer)), 'signed q1-1');
	t.is(countCommits(cluster), 1);
	cluster.stop();
});

test.serial('a hand-over of the coordinator during a planned change of primary orders one promotion, and tokens never fall', async t => {
	for (const delayMs of [0, 50, 150, 300, 500, 700]) {
		const cluster = new TestCluster();
		await cluster.start();
		cluster.store.instances = cluster.store.instances.map(instance => instance.id === 'db-1' ? {...instance, state: 'draining'} : instance);
		await cluster.time.advance(delayMs);
		const drained = cluster.getGateway(cluster.getCoordinator()).gateway.drain(timing);
		await cluster.time.advance(8000);
		await cluster.time.waitFor(drained);
		const tokens = cluster.database.promotionRequests.map(({fencingToken}) => fencingToken);
		t.deepEqual(tokens, tokens.toSorted((a, b) => a - b), `${delayMs} ms`);
		const holders = new Map(cluster.database.promotionRequests.map(({fencingToken, holder}) => [fencingToken, holder]));
		t.true(cluster.database.promotionRequests.every(({fencingToken, holder}) => holders.get(fencingToken) === holder), `${delayMs} ms`);
		t.is(cluster.database.promotions.length, 1, `${delayMs} ms`);
		cluster.stop();
	}
});

/** Sends writes one after another, on a new session whenever the former one was closed, until a VM rejects the session; returns the answers that never came. */
async function sendUntilRejected(cluster: TestCluster, vm: string, unanswered: Set<string>): Promise<void> {
	for (let caller: TestCaller | undefined; ;) {
		caller = caller === undefined || caller.isClosed ? cluster.openSession(vm, 'strict') : caller;
		if (caller.rejection !== undefined) {
			return;
		}

		const answer = caller.send(write);
		const id = caller.requestId;
		unanswered.add(id);
		await answer;
		unanswered.delete(id);
		await new Promise(resolve => {
			setTimeout(resolve, callerDelayMs);
		});
	}
}

test.serial('a planned stop under load answers every statement that was accepted', async t => {
	const cluster = new TestCluster();
	Object.assign(cluster.database.options, {slots: 4, queue: 40, serviceMs: 20});
	await cluster.start();
	const unanswered = new Set<string>();
	const callers = Array.from({length: 12}, async () => sendUntilRejected(cluster, 'vm1', unanswered));
	await cluster.time.advance(500);
	const drained = cluster.getGateway('vm1').gateway.drain(timing);
	await cluster.time.waitFor(drained);
	t.deepEqual([...unanswered], []);
	await cluster.time.waitFor(Promise.all(callers));
	cluster.stop();
});

test.serial('a VM that restarts while the store is away uses neither a key that was withdrawn nor an instance that left', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	t.is(cluster.openSession('vm1', 'strict', 'small').rejection, undefined);
	const restarting = ['vm1', 'vm2', 'vm3'].find(vm => vm !== cluster.getCoordinator())!;
	cluster.getGateway(restarting).gateway.stop();
	const {accounts} = createConfiguration(2);
	cluster.store.setConfiguration(createConfiguration(2, {accounts: accounts.filter(({name}) => name !== 'small')}));
	cluster.store.instances = cluster.store.instances.filter(({id}) => id !== 'db-3');
	await cluster.time.advance(3000);
	cluster.store.fault = 'busy';
	await cluster.startVm(restarting);
	const caller = await cluster.openSessionWhenReady(restarting, 'bounded');
	t.is(cluster.openSession(restarting, 'strict', 'small').rejection?.kind, 'unauthenticated');
	cluster.database.events.length = 0;
	for (let index = 0; index < 10; index++) {
		await caller.sendAndWait(read);
	}

	t.true(cluster.database.events.length >= 8);
	t.false(cluster.database.events.some(({instanceId}) => instanceId === 'db-3'));
	cluster.stop();
});

test.serial('after a lost answer a write is not run again, and its caller is told that the outcome is unknown', async t => {
	for (const error of ['lost-after', 'lost-before'] as const) {
		for (const kind of ['write', 'commit']) {
			const cluster = new TestCluster();
			await cluster.start();
			const caller = cluster.openSession('vm1', 'strict');
			if (kind === 'commit') {
				await caller.sendAndWait(begin);
				await caller.sendAndWait(write);
			}

			cluster.database.plannedErrors.push({kind, error});
			const answer = await caller.sendAndWait(kind === 'commit' ? commit : write);
			t.is(describeAnswer(answer), 'outcome-unknown', `${kind} ${error}`);
			await cluster.time.advance(2000);
			t.is(countCommits(cluster), error === 'lost-after' ? 1 : 0, `${kind} ${error}`);
			cluster.stop();
		}
	}
});
