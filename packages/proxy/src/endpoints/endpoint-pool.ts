import {type EndpointConnectionPort, type EndpointConnector} from './endpoint-port.js';

/** Connections that all VMs together leave unused, for a VM that is not listed yet. */
export const spareConnections = 2;

/**
 * Returns how many connections one VM may have to an instance.
 * @param connections - Connections that the instance has for all VMs together.
 * @param vms - Number of VMs known.
 */
export function getConnectionShare(connections: number, vms: number): number {
	return Math.max(spareConnections, Math.floor((connections - spareConnections) / Math.max(1, vms)));
}

/** The connections of this VM to one instance: one for control, the others for requests. */
export class EndpointPool {
	readonly control: EndpointConnectionPort;
	readonly #idle: EndpointConnectionPort[] = [];
	#open = 0;
	#limit = 1;

	/**
	 * @param address - Address of the instance.
	 * @param connector - Opens connections.
	 */
	constructor(readonly address: string, private readonly connector: EndpointConnector) {
		this.control = connector.openConnection(address);
	}

	/** Most connections for requests. */
	get limit(): number {
		return this.#limit;
	}

	/** Connections that are open, the one for control included. */
	get open(): number {
		return this.#open + 1;
	}

	/** Connections that requests own now. */
	get taken(): number {
		return this.#open - this.#idle.length;
	}

	/** Changes the number of connections; those too many close when they are given back. */
	setShare(share: number): void {
		this.#limit = Math.max(1, share - 1);
		while (this.#open > this.#limit && this.#idle.length > 0) {
			this.#closeConnection(this.#idle.pop()!);
		}
	}

	hasFree(): boolean {
		return this.taken < this.#limit;
	}

	/** Takes a connection that nobody else has, the one used last first. */
	takeConnection(): EndpointConnectionPort | undefined {
		const idle = this.#idle.pop();
		if (idle !== undefined || this.#open >= this.#limit) {
			return idle;
		}

		this.#open += 1;
		return this.connector.openConnection(this.address);
	}

	/** Gives a connection back; one that may hold somebody's state is closed. */
	returnConnection(connection: EndpointConnectionPort, isClean: boolean): void {
		if (isClean && this.#open <= this.#limit) {
			this.#idle.push(connection);
		} else {
			this.#closeConnection(connection);
		}
	}

	/** Opens the connections that are missing; each pings the instance once. */
	async warmConnections(openPing: (connection: EndpointConnectionPort) => Promise<unknown>): Promise<void> {
		const fresh: EndpointConnectionPort[] = [];
		while (this.#open < this.#limit) {
			this.#open += 1;
			fresh.push(this.connector.openConnection(this.address));
		}

		await Promise.all(fresh.map(async connection => openPing(connection)));
		for (const connection of fresh) {
			this.returnConnection(connection, true);
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
		this.#open -= 1;
		connection.close();
	}
}
