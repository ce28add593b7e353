import {comparePositions} from '@chicorysaddle/model';
import test from 'ava';
import {createRandom} from '../fakes/seeded-random.js';
import {
	createConfiguration, statements, TestCluster, type TestCaller,
} from '../fakes/test-cluster.js';

const {read, write, begin, beginRead, commit} = statements;
const groups = ['db', 'other', 'third'];

/** Replication lag, in milliseconds: within the staleness that the route accepts, so that replicas serve its reads. */
const lagMs = 2000;

/** Time within which the VMs apply a configuration, in milliseconds. */
const applyMs = 300;

/** A cluster with several groups, a session of a read-your-writes route, and other callers that make the positions of all groups known. */
class RouteCluster {
	readonly cluster = new TestCluster(['vm1', 'vm2', 'vm3'], {groups});
	session!: TestCaller;
	#version = 0;
	readonly #commits: Array<{readonly requestId: string; readonly at: number}> = [];

	/** @param offsets - Length of the log of each group at the start. */
	async start(offsets: readonly number[]): Promise<void> {
		for (const [index, database] of this.cluster.databases.entries()) {
			database.options.lagMs = lagMs;
			for (const instance of database.instances) {
				instance.position = {term: 1, offset: offsets[index]!};
			}
		}

		await this.cluster.start(this.#createConfiguration('db'));
		await this.warm();
		this.session = this.cluster.openSession('vm1', 'own');
	}

	/** Reads at all instances for longer than the staleness that the route accepts, so that replicas are connected and positions of that age are known. */
	async warm(): Promise<void> {
		for (let passedMs = 0; passedMs < 3500; passedMs += 250) {
			await this.readBeside(8);
			await this.cluster.time.advance(230);
		}
	}

	/** Lets other callers read at all groups, and the session once while they keep the primaries busy. */
	async readBeside(callerCount: number, session?: TestCaller): Promise<void> {
		const callers = groups.flatMap(group => Array.from({length: callerCount}, (_, index) => this.cluster.openSession('vm1', `${index % 4 === 0 ? 'strict' : 'bounded'}-${group}`)));
		await this.cluster.time.waitFor(Promise.all([...callers.map(async caller => caller.send(read)), session?.send(read)]));
		for (const caller of callers) {
			caller.disconnect();
		}
	}

	/** Moves the route of the session to a group. */
	async moveRoute(group: string): Promise<void> {
		this.cluster.store.setConfiguration(this.#createConfiguration(group));
		await this.cluster.time.advance(applyMs);
	}

	async write(): Promise<void> {
		const answer = await this.session.sendAndWait(write);
		this.recordCommit(answer.result.kind === 'completed');
	}

	/** Records that the latest request of the session was acknowledged as a commit. */
	recordCommit(isAcknowledged: boolean): void {
		if (isAcknowledged) {
			this.#commits.push({requestId: this.session.requestId, at: this.cluster.time.now()});
		}
	}

	/** Returns one line for each read of the session that ran on a log without an earlier commit of the session. */
	findStaleReads(): string[] {
		return this.cluster.databases.flatMap(({group, events}) => {
			const own = this.#commits.flatMap(({requestId, at}) => events.filter(event => event.kind === 'commit' && event.requestId === requestId).map(({position}) => ({position, at})));
			return events.filter(({kind, requestId}) => kind === 'read' && requestId.startsWith(`${this.session.requestId.split('-', 1)[0]!}-`)).flatMap(({requestId, at, position, instanceId}) => {
				const missing = own.find(written => written.at < at && comparePositions(written.position, position) > 0);
				return missing === undefined ? [] : [`${requestId} at ${instanceId} (${group}) ran at ${position.offset}, the session had committed ${missing.position.offset}`];
			});
		});
	}

	/** Counts the reads of the session that replicas of a group served. */
	countReplicaReads(group: string): number {
		return this.cluster.databases.find(database => database.group === group)!.events.filter(({kind, instanceId, requestId}) => kind === 'read' && instanceId !== `${group}-1` && requestId.startsWith(`${this.session.requestId.split('-', 1)[0]!}-`)).length;
	}

	#createConfiguration(group: string) {
		this.#version += 1;
		const route = {
			statementTimeoutMs: 800, targetLatencyMs: 200, priority: 1, allowsAnonymous: false,
		};
		return createConfiguration(this.#version, {
			routes: [
				{
					...route, name: 'own', database: 'own', group, consistency: 'read-your-writes', maxStalenessMs: 2500,
				},
				...groups.flatMap(name => [
					{
						...route, name: `strict-${name}`, database: `strict-${name}`, group: name, consistency: 'primary' as const, maxStalenessMs: 0,
					},
					{
						...route, name: `bounded-${name}`, database: `bounded-${name}`, group: name, consistency: 'bounded' as const, maxStalenessMs: 2500,
					},
				]),
			],
			groups: groups.map(name => ({name, maxConnections: 30, syncReplicas: 0})),
		});
	}
}

/** Steps of a session; any other step is the name of the group to which its route moves. */
const steps: Readonly<Record<string, (run: RouteCluster) => Promise<void>>> = {
	write: async run => run.write(),
	async begin(run) {
		await run.session.sendAndWait(begin);
		await run.session.sendAndWait(write);
	},
	async commit(run) {
		const answer = await run.session.sendAndWait(commit);
		run.recordCommit(answer.result.kind === 'completed');
	},
};

/** Ways in which a session commits in several groups before it reads in the first one, with the lengths of the logs at the start. */
const histories: Readonly<Record<string, {readonly offsets: readonly number[]; readonly play: readonly string[]}>> = {
	'the other log is shorter': {offsets: [100, 0, 0], play: ['write', 'other', 'write', 'db']},
	'the other log is longer': {offsets: [100, 5000, 0], play: ['write', 'other', 'write', 'db']},
	'the route has been to two other groups': {offsets: [100, 50, 0], play: ['write', 'other', 'write', 'third', 'write', 'db']},
	'a transaction commits after its route has moved': {offsets: [100, 0, 0], play: ['begin', 'other', 'commit', 'db']},
	'a transaction commits after its route has moved to a longer log': {offsets: [100, 5000, 0], play: ['begin', 'other', 'commit', 'write', 'db']},
	'a transaction commits in the other group after its route has moved back': {offsets: [100, 0, 0], play: ['write', 'other', 'begin', 'db', 'commit']},
};

for (const [name, {offsets, play}] of Object.entries(histories)) {
	// Guards against a position of one group's log being compared with those of another's, so that a read misses the session's own commit.
	test.serial(`a session whose route moved to other groups and back reads its own writes: ${name}`, async t => {
		const run = new RouteCluster();
		await run.start(offsets);
		for (const step of play) {
			await (steps[step]?.(run) ?? run.moveRoute(step));
		}

		for (let count = 0; count < 6; count++) {
			await run.readBeside(4, run.session);
		}

		await run.session.sendAndWait(beginRead);
		await run.session.sendAndWait(read);
		await run.session.sendAndWait(commit);
		run.cluster.stop();
		t.deepEqual(run.findStaleReads(), []);
	});
}

// Guards against reads that all go to the primary because they ask replicas for the position of another group's log.
test.serial('a session whose route was at a group with a longer log reads at replicas again once they have its commit', async t => {
	const run = new RouteCluster();
	await run.start([100, 5000, 0]);
	await run.write();
	await run.moveRoute('other');
	await run.write();
	await run.moveRoute('db');
	await run.cluster.time.advance(lagMs);
	await run.warm();
	for (let count = 0; count < 8; count++) {
		await run.readBeside(4, run.session);
	}

	run.cluster.stop();
	t.true(run.countReplicaReads('db') > 0);
	t.deepEqual(run.findStaleReads(), []);
});

// Guards against the same in any order of writes, reads and changes of the route.
for (const seed of [1, 2, 3, 4]) {
	test.serial(`a session reads its own writes wherever its route leads (seed ${seed})`, async t => {
		const random = createRandom(seed);
		const run = new RouteCluster();
		await run.start([100, 60, 5000]);
		const actions: ReadonlyArray<() => Promise<unknown>> = [
			async () => run.write(),
			async () => run.readBeside(4, run.session),
			async () => run.readBeside(4, run.session),
			async () => run.moveRoute(groups[Math.floor(random() * groups.length)]!),
			async () => run.cluster.time.advance(random() * 400),
		];
		for (let count = 0; count < 60; count++) {
			await actions[Math.floor(random() * actions.length)]!();
		}

		run.cluster.stop();
		t.deepEqual(run.findStaleReads().slice(0, 3), []);
	});
}
