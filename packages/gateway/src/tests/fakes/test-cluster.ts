import {Writable} from 'node:stream';
import {type Refusal} from '@chicorysaddle/model';
import {type GatewayConfiguration} from '../../configuration/index.js';
import {type CallerAnswer} from '../../ports/index.js';
import {type CallerSession} from '../../sessions/index.js';
import {type Statement} from '../../statements/index.js';
import {createGateway, type WiredGateway} from '../../wiring/index.js';
import {FakeConnector, FakeDatabase} from './fake-database.js';
import {FakeNetwork, FakeSwitch} from './fake-network.js';
import {FakeStore, FakeStoreClient} from './fake-store.js';
import {VirtualTime} from './virtual-time.js';

/** Collects logged events. */
class LogSink extends Writable {
	readonly events: Array<{readonly vm: string; readonly name: string; readonly fields: Readonly<Record<string, unknown>>}> = [];

	override _write(chunk: unknown, _encoding: string, done: () => void): void {
		const {message, context} = JSON.parse(String(chunk)) as {message: string; context: Record<string, unknown>};
		this.events.push({vm: String(context.vm), name: message, fields: context});
		done();
	}
}

/** Caller with one session. */
export class TestCaller {
	/** Refusal of the session, undefined if the session was opened. */
	rejection: Refusal | undefined;
	isClosed = false;
	readonly #session: CallerSession | undefined;
	#requestCount = 0;
	#onAnswer: ((answer: CallerAnswer) => void) | undefined;

	constructor(private readonly cluster: TestCluster, private readonly name: string, gateway: WiredGateway['gateway'], database: string, key: string) {
		this.#session = gateway.openSession({connectionId: name, database, keyDigest: key}, {
			sendReady() {
				// `openSession` returns an open session, so there is nothing to wait for.
			},
			sendAnswer: answer => {
				this.#onAnswer?.(answer);
			},
			rejectSession: refusal => {
				this.rejection = refusal;
			},
			close: () => {
				this.isClosed = true;
				this.#session?.handleCallerClosed();
			},
		});
	}

	/** Id of the latest request. */
	get requestId(): string {
		return `${this.name}-${this.#requestCount}`;
	}

	get session(): CallerSession {
		return this.#session!;
	}

	/** Sends a statement without advancing virtual time; resolves with its answer. */
	async send(statement: Statement, id?: string): Promise<CallerAnswer> {
		this.#requestCount += 1;
		return new Promise(resolve => {
			this.#onAnswer = resolve;
			this.#session!.handleStatement({id: id ?? this.requestId, statement});
		});
	}

	/** Sends a statement and advances virtual time until its answer arrives. */
	async sendAndWait(statement: Statement): Promise<CallerAnswer> {
		return this.cluster.time.waitFor(this.send(statement));
	}

	disconnect(): void {
		this.#session?.handleCallerClosed();
	}
}

/** Sample statements. */
export const statements = {
	read: {kind: 'read', text: 'READ x'},
	write: {kind: 'write', text: 'WRITE x y'},
	begin: {kind: 'begin', text: 'BEGIN', access: 'read-write'},
	beginRead: {kind: 'begin', text: 'BEGIN READ', access: 'read-only'},
	commit: {kind: 'commit', text: 'COMMIT'},
	rollBack: {kind: 'roll-back', text: 'ROLLBACK'},
} as const satisfies Record<string, Statement>;

/** Returns the kind of a refusal, or else the signature, or `acknowledged` if there is none. */
export function describeAnswer(answer: CallerAnswer): string {
	return answer.result.kind === 'refused' ? answer.result.refusal.kind : answer.result.signature ?? 'acknowledged';
}

const accountNames = ['small', 'large'];

/** Creates a configuration with one group, one route per consistency, an anonymous route, and two accounts whose key digests are their names. */
export function createConfiguration(version: number, changes: Partial<GatewayConfiguration> = {}): GatewayConfiguration {
	const route = {
		group: 'db', statementTimeoutMs: 800, targetLatencyMs: 200, priority: 1, allowsAnonymous: false,
	};
	return {
		version,
		routes: [
			{
				...route, name: 'r1', database: 'strict', consistency: 'primary', maxStalenessMs: 0,
			},
			{
				...route, name: 'r2', database: 'bounded', consistency: 'bounded', maxStalenessMs: 1500,
			},
			{
				...route, name: 'r3', database: 'own', consistency: 'read-your-writes', maxStalenessMs: 2500,
			},
			{
				...route, name: 'r4', database: 'open', consistency: 'primary', maxStalenessMs: 0, allowsAnonymous: true,
			},
		],
		groups: [{name: 'db', maxConnections: 30, syncReplicas: 0}],
		accounts: accountNames.map(name => ({
			name, keyDigests: [name], priority: 1, ratePerS: 100, burst: 100,
		})),
		transactionIdleMs: 3000,
		maxStatementBytes: 100_000,
		...changes,
	};
}

/** Several gateways in front of one fake group, in virtual time. */
export class TestCluster {
	readonly time = new VirtualTime();
	readonly store = new FakeStore();
	readonly network = new FakeSwitch();
	/** The first group. */
	readonly database: FakeDatabase;
	readonly databases: readonly FakeDatabase[];
	readonly gateways = new Map<string, WiredGateway>();
	readonly connectors = new Map<string, FakeConnector>();
	readonly #abortCallbacks = new Map<string, () => void>();
	readonly log = new LogSink();
	/** Availability zones of VMs; a VM without one is in zone `a`. */
	readonly zones: Map<string, string>;
	/** Region of each availability zone; empty: one region. */
	readonly regions: Map<string, string>;
	/** Returns the round trip between two zones, in milliseconds; undefined if it is not measured. */
	getRoundTripMs: (zone: string, other: string) => number | undefined = () => undefined;
	/** Capacity of every VM, between 0 and 1. */
	capacity = 1;
	/** Capacities of VMs that differ from it. */
	readonly capacities = new Map<string, number>();
	/** Whether VMs that are started forward operations to gateways. */
	isForwardingEnabled = true;
	/** VMs that are started without forwarding, like a former build. */
	readonly formerVms = new Set<string>();
	/** Returns the function that creates the gateway of a VM that is started; tests replace it to run another build. */
	chooseBuild: (vm: string) => typeof createGateway = () => createGateway;
	#callerCount = 0;
	#startedVms = 0;

	/** @param topology - Zone of each VM, `a` if absent, region of each zone, and names of the groups. */
	constructor(private readonly vms: readonly string[] = ['vm1', 'vm2', 'vm3'], topology: {readonly zones?: ReadonlyMap<string, string>; readonly regions?: ReadonlyMap<string, string>; readonly groups?: readonly string[]} = {}) {
		this.zones = new Map(topology.zones);
		this.regions = new Map(topology.regions);
		this.databases = (topology.groups ?? ['db']).map(group => new FakeDatabase(group, 3, () => this.time.now(), {
			serviceMs: 10, lagMs: 20, promoteMs: 500, maxConnections: 30,
		}));
		this.database = this.databases[0]!;
	}

	/** Starts all VMs and waits until they can use the primary. */
	async start(configuration = createConfiguration(1)): Promise<void> {
		this.store.setConfiguration(configuration);
		this.store.instances = this.databases.flatMap(database => database.createInstances());
		for (const vm of this.vms) {
			await this.startVm(vm);
		}

		await this.time.advance(3000);
	}

	/** Starts a VM, or starts it again as a new process. */
	async startVm(vm: string): Promise<void> {
		this.#startedVms += 1;
		const zone = this.zones.get(vm) ?? 'a';
		const connector = new FakeConnector(vm, this.databases, other => this.getRoundTripMs(zone, other));
		const store = new FakeStoreClient(vm, this.store);
		let isAborted = false;
		this.#abortCallbacks.set(vm, () => {
			isAborted = true;
			store.abort();
			connector.abort();
		});
		const gateway = this.chooseBuild(vm)({
			vm, zone, regions: this.regions, incarnation: `run-${this.#startedVms}`, peerAddress: `${vm}:1`,
		}, {
			clock: this.time, store, connector, promotion: {
				promote: async (request, timeoutMs, signal) => isAborted ? 'unknown' : this.databases.find(({group}) => group === request.group)!.promote(request, timeoutMs, signal),
			}, network: new FakeNetwork(vm, this.network), getSettings: () => ({
				drainMs: 7000, limitWindowMs: 5000, capacity: this.capacities.get(vm) ?? this.capacity, seeds: this.vms.map(name => `${name}:1`),
			}), logOutput: this.log, isForwardingEnabled: this.isForwardingEnabled && !this.formerVms.has(vm),
		});
		this.gateways.set(vm, gateway);
		this.connectors.set(vm, connector);
		await gateway.gateway.start();
	}

	/** Ends a VM at once, with its connections to other VMs, to instances and to the platform. */
	killVm(vm: string): void {
		this.getGateway(vm).gateway.stop();
		this.gateways.delete(vm);
		this.network.closeLinks(vm);
		for (const database of this.databases) {
			database.orphanHeldOrders(vm);
		}

		this.#abortCallbacks.get(vm)!();
	}

	/** Opens a session on a VM. */
	openSession(vm: string, database: string, key = 'large'): TestCaller {
		this.#callerCount += 1;
		return new TestCaller(this, `q${this.#callerCount}`, this.gateways.get(vm)!.gateway, database, key);
	}

	/** Opens a session on a starting VM as soon as the VM accepts callers. */
	async openSessionWhenReady(vm: string, database: string): Promise<TestCaller> {
		while (!this.getGateway(vm).gateway.isReady) {
			await this.time.advance(10);
		}

		return this.openSession(vm, database);
	}

	getGateway(vm: string): WiredGateway {
		return this.gateways.get(vm)!;
	}

	/** Returns the VM that holds the coordinator lease, according to the store. */
	getCoordinator(): string {
		return (JSON.parse(this.store.rows.get('coordinator')!.value) as {holder: string}).holder;
	}

	/** Returns the term row of a group. */
	getTermRow(group = 'db'): {term: number; primaryId: string; phase: string} {
		return JSON.parse(this.store.rows.get(`group/${group}`)!.value) as {term: number; primaryId: string; phase: string};
	}

	/** Stops all gateways and restores real timers. */
	stop(): void {
		for (const {gateway} of this.gateways.values()) {
			gateway.stop();
		}

		this.time.stop();
	}
}
