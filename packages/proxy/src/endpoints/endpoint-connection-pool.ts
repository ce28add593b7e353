import {type EndpointConnectionPort, type EndpointConnector} from './endpoint-port.js';

/** Number of connections to an instance that the known VMs leave free for a VM that is not listed yet. */
export const connectionsReservedForNewVm = 2;

/**
 * Returns the maximum number of connections from one VM to an instance.
 * @param connections - Connection limit of the instance, over all VMs.
 * @param vmCount - Number of known VMs.
 */
export function getMaxConnectionsPerVm(connections: number, vmCount: number): number {
	return Math.max(connectionsReservedForNewVm, Math.floor((connections - connectionsReservedForNewVm) / Math.max(1, vmCount)));
}

/** Pool of connections from this VM to one instance, with a separate control connection. */
export class EndpointConnectionPool {
	readonly control: EndpointConnectionPort;
	readonly #idle: EndpointConnectionPort[] = [];
	#requestConnectionCount = 0;
	#maxRequestConnections = 1;
	#mayOpen = true;
	#isAbandoned = false;

	/**
	 * @param address - Host and port of the instance.
	 * @param connector - Opens connections.
	 */
	constructor(readonly address: string, private readonly connector: EndpointConnector) {
		this.control = connector.openConnection(address);
	}

	/** Maximum number of connections for requests, without the control connection. */
	get maxRequestConnections(): number {
		return this.#maxRequestConnections;
	}

	/** Number of open connections, including the control connection. */
	get openCount(): number {
		return this.#requestConnectionCount + 1;
	}

	/** Number of connections that requests hold. */
	get acquiredCount(): number {
		return this.#requestConnectionCount - this.#idle.length;
	}

	/** Sets the maximum number of connections, including the control connection; surplus ones are closed once they are idle. */
	setMaxConnections(maxConnections: number): void {
		this.#maxRequestConnections = Math.max(1, maxConnections - 1);
		while (this.#requestConnectionCount > this.#maxRequestConnections && this.#idle.length > 0) {
			this.#closeConnection(this.#idle.pop()!);
		}
	}

	/** Returns whether `acquireConnection` would return a connection. */
	hasFreeConnection(): boolean {
		return this.acquiredCount < this.#maxRequestConnections;
	}

	/** Returns the most recently used idle connection or a new one, undefined if the maximum is in use. */
	acquireConnection(): EndpointConnectionPort | undefined {
		const idle = this.#idle.pop();
		if (idle !== undefined || !this.#mayOpen || this.#requestConnectionCount >= this.#maxRequestConnections) {
			return idle;
		}

		this.#requestConnectionCount += 1;
		return this.connector.openConnection(this.address);
	}

	/**
	 * Returns a connection to the pool, or closes it if the pool has too many.
	 * @param connection - Connection acquired from this pool.
	 * @param isClean - Whether the connection holds no state of its request; otherwise it is closed.
	 */
	releaseConnection(connection: EndpointConnectionPort, isClean: boolean): void {
		if (isClean && !this.#isAbandoned && this.#requestConnectionCount <= this.#maxRequestConnections) {
			this.#idle.push(connection);
		} else {
			this.#closeConnection(connection);
		}
	}

	/** Opens connections up to the maximum and pings the instance once on each. */
	async warmConnections(ping: (connection: EndpointConnectionPort) => Promise<unknown>): Promise<void> {
		const newConnections: EndpointConnectionPort[] = [];
		while (this.#requestConnectionCount < this.#maxRequestConnections) {
			this.#requestConnectionCount += 1;
			newConnections.push(this.connector.openConnection(this.address));
		}

		await Promise.all(newConnections.map(async connection => ping(connection)));
		for (const connection of newConnections) {
			this.releaseConnection(connection, true);
		}
	}

	/** Sets whether connections may be opened. */
	setMayOpen(mayOpen: boolean): void {
		this.#mayOpen = mayOpen;
	}

	/** Closes the control connection and all idle connections, and the others when they are released. */
	abandon(): void {
		this.#isAbandoned = true;
		this.close();
	}

	/** Closes the control connection and all idle connections. */
	close(): void {
		this.control.close();
		for (const connection of this.#idle.splice(0)) {
			this.#closeConnection(connection);
		}
	}

	#closeConnection(connection: EndpointConnectionPort): void {
		this.#requestConnectionCount -= 1;
		connection.close();
	}
}
