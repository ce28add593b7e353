import {clampTimerMs, comparePositions, type LogPosition} from '@chicorysaddle/model';
import {type Instance} from '../../instances/index.js';
import {
	type ConnectResult, type InstanceConnection, type InstanceConnector, type PromotionRequest, type PromotionResult, type PromotionService,
} from '../../ports/index.js';
import {
	type InstanceErrorKind, type InstanceStatus, type OutgoingStatement, type SessionState, type StatementOutcome,
} from '../../statements/index.js';

/** A read or commit executed by a fake instance. */
export type DatabaseEvent = {
	readonly kind: 'read' | 'commit';
	/** Monotonic time, in milliseconds. */
	readonly at: number;
	readonly instanceId: string;
	readonly account: string;
	readonly requestId: string;
	/** Log position of the instance at that time. */
	readonly position: LogPosition;
	readonly values: ReadonlyMap<string, string>;
	readonly shape: string | undefined;
};

/** Settings of a fake group; tests may change them at any time. */
export type FakeDatabaseOptions = {
	/** Time for which a statement occupies a slot, in milliseconds. */
	serviceMs: number;
	/** Replication lag, in milliseconds. */
	lagMs: number;
	/** Duration of a promotion, in milliseconds. */
	promoteMs: number;
	/** Maximum number of connections per instance. */
	maxConnections: number;
	/** Maximum number of concurrent statements and handshakes per instance; unlimited if absent. */
	slots?: number;
	/** Maximum number of statements that wait for a slot; further ones are refused as busy. Handshakes always wait. */
	queue?: number;
	/** Time for which the handshake of a new connection occupies a slot, in milliseconds. */
	handshakeMs?: number;
	/** Availability zones of the instances, in order; all in zone `a` if absent. */
	zones?: readonly string[];
	/** Time after which a former primary that reaches its successor becomes a replica, in milliseconds; never if absent. */
	stepDownMs?: number;
	/** Number of replicas that have received a commit before it is acknowledged; 0 if absent. */
	syncReplicas?: number;
};

/** A connection attempt or a statement, as sent by a VM to a fake instance. */
export type DatabaseArrival = {
	/** Monotonic time, in milliseconds. */
	readonly at: number;
	readonly vm: string;
	readonly instanceId: string;
	/** Kind of the statement. */
	readonly kind: string;
};

/** A statement that a position preceded. */
export type PositionedStatement = {readonly at: number; readonly kind: string};

/** Kinds of statements that a position may precede. */
export const positionedKinds: ReadonlySet<string> = new Set(['begin', 'control-begin', 'read', 'execute']);

const connectDelayMs = 2;

/** Interval at which a commit checks how many replicas have received it, in milliseconds. */
const receiptCheckIntervalMs = 2;

/** Time after which a caller gives up a promotion call without an answer, in milliseconds. */
const unansweredMs = 2500;

/** A promotion call that the network holds up until it is delivered or given up. */
type HeldOrder = {
	readonly request: PromotionRequest;
	readonly settle: (result: PromotionResult) => void;
	/** Whether its sender has ended without giving it up. */
	isOrphaned: boolean;
};

/** Fake instance of a group. */
export class FakeInstance {
	role: 'primary' | 'replica' = 'replica';
	term = 1;
	position: LogPosition = {term: 1, offset: 0};
	isAlive = true;
	zone = 'a';
	state: Instance['state'] = 'ready';
	bornMs = 1;
	/** Address that it registers, its own if absent. */
	address: string | undefined;
	/** Maximum number of its connections, that of the group if absent. */
	maxConnections: number | undefined;
	readonly connections = new Set<FakeConnection>();
	#isDark = false;
	#isDeaf = false;

	constructor(readonly id: string, readonly database: FakeDatabase) {}

	/** Whether nothing gets through to the instance or from it, while its process runs. */
	get isDark(): boolean {
		return this.#isDark;
	}

	set isDark(isDark: boolean) {
		this.#isDark = isDark;
		this.database.scheduleStepDowns();
		this.database.scheduleCatchUps();
	}

	/** Whether it receives nothing from the primary. */
	get isDeaf(): boolean {
		return this.#isDeaf;
	}

	set isDeaf(isDeaf: boolean) {
		this.#isDeaf = isDeaf;
		this.database.scheduleCatchUps();
	}

	/** Returns whether a replica receives what this instance sends. */
	canReplicateTo(replica: FakeInstance): boolean {
		return replica !== this && replica.role === 'replica' && this.term >= replica.term && !replica.isDeaf && [this, replica].every(({isAlive, isDark}) => isAlive && !isDark);
	}

	#occupiedSlots = 0;
	readonly #queue: Array<() => void> = [];

	/** Waits for a slot and occupies it for `ms`; returns whether the queue had room. */
	async occupySlot(ms: number, isHandshake = false): Promise<boolean> {
		const {slots = Number.POSITIVE_INFINITY, queue = 0} = this.database.options;
		if (this.#occupiedSlots >= slots) {
			if (!isHandshake && this.#queue.length >= queue) {
				return false;
			}

			await new Promise<void>(resolve => {
				this.#queue.push(resolve);
			});
		}

		this.#occupiedSlots += 1;
		await pause(ms);
		this.#occupiedSlots -= 1;
		this.#queue.shift()?.();
		return true;
	}

	/** Stops the instance and closes its connections. */
	crash(): void {
		this.isAlive = false;
		for (const connection of this.connections) {
			connection.close();
		}
	}

	/** Restarts the instance with its log; a former primary stays primary unless another instance was promoted. */
	restart(): void {
		this.isAlive = true;
		if (this.database.term > this.term) {
			this.followPrimary();
		}

		this.database.scheduleCatchUps();
	}

	/** Restarts the instance as a new process without a log. */
	restartEmpty(): void {
		this.bornMs += 1;
		this.role = 'replica';
		this.term = 0;
		this.position = {term: 0, offset: 0};
		this.restart();
	}

	/** Becomes a replica in the newest term; keeps its log. */
	followPrimary(): void {
		this.role = 'replica';
		this.term = this.database.term;
	}
}

/** In-memory group of instances, with its promotion service. */
export class FakeDatabase implements PromotionService {
	readonly instances: FakeInstance[];
	readonly events: DatabaseEvent[] = [];
	/** Everything that was sent to the instances; a status request arrives as `control-status`. */
	readonly arrivals: DatabaseArrival[] = [];
	/** Statements that a position preceded, with the monotonic time at which they ran, in milliseconds. */
	readonly positionedStatements: PositionedStatement[] = [];
	readonly promotionRequests: PromotionRequest[] = [];
	/** Completed promotions, with the log position of the new primary at that time. */
	readonly promotions: Array<{readonly at: number; readonly term: number; readonly position: LogPosition; readonly instanceId: string}> = [];
	/** Pairs `VM INSTANCE` that cannot reach each other. */
	readonly unreachablePairs = new Set<string>();
	/** Errors to inject into the next statements of a kind; `lost-before` and `lost-after` close the connection before or after the statement is run. */
	readonly plannedErrors: Array<{readonly kind: string; readonly error: InstanceErrorKind | 'lost-after' | 'lost-before'}> = [];
	/** Fault of promotion calls: `busy` refuses them, `lost` performs none and answers none, `answers-lost` only loses the answers, `late` also performs them after `lateMs`, `held` delays them until they are delivered or given up. */
	promotionFault: 'none' | 'busy' | 'lost' | 'answers-lost' | 'late' | 'held' = 'none';
	/** Promotion calls that the network holds up, by their senders. */
	readonly heldOrders = new Set<HeldOrder>();
	/** Time until a promotion call with the fault `late` is performed, in milliseconds. */
	lateMs = 0;
	term = 1;

	constructor(readonly group: string, count: number, private readonly getNow: () => number, readonly options: FakeDatabaseOptions) {
		this.instances = Array.from({length: count}, (_, index) => new FakeInstance(`${group}-${index + 1}`, this));
		this.instances[0]!.role = 'primary';
	}

	/** Primary of the newest term, the first instance while there is none. */
	get primary(): FakeInstance {
		return this.instances.filter(instance => instance.role === 'primary').toSorted((a, b) => b.term - a.term)[0] ?? this.instances[0]!;
	}

	/** Creates the registered form of the running instances. */
	createInstances(): Instance[] {
		return this.instances.filter(instance => instance.isAlive).map(instance => ({
			id: instance.id, group: this.group, address: instance.address ?? `${instance.id}:1`, zone: this.options.zones?.[this.instances.indexOf(instance)] ?? instance.zone, slots: 2, state: instance.state, reportedRole: instance.role, bornMs: instance.bornMs,
		}));
	}

	/** Returns whether a VM and an instance cannot reach each other. */
	isUnreachable(vm: string, instance: FakeInstance): boolean {
		return instance.isDark || this.unreachablePairs.has(`${vm} ${instance.id}`);
	}

	recordEvent(event: Omit<DatabaseEvent, 'at'>): void {
		this.events.push({...event, at: this.getNow()});
	}

	/** Records a statement that a position preceded. */
	recordPositioned(kind: string): void {
		this.positionedStatements.push({at: this.getNow(), kind});
	}

	/** Records that a VM sent something to an instance. */
	recordArrival(vm: string, instance: FakeInstance, kind: string): void {
		this.arrivals.push({
			at: this.getNow(), vm, instanceId: instance.id, kind,
		});
	}

	/** Appends a commit to the log of an instance and replicates it after `lagMs`. */
	commit(instance: FakeInstance): LogPosition {
		instance.position = {term: instance.term, offset: instance.position.offset + 1};
		const {position} = instance;
		this.#replicate(instance, position);
		return position;
	}

	/** Returns whether as many replicas have received a commit as the group requires. */
	isReceived(instance: FakeInstance, position: LogPosition): boolean {
		return this.instances.filter(other => other !== instance && comparePositions(other.position, position) >= 0).length >= (this.options.syncReplicas ?? 0);
	}

	/** Sends the log of the primary to the replicas that it reaches, after one of them has become reachable. */
	scheduleCatchUps(): void {
		const {primary} = this;
		if (this.options.syncReplicas !== undefined && primary.role === 'primary') {
			this.#replicate(primary, primary.position);
		}
	}

	/** Ends an instance, and transfers its log to a new one at its address. */
	replace(former: FakeInstance): FakeInstance {
		former.crash();
		const successor = new FakeInstance(`${former.id}-next`, this);
		Object.assign(successor, {term: former.term, position: former.position, address: former.address ?? `${former.id}:1`});
		this.instances.splice(this.instances.indexOf(former), 1, successor);
		this.scheduleCatchUps();
		return successor;
	}

	#replicate(instance: FakeInstance, position: LogPosition): void {
		for (const replica of this.instances) {
			if (replica !== instance && replica.role === 'replica') {
				setTimeout(() => {
					if (instance.canReplicateTo(replica) && comparePositions(position, replica.position) > 0) {
						replica.position = position;
						replica.term = instance.term;
					}
				}, this.options.lagMs);
			}
		}
	}

	/** Performs the promotion calls that the network holds up. */
	deliverHeldOrders(): void {
		for (const order of this.heldOrders) {
			this.heldOrders.delete(order);
			this.promotionRequests.push(order.request);
			order.settle(this.#perform(order.request, 0));
		}
	}

	/** Records that the process of a VM has ended: what the network holds up of it is delivered later all the same. */
	orphanHeldOrders(vm: string): void {
		for (const order of this.heldOrders) {
			order.isOrphaned ||= order.request.holder === vm;
		}
	}

	async #hold(request: PromotionRequest, timeoutMs: number, signal: AbortSignal | undefined): Promise<PromotionResult> {
		return new Promise(resolve => {
			const order: HeldOrder = {request, settle: resolve, isOrphaned: false};
			const abandon = () => {
				if (!order.isOrphaned) {
					this.heldOrders.delete(order);
				}

				resolve('unknown');
			};

			this.heldOrders.add(order);
			setTimeout(abandon, timeoutMs);
			signal?.addEventListener('abort', abandon);
		});
	}

	async promote(request: PromotionRequest, timeoutMs = unansweredMs, signal?: AbortSignal): Promise<PromotionResult> {
		const {promotionFault} = this;
		if (promotionFault === 'held') {
			return this.#hold(request, timeoutMs, signal);
		}

		this.promotionRequests.push(request);
		if (promotionFault === 'busy') {
			return 'busy';
		}

		if (promotionFault === 'lost') {
			await pause(unansweredMs);
			return 'unknown';
		}

		const result = this.#perform(request, promotionFault === 'late' ? this.lateMs : 0);
		if (result === 'accepted' && promotionFault !== 'none') {
			await pause(unansweredMs);
			return 'unknown';
		}

		return result;
	}

	/** Performs a promotion call after a time, in milliseconds. */
	#perform(request: PromotionRequest, lateMs: number): PromotionResult {
		const target = this.instances.find(instance => instance.id === request.instanceId);
		if (target?.isAlive !== true) {
			return 'rejected';
		}

		setTimeout(() => {
			if (!target.isAlive || (target.role === 'primary' && target.term === this.term)) {
				return;
			}

			this.term += 1;
			this.promotions.push({
				at: this.getNow(), term: this.term, position: target.position, instanceId: target.id,
			});
			target.role = 'primary';
			target.term = this.term;
			target.position = {term: this.term, offset: target.position.offset};
			for (const other of this.instances) {
				if (this.options.syncReplicas === undefined ? other !== target && other.role === 'replica' : target.canReplicateTo(other)) {
					other.term = this.term;
					other.position = target.position;
				}
			}

			this.scheduleStepDowns();
		}, this.options.promoteMs + lateMs);
		return 'accepted';
	}

	/** Makes former primaries replicas after the step-down time, if they and their successor are reachable then. */
	scheduleStepDowns(): void {
		const {stepDownMs} = this.options;
		if (stepDownMs === undefined) {
			return;
		}

		setTimeout(() => {
			const {primary} = this;
			for (const former of this.instances) {
				if (former.role === 'primary' && former.term < primary.term && [former, primary].every(({isAlive, isDark}) => isAlive && !isDark)) {
					former.followPrimary();
					former.position = primary.position;
				}
			}
		}, stepDownMs);
	}
}

/** Connects one VM to the fake instances of several groups. */
export class FakeConnector implements InstanceConnector {
	openedConnections = 0;
	#isAborted = false;
	readonly #connections = new Set<FakeConnection>();

	/** @param getRoundTripMs - Round trip from the VM to a zone, in milliseconds; undefined if connections are not measured and take no longer. */
	constructor(private readonly vm: string, private readonly databases: readonly FakeDatabase[], private readonly getRoundTripMs: (zone: string) => number | undefined = () => undefined) {}

	/** Closes all connections and opens no more, as the end of the process does. */
	abort(): void {
		this.#isAborted = true;
		for (const connection of this.#connections) {
			connection.close();
		}
	}

	async open(target: Instance, account: string, timeoutMs: number): Promise<ConnectResult> {
		const database = this.databases.find(candidate => candidate.group === target.group)!;
		const instance = database.instances.find(candidate => candidate.id === target.id);
		if (instance === undefined) {
			// An entry of another writer, or an outdated one.
			return {kind: 'failed', failure: {reason: 'refused', message: 'refused', isPortClosed: true}};
		}

		database.recordArrival(this.vm, instance, 'connection');
		if (database.isUnreachable(this.vm, instance)) {
			await pause(timeoutMs);
			return {kind: 'failed', failure: {reason: 'silent', message: 'no answer'}};
		}

		const roundTripMs = this.getRoundTripMs(target.zone);
		await pause(connectDelayMs + (roundTripMs ?? 0));
		if (!instance.isAlive || this.#isAborted) {
			return {kind: 'failed', failure: {reason: 'refused', message: 'refused', isPortClosed: true}};
		}

		if (instance.connections.size >= (instance.maxConnections ?? database.options.maxConnections)) {
			return {kind: 'failed', failure: {reason: 'connection-limit', message: 'MAXCONN'}};
		}

		await instance.occupySlot(database.options.handshakeMs ?? 0, true);
		this.openedConnections += 1;
		const connection = new FakeConnection(this.vm, instance, account, roundTripMs);
		this.#connections.add(connection);
		connection.onClosed(() => {
			this.#connections.delete(connection);
		});
		return {
			kind: 'opened', connection, position: instance.position, roundTripMs,
		};
	}
}

/** Connection to a fake instance. */
export class FakeConnection implements InstanceConnection {
	isOpen = true;
	readonly values = new Map<string, string>();
	readonly prepared = new Map<string, string>();
	#state: SessionState = 'idle';
	#hasWritten = false;
	#isReadOnly = false;
	/** Position of a commit that replicas have to receive before it is acknowledged. */
	#committed: LogPosition | undefined;
	readonly #closeListeners: Array<() => void> = [];
	readonly #abortCallbacks = new Set<() => void>();

	constructor(private readonly vm: string, private readonly instance: FakeInstance, private readonly account: string, private readonly roundTripMs = 0) {
		instance.connections.add(this);
	}

	get isInTransaction(): boolean {
		return this.#state !== 'idle';
	}

	async run(statements: readonly OutgoingStatement[], timeoutMs: number): Promise<StatementOutcome[]> {
		const outcomes: StatementOutcome[] = [];
		for (const statement of statements) {
			outcomes.push(await this.#runWithTimeout(statement, timeoutMs));
		}

		return outcomes;
	}

	parseStatus(outcome: StatementOutcome): InstanceStatus | undefined {
		return outcome.kind === 'completed'
			? {
				role: this.instance.role, term: this.instance.term, position: this.instance.position, lagMs: 0,
			}
			: undefined;
	}

	onClosed(listener: () => void): void {
		this.#closeListeners.push(listener);
	}

	close(): void {
		if (this.isOpen) {
			this.isOpen = false;
			this.instance.connections.delete(this);
			for (const abort of this.#abortCallbacks) {
				abort();
			}

			for (const listener of this.#closeListeners) {
				listener();
			}
		}
	}

	async #runWithTimeout(statement: OutgoingStatement, timeoutMs: number): Promise<StatementOutcome> {
		if (!this.isOpen) {
			return {kind: 'broken', reason: 'closed'};
		}

		this.instance.database.recordArrival(this.vm, this.instance, statement.statement.kind);
		return new Promise(resolve => {
			const abort = () => {
				this.#abortCallbacks.delete(abort);
				clearTimeout(timer);
				resolve({kind: 'broken', reason: 'closed'});
			};

			const timer = setTimeout(() => {
				this.#abortCallbacks.delete(abort);
				resolve({kind: 'broken', reason: 'timeout'});
				this.close();
			}, clampTimerMs(timeoutMs));
			this.#abortCallbacks.add(abort);
			void (async () => {
				const outcome = await this.#runStatement(statement);
				if (outcome !== undefined && this.isOpen && !this.instance.database.isUnreachable(this.vm, this.instance)) {
					this.#abortCallbacks.delete(abort);
					clearTimeout(timer);
					resolve(outcome);
				}
			})();
		});
	}

	async #runStatement(outgoing: OutgoingStatement): Promise<StatementOutcome | undefined> {
		const {database} = this.instance;
		if (this.roundTripMs > 0) {
			await pause(this.roundTripMs);
		}

		const {statement} = outgoing;
		if (database.isUnreachable(this.vm, this.instance)) {
			return undefined;
		}

		const isQuery = ['read', 'write', 'execute', 'commit'].includes(statement.kind);
		const isAdmitted = isQuery ? await this.instance.occupySlot(database.options.serviceMs) : await pause(1).then(() => true);
		if (!isAdmitted) {
			return this.#refuse('busy');
		}

		if (!this.isOpen) {
			return undefined;
		}

		const index = database.plannedErrors.findIndex(plan => plan.kind === statement.kind);
		const [plan] = index === -1 ? [] : database.plannedErrors.splice(index, 1);
		if (plan?.error === 'lost-before') {
			this.close();
			return undefined;
		}

		const outcome = plan === undefined || plan.error === 'lost-after' ? this.#apply(outgoing) : this.#refuse(plan.error);
		const committed = this.#committed;
		if (committed !== undefined) {
			this.#committed = undefined;
			await this.#waitUntilReceived(committed);
		}

		if (plan?.error === 'lost-after') {
			this.close();
		}

		return outcome;
	}

	/** Waits until the replicas have received a commit, if the group requires that, or the connection closes. */
	async #waitUntilReceived(position: LogPosition): Promise<void> {
		const {instance} = this;
		while (this.isOpen && !(instance.role === 'primary' && instance.database.isReceived(instance, position))) {
			await pause(receiptCheckIntervalMs);
		}
	}

	#apply({id, statement, since}: OutgoingStatement): StatementOutcome {
		const refusal = since === undefined ? undefined : this.#checkPosition(statement.kind, since);
		if (refusal !== undefined) {
			return refusal;
		}

		switch (statement.kind) {
			case 'control-begin':
			case 'begin': {
				this.#isReadOnly = statement.access === 'read-only';
				if (!this.#isReadOnly && this.instance.role !== 'primary') {
					return this.#refuse('not-primary');
				}

				this.#state = 'in-transaction';
				return this.#complete();
			}

			case 'control-roll-back':
			case 'roll-back': {
				this.#state = 'idle';
				this.#hasWritten = false;
				return this.#complete();
			}

			case 'control-reset': {
				this.values.clear();
				this.prepared.clear();
				return this.#complete();
			}

			case 'control-set': {
				this.values.set(statement.name, statement.value);
				return this.#complete();
			}

			case 'control-prepare': {
				this.prepared.set(statement.name, `${statement.access} ${statement.shape}`);
				return this.#complete();
			}

			case 'execute': {
				const shape = this.prepared.get(statement.name);
				return shape === undefined ? this.#refuse('no-statement') : this.#runReadOrWrite(id!, shape.startsWith('write'), shape);
			}

			case 'read':
			case 'write': {
				return this.#runReadOrWrite(id!, statement.kind === 'write', undefined);
			}

			case 'commit': {
				return this.#commit(id!);
			}

			case 'close-prepared':
			case 'control-status':
			case 'control-step-down':
			case 'malformed':
			case 'prepare':
			case 'set': {
				return this.#complete();
			}
		}
	}

	/** Returns the refusal of a statement whose position may not precede it or has not been reached. */
	#checkPosition(kind: string, since: LogPosition): StatementOutcome | undefined {
		this.instance.database.recordPositioned(kind);
		if (!positionedKinds.has(kind)) {
			return this.#refuse('malformed');
		}

		return comparePositions(this.instance.position, since) < 0 ? this.#refuse('lagging') : undefined;
	}

	#runReadOrWrite(id: string, isWrite: boolean, shape: string | undefined): StatementOutcome {
		const isPrimaryLost = this.#state === 'in-transaction' && !this.#isReadOnly && this.instance.role !== 'primary';
		if ((isWrite && (this.instance.role !== 'primary' || this.#isReadOnly)) || isPrimaryLost) {
			return this.#refuse('not-primary');
		}

		if (isWrite && this.#state === 'in-transaction') {
			this.#hasWritten = true;
		} else if (isWrite) {
			this.#record('commit', id, this.#append(), shape);
		} else {
			this.#record('read', id, this.instance.position, shape);
		}

		return this.#complete(`signed ${id}`);
	}

	#commit(id: string): StatementOutcome {
		if (this.#hasWritten && this.instance.role !== 'primary') {
			return this.#refuse('not-primary');
		}

		if (this.#hasWritten) {
			this.#record('commit', id, this.#append(), undefined);
		}

		this.#state = 'idle';
		this.#hasWritten = false;
		return this.#complete(`signed ${id}`);
	}

	#append(): LogPosition {
		const position = this.instance.database.commit(this.instance);
		this.#committed = (this.instance.database.options.syncReplicas ?? 0) > 0 ? position : undefined;
		return position;
	}

	#record(kind: DatabaseEvent['kind'], requestId: string, position: LogPosition, shape: string | undefined): void {
		this.instance.database.recordEvent({
			kind, requestId, position, shape, instanceId: this.instance.id, account: this.account, values: new Map(this.values),
		});
	}

	#complete(signature = '-'): StatementOutcome {
		return {
			kind: 'completed', rows: [], signature, state: this.#state, position: this.instance.position,
		};
	}

	#refuse(error: InstanceErrorKind): StatementOutcome {
		if (this.#state === 'in-transaction' && error !== 'busy') {
			this.#state = 'failed-transaction';
		}

		return {
			kind: 'error', error, message: 'planned', state: this.#state, position: this.instance.position,
		};
	}
}

async function pause(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
