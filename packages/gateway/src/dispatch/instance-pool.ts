import {ConnectionAllowance} from '@chicorysaddle/decisions';
import {type Instance} from '../instances/index.js';
import {
	type Clock, type ConnectFailure, type ConnectResult, type InstanceConnector,
} from '../ports/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {InstanceTracker} from './instance-tracker.js';
import {type NetworkDistance} from './network-distance.js';
import {PooledConnection} from './pooled-connection.js';

/** Timeout for opening a connection, in milliseconds: covers a handshake behind a full queue at a busy instance. */
const connectTimeoutMs = 1500;

/** Dependencies of a pool. */
export type InstancePoolDependencies = {
	readonly connector: InstanceConnector;
	readonly clock: Clock;
	readonly metrics: GatewayMetrics;
	readonly log: EventLog;
	readonly distance: NetworkDistance;
	/** Returns a random number in [0, 1). */
	readonly random: () => number;
	/** Called when a connection was released or closed. */
	readonly onConnectionFreed: () => void;
};

/** Connections of this VM to one instance. */
export class InstancePool {
	readonly tracker: InstanceTracker;
	readonly allowance = new ConnectionAllowance();
	readonly #connections = new Set<PooledConnection>();
	#openingCount = 0;
	#isClosed = false;
	#isCutOff = false;

	constructor(readonly instance: Instance, private readonly dependencies: InstancePoolDependencies) {
		this.tracker = new InstanceTracker(instance, dependencies.log, dependencies.random);
	}

	/** Number of connections in use or being opened. */
	get busyCount(): number {
		let count = this.#openingCount;
		for (const connection of this.#connections) {
			count += connection.isBusy ? 1 : 0;
		}

		return count;
	}

	/** Formats the busy and open connections and the reason of the last overload, for the log. */
	formatUsage(now: number): string {
		const overload = this.tracker.getOverloadReason(now);
		return `${this.instance.id}:${this.busyCount}/${this.connectionCount}${overload === undefined ? '' : `:${overload}`}`;
	}

	/** Whether a connection is being opened. */
	get isOpening(): boolean {
		return this.#openingCount > 0;
	}

	/** Number of connections that are open or being opened. */
	get connectionCount(): number {
		return this.#connections.size + this.#openingCount;
	}

	/** Finds the most recently used idle connection of an account; returns undefined if it has none. */
	findIdle(account: string): PooledConnection | undefined {
		let newest: PooledConnection | undefined;
		for (const connection of this.#connections) {
			if (!connection.isBusy && connection.account === account && (newest === undefined || connection.lastUsedAt > newest.lastUsedAt)) {
				newest = connection;
			}
		}

		return newest;
	}

	/** Returns whether a connection of an account is open. */
	hasConnection(account: string): boolean {
		return [...this.#connections].some(connection => connection.account === account);
	}

	/**
	 * Returns whether a connection may be opened now.
	 * @param limit - Maximum number of connections of this VM to the instance.
	 * @param mayEvict - Whether an idle connection of another account may be closed for it.
	 */
	canOpen(limit: number, mayEvict: boolean): boolean {
		return this.connectionCount < limit || (mayEvict && this.#findEvictable() !== undefined);
	}

	/** Marks an idle connection as busy. */
	acquire(connection: PooledConnection): void {
		connection.isBusy = true;
	}

	/**
	 * Opens a connection and leaves it idle.
	 * @param limit - Maximum number of connections of this VM to the instance; at the limit, the connection that has been idle for longest is closed first.
	 * @returns The failure, undefined when the connection is open.
	 */
	async open(account: string, limit: number): Promise<ConnectFailure | undefined> {
		const evicted = this.connectionCount < limit ? undefined : this.#findEvictable();
		if (evicted !== undefined) {
			this.#remove(evicted);
			evicted.instanceConnection.close();
		}

		this.#openingCount += 1;
		const startedAt = this.dependencies.clock.now();
		const pendingRequest = this.tracker.addPendingRequest('connection', startedAt);
		let result: ConnectResult;
		try {
			result = await this.dependencies.connector.open(this.instance, account, connectTimeoutMs);
		} finally {
			this.tracker.removePendingRequest(pendingRequest);
			this.#openingCount -= 1;
		}

		if (result.kind === 'failed') {
			this.#recordFailure(result.failure, startedAt, this.dependencies.clock.now());
			return result.failure;
		}

		try {
			return this.#addOpened(result, account, startedAt);
		} catch (error) {
			result.connection.close();
			throw error;
		}
	}

	/** Adds a connection that was opened, or closes it if nothing may be sent to the instance any more. */
	#addOpened(result: Extract<ConnectResult, {kind: 'opened'}>, account: string, startedAt: number): ConnectFailure | undefined {
		const now = this.dependencies.clock.now();
		this.dependencies.metrics.recordDuration('connect', now - startedAt);
		this.dependencies.distance.recordRoundTrip(this.instance.zone, result.roundTripMs);
		this.tracker.recordAnswer(now);
		if (this.#isClosed || this.#isCutOff) {
			result.connection.close();
			return {reason: 'closed', message: 'instance was removed, or its zone evacuated, while the connection was being opened; the connection is closed'};
		}

		const connection = new PooledConnection(result.connection, account);
		connection.lastUsedAt = now;
		result.connection.onClosed(() => {
			this.#remove(connection);
			this.dependencies.onConnectionFreed();
		});
		this.allowance.recordOpening(now);
		this.#connections.add(connection);
		return undefined;
	}

	/** Makes a connection idle again, or closes it when its state is unknown. */
	release(connection: PooledConnection, isClean: boolean): void {
		connection.isBusy = false;
		connection.lastUsedAt = this.dependencies.clock.now();
		if (!isClean || this.#isClosed || this.#isCutOff || !connection.instanceConnection.isOpen) {
			this.#remove(connection);
			connection.instanceConnection.close();
		}

		this.dependencies.onConnectionFreed();
	}

	/** Closes idle connections that were last used before a time, after a connection of that age stopped answering. */
	closeIdleBefore(time: number): void {
		for (const connection of this.#connections) {
			if (!connection.isBusy && connection.lastUsedAt < time) {
				this.#remove(connection);
				connection.instanceConnection.close();
			}
		}
	}

	/**
	 * Closes connections that were idle for too long.
	 * @param keptCount - Minimum number of connections that stay open.
	 * @param idleMs - Idle time after which a connection may be closed, in milliseconds.
	 */
	closeIdle(keptCount: number, idleMs: number): void {
		const now = this.dependencies.clock.now();
		for (const connection of this.#connections) {
			if (this.connectionCount > keptCount && !connection.isBusy && now - connection.lastUsedAt > idleMs) {
				this.#remove(connection);
				connection.instanceConnection.close();
			}
		}
	}

	/** Sets whether nothing may be sent to the instance: closes every connection on which no statement runs, and the others when their statements have ended. */
	setCutOff(isCutOff: boolean): void {
		this.#isCutOff = isCutOff;
		if (!isCutOff) {
			return;
		}

		for (const connection of this.#connections) {
			connection.isCutOff = true;
			if (!connection.isRunning) {
				// The instance rolls back a transaction that is open on the connection.
				connection.instanceConnection.close();
				this.#remove(connection);
			}
		}
	}

	/** Closes every idle connection now, and the others when they are released. */
	close(): void {
		this.#isClosed = true;
		for (const connection of this.#connections) {
			if (!connection.isBusy) {
				this.#remove(connection);
				connection.instanceConnection.close();
			}
		}
	}

	/** Closes every connection now, also those in use. */
	abort(): void {
		this.close();
		for (const connection of this.#connections) {
			connection.instanceConnection.close();
		}
	}

	/** Finds the idle connection that was used least recently. */
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

	#recordFailure(failure: ConnectFailure, startedAt: number, now: number): void {
		this.dependencies.metrics.addCount(`connect_failed_${failure.reason}`);
		if (failure.reason === 'connection-limit' || failure.reason === 'busy') {
			this.tracker.recordAnswer(now);
			this.tracker.recordOverload(failure.reason, now);
			if (failure.reason === 'connection-limit') {
				this.allowance.recordRefusal(now);
			}
		} else {
			this.tracker.recordFailure(failure.reason === 'silent' ? 'silent' : 'refused', startedAt, now);
		}
	}
}
