import {type EndpointConnectionPort, type EndpointConnector} from './endpoint-port.js';

/** Connections that all VMs together leave unused, for a VM that is not listed yet. */
export const reservedConnections = 2;

/**
 * Returns how many connections one VM may have to an instance.
 * @param connections - Connections that the instance has for all VMs together.
 * @param vmCount - Number of VMs known.
 */
export function getMaxConnectionsPerVm(connections: number, vmCount: number): number {
	return Math.max(reservedConnections, Math.floor((connections - reservedConnections) / Math.max(1, vmCount)));
}

/** The connections of this VM to one instance: one for control, the others for requests. */
export class EndpointConnectionPool {
	readonly control: EndpointConnectionPort;
	readonly #idle: EndpointConnectionPort[] = [];
	#requestConnectionCount = 0;
	#maxRequestConnections = 1;

	/**
	 * @param address - Address of the instance.
	 * @param connector - Opens connections.
	 */
	constructor(readonly address: string, private readonly connector: EndpointConnector) {
		this.control = connector.openConnection(address);
	}

	/** Most connections for requests. */
	get maxRequestConnections(): number {
		return this.#maxRequestConnections;
	}

	/** Connections that are open, the one for control included. */
	get openCount(): number {
		return this.#requestConnectionCount + 1;
	}

	/** Connections that requests own now. */
	get acquiredCount(): number {
		return this.#requestConnectionCount - this.#idle.length;
	}

	/** Changes the number of connections; those too many close when they are given back. */
	setMaxConnections(maxConnections: number): void {
		this.#maxRequestConnections = Math.max(1, maxConnections - 1);
		while (this.#requestConnectionCount > this.#maxRequestConnections && this.#idle.length > 0) {
			this.#closeConnection(this.#idle.pop()!);
		}
	}

	hasFreeConnection(): boolean {
		return this.acquiredCount < this.#maxRequestConnections;
	}

	/** Takes a connection that nobody else has, the one used last first. */
	acquireConnection(): EndpointConnectionPort | undefined {
		const idle = this.#idle.pop();
		if (idle !== undefined || this.#requestConnectionCount >= this.#maxRequestConnections) {
			return idle;
		}

		this.#requestConnectionCount += 1;
		return this.connector.openConnection(this.address);
	}

	/** Gives a connection back; one that may hold somebody's state is closed. */
	releaseConnection(connection: EndpointConnectionPort, isClean: boolean): void {
		if (isClean && this.#requestConnectionCount <= this.#maxRequestConnections) {
			this.#idle.push(connection);
		} else {
			this.#closeConnection(connection);
		}
	}

	/** Opens the connections that are missing; each pings the instance once. */
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

	/** Closes every connection that no request owns. */
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
