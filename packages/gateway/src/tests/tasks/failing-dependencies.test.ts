import process from 'node:process';
import test, {type ExecutionContext} from 'ava';
import {type GatewayConfiguration} from '../../configuration/index.js';
import {
	type CallerAnswer, type ConnectResult, type InstanceConnection, type PeerLink,
} from '../../ports/index.js';
import {type CallerSession} from '../../sessions/index.js';
import {type Statement} from '../../statements/index.js';
import {createGateway, type GatewayPorts, type WiredGateway} from '../../wiring/index.js';
import {createErrorClosingNetwork} from '../fakes/error-closing-network.js';
import {type CallFailure, FailingCalls} from '../fakes/failing-calls.js';
import {createRandom} from '../fakes/seeded-random.js';
import {createConfiguration, statements, TestCluster} from '../fakes/test-cluster.js';

/** Fraction of the calls that fail while the errors last. */
const failureShare = 0.2;

/** Duration of the errors, in milliseconds. */
const failureMs = 6000;

/** Time after the errors within which the service is whole again, in milliseconds. */
const recoveryMs = 3000;

/** Time within which a withdrawn key is refused on every VM while calls fail, in milliseconds. */
const withdrawalMs = 3000;

const vms = ['vm1', 'vm2', 'vm3'];

/** Returns the ports of a VM with failing calls of one dependency. */
type PortChange = (ports: GatewayPorts, calls: FailingCalls) => GatewayPorts;

function createFailingConnection(connection: InstanceConnection, calls: FailingCalls): InstanceConnection {
	return {
		get isOpen() {
			return connection.isOpen;
		},
		run: calls.wrapAsync(async (outgoing, timeoutMs) => connection.run(outgoing, timeoutMs)),
		parseStatus: calls.wrapFunction(outcome => connection.parseStatus(outcome)),
		onClosed(listener) {
			connection.onClosed(listener);
		},
		close: calls.wrapFunction(() => {
			connection.close();
		}, true),
	};
}

function createFailingLink(link: PeerLink, calls: FailingCalls): PeerLink {
	return {
		get isOpen() {
			return link.isOpen;
		},
		send: calls.wrapFunction(message => {
			link.send(message);
		}),
		close: calls.wrapFunction(() => {
			link.close();
		}, true),
	};
}

const portChanges = {
	'connections cannot be opened': (ports: GatewayPorts, calls: FailingCalls) => ({...ports, connector: {open: calls.wrapAsync(async (instance, account, timeoutMs) => ports.connector.open(instance, account, timeoutMs))}}),
	'statements, their answers or the closing of connections fail': (ports: GatewayPorts, calls: FailingCalls) => ({
		...ports, connector: {
			async open(instance, account, timeoutMs): Promise<ConnectResult> {
				const result = await ports.connector.open(instance, account, timeoutMs);
				return result.kind === 'opened' ? {...result, connection: createFailingConnection(result.connection, calls)} : result;
			},
		},
	}),
	'calls to the store fail': ({store, ...ports}: GatewayPorts, calls: FailingCalls) => ({
		...ports, store: {
			get era() {
				return store.era;
			},
			get restoreCount() {
				return store.restoreCount;
			},
			readSharedRows: calls.wrapAsync(async timeoutMs => store.readSharedRows(timeoutMs)),
			writeSharedRows: calls.wrapAsync(async (writes, timeoutMs) => store.writeSharedRows(writes, timeoutMs)),
			readInstances: calls.wrapAsync(async timeoutMs => store.readInstances(timeoutMs)),
			readConfiguration: calls.wrapAsync(async (timeoutMs, onProgress) => store.readConfiguration(timeoutMs, onProgress)),
			pollConfiguration: calls.wrapAsync(async (afterVersion, waitMs, timeoutMs, onProgress) => store.pollConfiguration(afterVersion, waitMs, timeoutMs, onProgress)),
		},
	}),
	'promotion requests fail': ({promotion, ...ports}: GatewayPorts, calls: FailingCalls) => ({...ports, promotion: {promote: calls.wrapAsync(async (request, timeoutMs) => promotion.promote(request, timeoutMs))}}),
	'connections to other VMs cannot be begun': ({network, ...ports}: GatewayPorts, calls: FailingCalls) => ({
		...ports, network: {
			connect: calls.wrapFunction((address, handlers) => network.connect(address, handlers)),
			listen: async (address, accept) => network.listen(address, accept),
		},
	}),
	'messages to other VMs or the closing of links fail': ({network, ...ports}: GatewayPorts, calls: FailingCalls) => ({
		...ports, network: {
			connect: (address, handlers) => createFailingLink(network.connect(address, handlers), calls),
			listen: async (address, accept) => network.listen(address, link => accept(createFailingLink(link, calls))),
		},
	}),
	'the output of the log fails': ({logOutput, ...ports}: GatewayPorts, calls: FailingCalls) => ({
		...ports, logOutput: {
			write: calls.wrapFunction((text: string) => logOutput!.write(text)),
			get writableLength() {
				return logOutput!.writableLength;
			},
		},
	}),
	'steps of a gateway fail': ({network, ...ports}: GatewayPorts) => ({...ports, network: createErrorClosingNetwork(network)}),
	'random numbers fail'(ports: GatewayPorts, calls: FailingCalls) {
		Math.random = calls.wrapFunction(createRandom(1));
		return ports;
	},
} as const satisfies Readonly<Record<string, PortChange>>;

/** Makes steps of a gateway fail: in heartbeats, at the opening of connections, before and after statements run and after they were answered. */
function changeSteps({terms, metrics}: WiredGateway, calls: FailingCalls): void {
	Object.assign(terms, {
		getTerms: calls.wrapFunction(terms.getTerms.bind(terms)),
		renewLease: calls.wrapFunction(terms.renewLease.bind(terms), true),
		recordPosition: calls.wrapFunction(terms.recordPosition.bind(terms)),
		waitUntilPrimaryIsUsable: calls.wrapAsync(terms.waitUntilPrimaryIsUsable.bind(terms)),
		waitUntilWriteIsSafe: calls.wrapAsync(terms.waitUntilWriteIsSafe.bind(terms)),
	});
	Object.assign(metrics, {recordDuration: calls.wrapFunction(metrics.recordDuration.bind(metrics))});
}

/** What differs from the other dependencies: the fraction of the calls that fail, how they fail, whether connections are so scarce that VMs forward operations to each other, and whether the store refuses calls for a while. */
const specialFailures: Readonly<Record<string, {readonly share?: number; readonly failures?: readonly CallFailure[]; readonly isScarce?: boolean; readonly isStoreBusy?: boolean}>> = {
	// What is opened late would have no owner that could close it.
	'connections cannot be opened': {failures: ['throws', 'rejects']},
	// There are few of them.
	'promotion requests fail': {share: 1},
	'connections to other VMs cannot be begun': {share: 0.5, isScarce: true},
	'messages to other VMs or the closing of links fail': {share: 0.05, isScarce: true},
	'steps of a gateway fail': {share: 0.08, isScarce: true},
	// They are needed for delays after refused calls.
	'random numbers fail': {share: 1, isStoreBusy: true},
};

/** A request and what became of it. */
type SentRequest = {
	readonly id: string;
	readonly kind: Statement['kind'];
	readonly isInTransaction: boolean;
	readonly sentAt: number;
	readonly answers: CallerAnswer[];
};

/** Callers that run reads, writes and transactions one after another, and open another session when theirs is closed. */
class Callers {
	readonly requests: SentRequest[] = [];
	#isStopped = false;
	#sessionCount = 0;
	readonly #running: Array<Promise<void>> = [];

	constructor(private readonly cluster: TestCluster) {}

	start(vm: string, database: string, seed: number): void {
		this.#running.push(this.#run(vm, database, createRandom(seed)));
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		await this.cluster.time.waitFor(Promise.all(this.#running));
	}

	async #run(vm: string, database: string, random: () => number): Promise<void> {
		while (!this.#isStopped) {
			await this.#runSession(vm, database, random);
			await pause(20);
		}
	}

	async #runSession(vm: string, database: string, random: () => number): Promise<void> {
		const name = `c${this.#sessionCount++}`;
		const open: {request: SentRequest | undefined; isClosed: boolean; onSettled: () => void} = {request: undefined, isClosed: false, onSettled() {/* Nothing is sent yet. */}};
		const session: CallerSession | undefined = this.cluster.getGateway(vm).gateway.openSession({connectionId: name, database, keyDigest: 'large'}, {
			sendReady() {/* The session is returned. */},
			sendAnswer(answer) {
				open.request!.answers.push(answer);
				open.onSettled();
			},
			rejectSession() {
				open.isClosed = true;
			},
			close() {
				open.isClosed = true;
				session?.handleCallerClosed();
				open.onSettled();
			},
		});
		if (session === undefined) {
			return;
		}

		for (let index = 0; index < 20 && !open.isClosed && !this.#isStopped;) {
			for (const statement of chooseOperation(random())) {
				const request: SentRequest = {
					id: `${name}-${index++}`, kind: statement.kind, isInTransaction: session.isInTransaction, sentAt: this.cluster.time.now(), answers: [],
				};
				open.request = request;
				this.requests.push(request);
				await new Promise<void>(resolve => {
					open.onSettled = resolve;
					session.handleStatement({id: request.id, statement});
				});
				if (open.isClosed || request.answers[0]?.result.kind !== 'completed') {
					break;
				}
			}

			if (session.isInTransaction) {
				break;
			}

			await pause(20);
		}

		session.handleCallerClosed();
	}
}

function chooseOperation(choice: number): readonly Statement[] {
	const {read, write, begin, commit} = statements;
	if (choice < 0.35) {
		return [read];
	}

	return choice < 0.7 ? [write] : [begin, write, commit];
}

async function pause(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Checks that each request was answered at most once and truthfully. */
function checkAnswers(t: ExecutionContext, cluster: TestCluster, requests: readonly SentRequest[]): void {
	const commits = new Map<string, number>();
	for (const {kind, requestId} of cluster.database.events) {
		commits.set(requestId, (commits.get(requestId) ?? 0) + (kind === 'commit' ? 1 : 0));
	}

	for (const {id, kind, isInTransaction, answers} of requests) {
		const result = answers[0]?.result;
		const count = commits.get(id) ?? 0;
		t.true(answers.length <= 1, `${id} was answered ${answers.length} times`);
		t.true(count <= 1, `${id} was committed ${count} times`);
		if (result?.kind === 'completed' && (kind === 'commit' || (kind === 'write' && !isInTransaction))) {
			t.is(count, 1, `${id} was answered as completed`);
		} else if (result?.kind === 'refused' && result.refusal.details.ran === 'no') {
			t.is(count, 0, `${id} was refused as not run`);
		}
	}
}

/** Returns the busy and open connections to each instance as the VMs logged them last, over all VMs. */
function sumPoolUsage(cluster: TestCluster): {readonly busy: number; readonly open: ReadonlyMap<string, number>} {
	let busy = 0;
	const open = new Map<string, number>();
	for (const vm of vms) {
		const summary = cluster.log.events.findLast(event => event.name === 'summary' && event.vm === vm)!;
		for (const [, instance, busyCount, openCount] of String(summary.fields.connections).matchAll(/(\S+?):(\d+)\/(\d+)/gv)) {
			busy += Number(busyCount);
			open.set(instance!, (open.get(instance!) ?? 0) + Number(openCount));
		}
	}

	return {busy, open};
}

/** Returns the lowest number of connections to each instance in a second, which leaves out those of single status requests. */
async function countLastingConnections(cluster: TestCluster): Promise<ReadonlyMap<string, number>> {
	const fewest = new Map<string, number>();
	for (let passedMs = 0; passedMs < 1000; passedMs += 5) {
		for (const {id, connections} of cluster.database.instances) {
			fewest.set(id, Math.min(connections.size, fewest.get(id) ?? Number.POSITIVE_INFINITY));
		}

		await cluster.time.advance(5);
	}

	return fewest;
}

/** Creates a configuration whose limits the callers do not reach; the key of one of its accounts changes with each version. */
function createLoadConfiguration(version: number, isScarce: boolean): GatewayConfiguration {
	return createConfiguration(version, {
		groups: [{name: 'db', maxConnections: isScarce ? 4 : 30}], accounts: ['small', 'large'].map(name => ({
			name, keyDigests: [name === 'small' ? `small-${version}` : name], priority: 1, ratePerS: 1000, burst: 1000,
		})),
	});
}

/** Returns the time after which every VM refuses a key that was just withdrawn, in milliseconds; infinite if one does not in time. */
async function measureWithdrawal(cluster: TestCluster, configuration: GatewayConfiguration): Promise<number> {
	const startedAt = cluster.time.now();
	cluster.store.setConfiguration(configuration);
	const isWithdrawn = () => vms.every(vm => cluster.openSession(vm, 'strict', `small-${configuration.version - 1}`).rejection?.kind === 'unauthenticated');
	while (!isWithdrawn()) {
		if (cluster.time.now() - startedAt > 2 * withdrawalMs) {
			return Number.POSITIVE_INFINITY;
		}

		await cluster.time.advance(50);
	}

	return cluster.time.now() - startedAt;
}

/** Runs callers while calls of a dependency fail, and checks the service during the errors and after them. */
async function checkFailures(t: ExecutionContext, name: keyof typeof portChanges, seed: number): Promise<void> {
	const unhandled: string[] = [];
	const recordUnhandled = (error: unknown) => {
		unhandled.push(String(error));
	};

	const {random} = Math;
	process.on('unhandledRejection', recordUnhandled);
	process.on('uncaughtException', recordUnhandled);
	const cluster = new TestCluster(vms);
	t.teardown(() => {
		cluster.stop();
		Math.random = random;
		process.off('unhandledRejection', recordUnhandled);
		process.off('uncaughtException', recordUnhandled);
	});
	const {share = failureShare, failures = ['throws', 'rejects', 'rejects-late'], isScarce = false, isStoreBusy = false} = specialFailures[name] ?? {};
	const calls = new FailingCalls(seed, share, failures);
	const changePorts: PortChange = portChanges[name];
	cluster.chooseBuild = () => (identity, ports) => {
		const gateway = createGateway(identity, changePorts(ports, calls));
		if (name === 'steps of a gateway fail') {
			changeSteps(gateway, calls);
		}

		return gateway;
	};

	await cluster.start(createLoadConfiguration(1, isScarce));
	const callers = new Callers(cluster);
	for (const [index, vm] of vms.entries()) {
		callers.start(vm, 'strict', seed + index);
		callers.start(vm, 'own', seed + index + 10);
	}

	calls.isActive = true;
	await cluster.time.advance(failureMs / 3);
	const withdrawalDuringErrors = await measureWithdrawal(cluster, createLoadConfiguration(2, isScarce));
	cluster.database.primary.crash();
	for (let part = 0; part < 4; part++) {
		cluster.store.fault = isStoreBusy && part === 2 ? 'busy' : 'none';
		await cluster.time.advance(failureMs / 6);
		// Links have to be opened again.
		cluster.network.closeLinks(vms[part % vms.length]!);
	}

	calls.isActive = false;
	t.true(calls.count > 0, 'no call failed');
	for (const instance of cluster.database.instances) {
		if (!instance.isAlive) {
			instance.restart();
		}
	}

	await cluster.time.advance(recoveryMs);
	const recoveredAt = cluster.time.now();
	await cluster.time.advance(1000);
	const withdrawalAfterErrors = await measureWithdrawal(cluster, createLoadConfiguration(3, isScarce));
	await callers.stop();
	// The idle connections and the last summary.
	await cluster.time.advance(4000);

	t.deepEqual(unhandled, [], 'errors reached the process');
	t.true(withdrawalDuringErrors <= withdrawalMs, `a withdrawn key was refused after ${withdrawalDuringErrors} ms`);
	t.true(withdrawalAfterErrors <= withdrawalMs, `a withdrawn key was refused after ${withdrawalAfterErrors} ms, when the errors had ended`);
	checkAnswers(t, cluster, callers.requests);
	const recovered = callers.requests.filter(({sentAt}) => sentAt >= recoveredAt);
	t.true(recovered.length > 100, `${recovered.length} requests after the errors`);
	t.deepEqual(recovered.filter(({answers}) => answers[0]?.result.kind !== 'completed').map(({id, kind, answers}) => ({id, kind, result: answers[0]?.result})), [], 'requests after the errors were not served');
	const {busy, open} = sumPoolUsage(cluster);
	t.is(busy, 0, 'connections were never given back');
	const fewest = await countLastingConnections(cluster);
	const {open: openAfterwards} = sumPoolUsage(cluster);
	for (const instance of cluster.database.instances) {
		t.true(fewest.get(instance.id)! <= (open.get(instance.id) ?? 0), `${fewest.get(instance.id)} connections to ${instance.id}, of which pools have ${open.get(instance.id)}`);
		// A pool may close an idle connection meanwhile, but counts none that the instance does not have.
		t.true(fewest.get(instance.id)! >= Math.min(open.get(instance.id) ?? 0, openAfterwards.get(instance.id) ?? 0), `${fewest.get(instance.id)} connections to ${instance.id}, of which pools count ${open.get(instance.id)}, later ${openAfterwards.get(instance.id)}`);
		t.false([...instance.connections].some(connection => connection.isInTransaction), 'a connection of a pool is inside a transaction');
	}
}

// Guards against errors where no one awaits the operation: they ended the process, or stopped a periodic task or the service of a request for good.
for (const name of Object.keys(portChanges) as Array<keyof typeof portChanges>) {
	for (const seed of [1, 2]) {
		test.serial(`${name} at random for a while, and the service goes on and recovers, seed ${seed}`, async t => {
			await checkFailures(t, name, seed);
		});
	}
}
