import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';

/** TCP relay from one VM to another that adds latency and can drop all data. */
export class Link {
	/** Whether data is discarded while the connections stay open, as in a network partition. */
	isDropping = false;
	/** Number of bytes received from both ends. */
	byteCount = 0;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	/**
	 * @param getTarget - Returns the current host and port of the target, or undefined if it is not running.
	 * @param latencyMs - One-way latency, in milliseconds.
	 */
	constructor(private readonly getTarget: () => {host: string; port: number} | undefined, private readonly latencyMs: number) {
		this.#server = createServer(socket => {
			this.#acceptConnection(socket);
		});
	}

	/** Address that the relay listens on, as host:port. */
	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	stop(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#acceptConnection(inbound: Socket): void {
		const target = this.getTarget();
		if (target === undefined) {
			inbound.destroy();
			return;
		}

		const outbound = connect(target.port, target.host);
		this.#forward(inbound, outbound);
		this.#forward(outbound, inbound);
	}

	#forward(from: Socket, to: Socket): void {
		this.#sockets.add(from);
		from.setNoDelay(true);
		from.on('data', chunk => {
			this.byteCount += chunk.length;
			setTimeout(() => {
				if (!this.isDropping) {
					to.write(chunk);
				}
			}, this.latencyMs);
		});
		from.on('error', () => undefined);
		from.on('close', () => {
			this.#sockets.delete(from);
			to.destroy();
		});
	}
}
