import {type Instance} from '../instances/index.js';
import {type Clock, type ConnectFailure, type InstanceConnector} from '../ports/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {InstanceTracker} from './instance-tracker.js';
import {PooledConnection} from './pooled-connection.js';

/** Time within which a connection has to be open, milliseconds: a handshake behind a full queue at a busy instance. */
const connectTimeoutMs = 1500;

/** What a pool works with. */
export type InstancePoolDependencies = {
	readonly connector: InstanceConnector;
	readonly clock: Clock;
	readonly metrics: GatewayMetrics;
	readonly log: EventLog;
	/** Returns numbers from zero up to one. */
	readonly random: () => number;
	/** Called when a connection is free again, or gone. */
	readonly onConnectionFreed: () => void;
};

/** Connections of this VM to one instance. */
export class InstancePool {
	readonly tracker: InstanceTracker;
	readonly #connections = new Set<PooledConnection>();
	#opening = 0;
	#isClosed = false;

	constructor(readonly instance: Instance, private readonly dependencies: InstancePoolDependencies) {
		this.tracker = new InstanceTracker(instance, dependencies.log, dependencies.random);
	}

	/** Statements and transactions that hold a connection. */
	get busyCount(): number {
		let count = this.#opening;
		for (const connection of this.#connections) {
			count += connection.isBusy ? 1 : 0;
		}

		return count;
	}

	/** Describes busy and open connections, and why the instance had no room lately. */
	describe(now: number): string {
		const shortage = this.tracker.getOverloadReason(now);
		return `${this.instance.id}:${this.busyCount}/${this.connectionCount}${shortage === undefined ? '' : `:${shortage}`}`;
	}

	/** Whether a connection is being opened. */
	get isOpening(): boolean {
		return this.#opening > 0;
	}

	get connectionCount(): number {
		return this.#connections.size + this.#opening;
	}

	/** Returns the idle connection of an account that was used last. */
	findIdle(account: string): PooledConnection | undefined {
		let newest: PooledConnection | undefined;
		for (const connection of this.#connections) {
			if (!connection.isBusy && connection.account === account && (newest === undefined || connection.lastUsedAt > newest.lastUsedAt)) {
				newest = connection;
			}
		}

		return newest;
	}

	/**
	 * Says whether a connection may be opened now.
	 * @param limit - Connections that this VM may have here.
	 * @param mayEvict - Whether an idle connection of another account may make room for it.
	 */
	canOpen(limit: number, mayEvict: boolean): boolean {
		return this.connectionCount < limit || (mayEvict && this.#findEvictable() !== undefined);
	}

	acquire(connection: PooledConnection): void {
		connection.isBusy = true;
	}

	/**
	 * Opens a connection that is idle then.
	 * @param limit - Connections that this VM may have here; at the limit the one that was idle longest makes room.
	 * @returns Why there is none, undefined when it is open.
	 */
	async open(account: string, limit: number): Promise<ConnectFailure | undefined> {
		const evicted = this.connectionCount < limit ? undefined : this.#findEvictable();
		if (evicted !== undefined) {
			this.#remove(evicted);
			evicted.instanceConnection.close();
		}

		this.#opening += 1;
		const startedAt = this.dependencies.clock.now();
		const question = this.tracker.addPendingRequest('connection', startedAt);
		const result = await this.dependencies.connector.open(this.instance, account, connectTimeoutMs);
		this.tracker.removePendingRequest(question);
		this.#opening -= 1;
		const now = this.dependencies.clock.now();
		if (result.kind === 'failed') {
			this.#observeFailure(result.failure, startedAt, now);
			return result.failure;
		}

		this.dependencies.metrics.recordDuration('connect', now - startedAt);
		this.tracker.observeAnswer(now);
		if (this.#isClosed) {
			result.connection.close();
			return {reason: 'closed', message: 'the instance is gone'};
		}

		const connection = new PooledConnection(result.connection, account);
		connection.lastUsedAt = now;
		this.#connections.add(connection);
		result.connection.onClosed(() => {
			this.#remove(connection);
			this.dependencies.onConnectionFreed();
		});
		return undefined;
	}

	/** Gives a connection back, or closes it when its state is not known. */
	release(connection: PooledConnection, isClean: boolean): void {
		connection.isBusy = false;
		connection.lastUsedAt = this.dependencies.clock.now();
		if (!isClean || this.#isClosed || !connection.instanceConnection.isOpen) {
			this.#remove(connection);
			connection.instanceConnection.close();
		}

		this.dependencies.onConnectionFreed();
	}

	/** Closes idle connections that were not used since a time: one that was as old went silent. */
	closeIdleBefore(time: number): void {
		for (const connection of this.#connections) {
			if (!connection.isBusy && connection.lastUsedAt < time) {
				this.#remove(connection);
				connection.instanceConnection.close();
			}
		}
	}

	/**
	 * Closes connections that are idle for a while, down to a number.
	 * @param kept - Connections that are kept.
	 */
	closeIdle(kept: number, idleMs: number): void {
		const now = this.dependencies.clock.now();
		for (const connection of this.#connections) {
			if (this.connectionCount > kept && !connection.isBusy && now - connection.lastUsedAt > idleMs) {
				this.#remove(connection);
				connection.instanceConnection.close();
			}
		}
	}

	/** Closes every idle connection now, and the others as they are given back. */
	close(): void {
		this.#isClosed = true;
		for (const connection of this.#connections) {
			if (!connection.isBusy) {
				this.#remove(connection);
				connection.instanceConnection.close();
			}
		}
	}

	/** Closes every connection at once. */
	abort(): void {
		this.close();
		for (const connection of this.#connections) {
			connection.instanceConnection.close();
		}
	}

	#findEvictable(): PooledConnection | undefined {
		let oldest: PooledConnection | undefined;
		for (const connection of this.#connections) {
			if (!connection.isBusy && (oldest === undefined || connection.lastUsedAt < oldest.lastUsedAt)) {
				oldest = connection;
			}
		}

		return oldest;
	}

	#remove(connection: PooledConnection): void {
		this.#connections.delete(connection);
	}

	#observeFailure(failure: ConnectFailure, startedAt: number, now: number): void {
		this.dependencies.metrics.addCount(`connect_failed_${failure.reason}`);
		if (failure.reason === 'connection-limit' || failure.reason === 'busy') {
			this.tracker.observeAnswer(now);
			this.tracker.observeOverload(failure.reason, now);
		} else {
			this.tracker.observeFailure(failure.reason === 'silent' ? 'silent' : 'refused', startedAt, now);
		}
	}
}
