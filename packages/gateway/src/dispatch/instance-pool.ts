import {type Instance} from '../instances/index.js';
import {type Clock, type ConnectFailure, type InstanceConnector} from '../ports/index.js';
import {type GatewayMetrics} from '../observability/index.js';
import {InstanceTracker} from './instance-tracker.js';
import {PooledConnection} from './pooled-connection.js';

/** Time within which a connection has to be open, milliseconds: several handshakes and a full queue of one slot. */
const connectTimeoutMs = 700;

/** Time for which a pool that met the instance's limit opens nothing, milliseconds. */
const limitHoldMs = 60;

/** A way to get a connection in a pool. */
export type PoolChoice =
	| {readonly kind: 'idle'; readonly connection: PooledConnection}
	| {readonly kind: 'open'; readonly evicted: PooledConnection | undefined};

/** Connections of this VM to one instance. */
export class InstancePool {
	readonly tracker: InstanceTracker;
	readonly #connections = new Set<PooledConnection>();
	#opening = 0;
	#isClosed = false;

	constructor(
		readonly instance: Instance,
		private readonly connector: InstanceConnector,
		private readonly clock: Clock,
		private readonly metrics: GatewayMetrics,
		private readonly onFreed: () => void,
	) {
		this.tracker = new InstanceTracker(instance);
	}

	/** Statements and transactions that hold a connection. */
	get busyCount(): number {
		let count = this.#opening;
		for (const connection of this.#connections) {
			count += connection.isBusy ? 1 : 0;
		}

		return count;
	}

	get connectionCount(): number {
		return this.#connections.size + this.#opening;
	}

	/**
	 * Finds a way to a connection for an account.
	 * @param limit - Connections that this VM may have here.
	 */
	findChoice(account: string, limit: number): PoolChoice | undefined {
		let oldest: PooledConnection | undefined;
		let newest: PooledConnection | undefined;
		for (const connection of this.#connections) {
			if (connection.isBusy) {
				continue;
			}

			if (connection.account === account) {
				newest = newest === undefined || connection.usedAt > newest.usedAt ? connection : newest;
			} else {
				oldest = oldest === undefined || connection.usedAt < oldest.usedAt ? connection : oldest;
			}
		}

		if (newest !== undefined) {
			return {kind: 'idle', connection: newest};
		}

		if (this.connectionCount < limit) {
			return {kind: 'open', evicted: undefined};
		}

		return oldest === undefined ? undefined : {kind: 'open', evicted: oldest};
	}

	take(connection: PooledConnection): void {
		connection.isBusy = true;
	}

	/**
	 * Opens a connection and takes it.
	 * @param evicted - Idle connection that makes room for it.
	 */
	async open(account: string, evicted: PooledConnection | undefined): Promise<PooledConnection | ConnectFailure> {
		if (evicted !== undefined) {
			this.#remove(evicted);
			evicted.connection.close();
		}

		this.#opening += 1;
		const startedAt = this.clock.now();
		const result = await this.connector.open(this.instance, account, connectTimeoutMs);
		this.#opening -= 1;
		const now = this.clock.now();
		if (result.kind === 'failed') {
			this.#observeFailure(result.failure, startedAt, now);
			return result.failure;
		}

		this.metrics.recordDuration('connect', now - startedAt);
		this.tracker.observeAnswer(now);
		if (this.#isClosed) {
			result.connection.close();
			return {reason: 'closed', message: 'the instance is gone'};
		}

		const connection = new PooledConnection(result.connection, account);
		connection.isBusy = true;
		this.#connections.add(connection);
		result.connection.onClosed(() => {
			this.#remove(connection);
			this.onFreed();
		});
		return connection;
	}

	/** Gives a connection back, or closes it when its state is not known. */
	release(connection: PooledConnection, isClean: boolean): void {
		connection.isBusy = false;
		connection.usedAt = this.clock.now();
		if (!isClean || this.#isClosed || !connection.connection.isOpen) {
			this.#remove(connection);
			connection.connection.close();
		}

		this.onFreed();
	}

	/** Closes idle connections beyond a limit, and those that were not used for a while. */
	trim(limit: number, idleMs: number): void {
		const now = this.clock.now();
		for (const connection of this.#connections) {
			if (!connection.isBusy && (now - connection.usedAt > idleMs || this.connectionCount > limit)) {
				this.#remove(connection);
				connection.connection.close();
			}
		}
	}

	/** Closes every idle connection now, and the others as they are given back. */
	close(): void {
		this.#isClosed = true;
		for (const connection of this.#connections) {
			if (!connection.isBusy) {
				this.#remove(connection);
				connection.connection.close();
			}
		}
	}

	/** Closes every connection at once. */
	abort(): void {
		this.close();
		for (const connection of this.#connections) {
			connection.connection.close();
		}
	}

	#remove(connection: PooledConnection): void {
		this.#connections.delete(connection);
	}

	#observeFailure(failure: ConnectFailure, startedAt: number, now: number): void {
		this.metrics.addCount(`connect_failed_${failure.reason}`);
		if (failure.reason === 'connection-limit' || failure.reason === 'busy') {
			this.tracker.observeAnswer(now);
			this.tracker.hold(now + limitHoldMs);
		} else {
			this.tracker.observeFailure(failure.reason === 'silent' ? 'silent' : 'refused', startedAt, now);
		}
	}
}
