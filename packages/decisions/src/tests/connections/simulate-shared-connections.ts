/** Load on one instance whose connections many VMs share. */
export type SharedConnectionsLoad = {
	readonly capacity: number;
	readonly vms: number;
	readonly accounts: number;
	/** Operations per second over all VMs. */
	readonly ratePerS: number;
	/** Fraction of the operations that are transactions, which hold their connection for `transactionMs`; the others hold it for `statementMs`. */
	readonly transactionFraction: number;
	readonly transactionMs: number;
	readonly statementMs: number;
	readonly durationMs: number;
	/** Connections of VMs that lost power, which the instance counts until a time in milliseconds; none if absent. */
	readonly stale?: {readonly count: number; readonly untilMs: number};
	/** Returns a random number, at least zero and less than one. */
	getRandom(): number;
};

/** How a VM limits its connections. */
export type ConnectionPolicy = {
	getLimit(now: number): number;
	getIdleTimeoutMs(now: number): number;
	recordOpening(now: number): void;
	recordShortage(now: number): void;
	recordRefusal(now: number): void;
};

/** Outcome of a simulation. */
export type SharedConnectionsResult = {
	operations: number;
	/** Operations that waited for longer than `longWaitMs` for a connection. */
	longWaits: number;
	openedConnections: number;
	/** Connections that the instance refused. */
	refusedConnections: number;
	/** Highest number of open connections. */
	maxOpen: number;
};

type Connection = {readonly account: number; busyUntil: number};
type Operation = {readonly account: number; readonly holdMs: number; readonly arrivedAt: number};
type Vm = {readonly policy: ConnectionPolicy; connections: Connection[]; queue: Operation[]; retryAt: number};

const handshakeMs = 12;
/** Time after a refused connection until a VM opens another one, in milliseconds. */
const refusalBackoffMs = 30;
/** Wait of an operation that counts as long, in milliseconds: half of a short latency objective. */
const longWaitMs = 60;

/** Simulates VMs that serve operations over connections to one instance, in steps of a millisecond. */
export function simulateSharedConnections(load: SharedConnectionsLoad, createPolicy: () => ConnectionPolicy): SharedConnectionsResult {
	const result: SharedConnectionsResult = {
		operations: 0, longWaits: 0, openedConnections: 0, refusedConnections: 0, maxOpen: 0,
	};
	const vms: Vm[] = Array.from({length: load.vms}, () => ({
		policy: createPolicy(), connections: [], queue: [], retryAt: 0,
	}));
	const countOpen = () => vms.reduce((sum, vm) => sum + vm.connections.length, 0);
	const countStale = (now: number) => load.stale !== undefined && now < load.stale.untilMs ? load.stale.count : 0;

	const startOperation = (operation: Operation, connection: Connection, now: number, openMs: number) => {
		connection.busyUntil = now + openMs + operation.holdMs;
		result.longWaits += now + openMs - operation.arrivedAt > longWaitMs ? 1 : 0;
		return true;
	};

	/** Starts an operation on a new connection if the VM may open one and the instance accepts it. */
	const tryOpen = (vm: Vm, operation: Operation, now: number): boolean => {
		const isAtLimit = vm.connections.length >= vm.policy.getLimit(now);
		const evictable = isAtLimit ? vm.connections.find(connection => connection.busyUntil <= now) : undefined;
		if (now < vm.retryAt || (isAtLimit && evictable === undefined)) {
			vm.policy.recordShortage(now);
			return false;
		}

		vm.connections = vm.connections.filter(connection => connection !== evictable);
		if (countOpen() + countStale(now) >= load.capacity) {
			result.refusedConnections += 1;
			vm.retryAt = now + refusalBackoffMs;
			vm.policy.recordRefusal(now);
			return false;
		}

		const connection = {account: operation.account, busyUntil: 0};
		vm.connections.push(connection);
		vm.policy.recordOpening(now);
		result.openedConnections += 1;
		return startOperation(operation, connection, now, handshakeMs);
	};

	for (let now = 0; now < load.durationMs; now++) {
		if (load.getRandom() < load.ratePerS / 1000) {
			const isTransaction = load.getRandom() < load.transactionFraction;
			result.operations += 1;
			vms[Math.floor(load.getRandom() * vms.length)]!.queue.push({
				account: Math.floor(load.getRandom() * load.accounts), holdMs: isTransaction ? load.transactionMs : load.statementMs, arrivedAt: now,
			});
		}

		for (const vm of vms) {
			vm.connections = vm.connections.filter(connection => now - connection.busyUntil <= vm.policy.getIdleTimeoutMs(now));
			vm.queue = vm.queue.filter(operation => {
				const idle = vm.connections.find(connection => connection.account === operation.account && connection.busyUntil <= now);
				return !(idle === undefined ? tryOpen(vm, operation, now) : startOperation(operation, idle, now, 0));
			});
		}

		result.maxOpen = Math.max(result.maxOpen, countOpen());
	}

	return result;
}
