import process from 'node:process';
import {mock} from 'node:test';
import test from 'ava';
import {type GatewayConfiguration} from '../../configuration/index.js';
import {type Instance} from '../../instances/index.js';
import {type Statement} from '../../statements/index.js';
import {measureCollections} from '../fakes/collection-sizes.js';
import {FakeInstance} from '../fakes/fake-database.js';
import {createRandom} from '../fakes/seeded-random.js';
import {createConfiguration, statements, TestCluster} from '../fakes/test-cluster.js';

/** VM that runs all the time and is measured. */
const measuredVm = 'vm1';

/** Number of other VMs. */
const otherVmCount = 3;

/** Number of accounts that are added in each round and dropped in the next one. */
const addedAccountCount = 10;

/** Number of instances that register themselves in each round and leave in the next one, in each group. */
const addedInstanceCount = 2;

/** Duration of a round, in milliseconds. */
const roundMs = 8000;

/** Number of rounds before the first measurement: what is kept for a limited time or in a limited number has reached its size. */
const earlyRoundCount = 16;

/** Number of rounds between the measurements. */
const roundCount = Number(process.env.ROUNDS ?? 16);

/** Number of items by which a collection differs by the load of the moment only: one for each round of the default run. */
const minGrowth = 16;

/** Ratio of a late to an early size that differs by the load of the moment only; what is kept from every round since the start grows more. */
const maxFluctuation = 1.25;

/** Collections that keep a limited number of items, with the limit. */
const limits: ReadonlyMap<string, number> = new Map([
	['RemoteSessions.#sessions', 256 * (1 + otherVmCount)],
	['RemoteSession.#values', 256 * (1 + otherVmCount)],
	// One complete heartbeat of each VM, with the usage of the accounts of a window.
	['MemberState.heartbeat{}[]', (1 + otherVmCount) * 2 * addedAccountCount * 3],
	['MemberState.heartbeat{}[][]', (1 + otherVmCount) * 2 * addedAccountCount * 3 * 51],
	// Positions of 5 s, 20 ms apart, of two groups; each has two fields, and so has its position.
	['PositionHistory.#samples', 2 * 251],
	['PositionHistory.#samples[]{}', 2 * 251 * 2],
	['PositionHistory.#samples[]{}{}', 2 * 251 * 2],
	['MemberFeed.#removals', 64],
	['ReturnSchedule.#schedules', 256],
	['ReturnSchedule.#schedules[]{}', 256 * 122],
	['EventLog.#loggedIdentities', 1000],
	['GatewayMetrics.#pendingDurations', 5000],
]);

/** A deployment in which everything but its load changes. */
type ChurnRun = {
	readonly cluster: TestCluster;
	readonly random: () => number;
	/** Whether the oldest of the other VMs is replaced in each round. */
	readonly isReplacing: boolean;
	readonly otherVms: string[];
	round: number;
	/** Calls for random numbers, which the mock records. */
	readonly randomCalls: {resetCalls: () => void};
};

async function wait(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Creates a configuration with a group whose connections are plenty, one where they are scarce, and accounts of a round. */
function createRoundConfiguration(round: number): GatewayConfiguration {
	const {routes, accounts} = createConfiguration(round + 1);
	return createConfiguration(round + 1, {
		routes: [...routes, ...routes.map(route => ({
			...route, name: `scarce-${route.name}`, database: `scarce-${route.database}`, group: 'scarce',
		}))],
		groups: [{name: 'db', maxConnections: 30, coldPerS: 5}, {name: 'scarce', maxConnections: 3}],
		accounts: [...accounts, ...Array.from({length: addedAccountCount}, (_, index) => ({
			name: `account-${round}-${index}`, keyDigests: [`key-${round}-${index}`], priority: index % 3, ratePerS: index % 2 === 0 ? 100 : 1, burst: 2,
		}))],
	});
}

/** Replaces the instances that were added in the last round by new ones. */
function replaceInstances({cluster: {store, databases}, round}: ChurnRun): void {
	for (const {instances} of databases) {
		for (const instance of instances.splice(3)) {
			instance.crash();
		}
	}

	for (const database of databases) {
		const {instances, primary} = database;
		for (let index = 0; index < addedInstanceCount; index++) {
			const instance = new FakeInstance(`${database.group}-${round}-${index}`, database);
			Object.assign(instance, {term: database.term, position: primary.position});
			instances.push(instance);
		}
	}

	store.instances = databases.flatMap(database => database.createInstances()).map((instance, index): Instance => ({
		...instance, address: `${instance.id}:${round}`, zone: instance.id.includes(`-${round}-`) ? `zone-${round}` : instance.zone, state: index % 4 === 3 ? 'draining' : 'ready', ...(instance.id.includes(`-${round}-`) && {coldRemainingMs: 60_000}),
	}));
}

/** Calls through sessions of an account on a VM; some sessions end within a transaction. */
async function runCaller({cluster, round, random}: ChurnRun, vm: string, key: string): Promise<void> {
	const script: readonly Statement[] = [
		{
			kind: 'prepare', text: 'PREPARE', name: `p-${round}`, access: 'read', shape: `read-${round}`,
		},
		{
			kind: 'set', text: 'SET', name: `n-${round}`, value: key,
		},
		statements.read,
		{
			kind: 'execute', text: 'EXECUTE', name: `p-${round}`, parameters: '',
		},
		statements.write,
		statements.read,
		statements.begin,
		statements.write,
		statements.commit,
		statements.begin,
		statements.read,
	];
	for (const database of ['own', 'bounded', 'scarce-strict', 'scarce-own', 'none']) {
		if (!cluster.gateways.has(vm)) {
			return;
		}

		const caller = cluster.openSession(vm, database, key);
		const length = Math.ceil(random() * script.length);
		for (const statement of caller.rejection === undefined ? script.slice(0, length) : []) {
			const answer = await Promise.race([caller.send(statement), wait(2000)]);
			if (answer === undefined || caller.isClosed) {
				break;
			}
		}

		caller.disconnect();
		await wait(100);
	}
}

/** Troubles of which one occurs in a round, in turn. */
const troubles: ReadonlyArray<(run: ChurnRun) => Promise<void>> = [
	async () => undefined,
	async ({cluster: {store}}) => {
		store.fault = 'silent';
		await wait(2500);
		store.fault = 'none';
	},
	async ({cluster: {databases}}) => {
		await Promise.all(databases.map(async ({primary}) => {
			primary.crash();
			await wait(4000);
			primary.restart();
		}));
	},
	async ({cluster: {network}}) => {
		network.isolatedVms.add(measuredVm);
		await wait(3000);
		network.isolatedVms.delete(measuredVm);
	},
	async ({cluster: {store}, round}) => {
		store.setEvacuated(`zone-${round}`, true);
		await wait(3000);
		store.setEvacuated(`zone-${round}`, false);
	},
	async ({cluster: {store}}) => {
		store.fault = 'busy';
		await wait(2500);
		store.fault = 'none';
	},
	async ({cluster: {database}}) => {
		const instance = database.instances.at(-1)!;
		instance.isDark = true;
		await wait(3000);
		instance.isDark = false;
	},
	async ({cluster}) => {
		const copy = cluster.store.takeCopy();
		await wait(2000);
		cluster.store.restore(copy);
	},
];

async function replaceVm({cluster, isReplacing, otherVms, round}: ChurnRun): Promise<void> {
	const vm = `vm-${round}`;
	if (!isReplacing && otherVms.length === otherVmCount) {
		return;
	}

	if (otherVms.length === otherVmCount) {
		cluster.killVm(otherVms.shift()!);
	}

	otherVms.push(vm);
	await cluster.startVm(vm);
}

/** Forgets what the fakes recorded. */
function clearRecords({randomCalls, cluster: {log, network, databases}}: ChurnRun): void {
	randomCalls.resetCalls();
	log.events.length = 0;
	network.kinds.length = 0;
	for (const {events, arrivals, positionedStatements, promotionRequests, promotions} of databases) {
		for (const records of [events, arrivals, positionedStatements, promotionRequests, promotions]) {
			records.length = 0;
		}
	}
}

async function runRound(run: ChurnRun): Promise<void> {
	const {cluster, otherVms} = run;
	run.round += 1;
	cluster.store.setConfiguration(createRoundConfiguration(run.round));
	replaceInstances(run);
	await replaceVm(run);
	await cluster.time.advance(500);
	const keys = ['small', 'large', `unknown-${run.round}`, ...Array.from({length: addedAccountCount}, (_, index) => `key-${run.round}-${index}`)];
	const running = Promise.all([
		troubles[run.round % troubles.length]!(run),
		...keys.flatMap((key, index) => [measuredVm, otherVms[index % otherVms.length]!].map(async vm => runCaller(run, vm, key))),
	]);
	const startedAt = cluster.time.now();
	await cluster.time.waitFor(running, 60_000);
	await cluster.time.advance(Math.max(0, roundMs - (cluster.time.now() - startedAt)));
	cluster.network.closeHalfOpenLinks();
	clearRecords(run);
}

/** Returns the sizes of the collections of the measured VM. */
function measureVm({cluster}: ChurnRun): Map<string, number> {
	const {gateway} = cluster.getGateway(measuredVm);
	return measureCollections(gateway, value => /^(?:Fake|LogSink|Timeout|VirtualTime|TestCluster)/v.test((value as {constructor?: {name: string}}).constructor?.name ?? ''));
}

test.afterEach.always(() => {
	mock.restoreAll();
});

function sum(numbers: Iterable<number>): number {
	return [...numbers].reduce((total, number) => total + number, 0);
}

/** Kinds of deployments: whether the VMs beside the measured one are replaced. */
const deployments = {
	'VMs that are replaced': true,
	'VMs that stay': false,
} as const;

// Guards against memory that grows with what was there once: accounts, sessions, instances, VMs, configurations and changes of primary.
for (const [name, isReplacing] of Object.entries(deployments)) {
	test.serial(`what a VM keeps does not grow while accounts, sessions and instances come and go, beside ${name}`, async t => {
		const {mock: randomCalls} = mock.method(Math, 'random', createRandom(1));
		const cluster = new TestCluster([measuredVm], {groups: ['db', 'scarce']});
		const run: ChurnRun = {
			cluster, random: createRandom(2), isReplacing, otherVms: [], round: 0, randomCalls,
		};
		await cluster.start(createRoundConfiguration(0));
		while (run.round < earlyRoundCount) {
			await runRound(run);
		}

		const early = measureVm(run);
		while (run.round < earlyRoundCount + roundCount) {
			await runRound(run);
		}

		const late = measureVm(run);
		cluster.stop();
		t.log(`${late.size} collections with ${sum(late.values())} items, ${sum(early.values())} before`);
		const grown = [...late].filter(([path, size]) => {
			const earlySize = early.get(path) ?? 0;
			return size > (limits.get(path) ?? 0) && size - earlySize >= minGrowth && size > earlySize * maxFluctuation;
		});
		t.deepEqual(grown.map(([path, size]) => `${path}: ${size}, ${early.get(path) ?? 0} before`), []);
	});
}
