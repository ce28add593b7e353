import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';

/** A one-way-dialled TCP link between two VMs that adds latency and can be cut. */
export class Link {
	isDropping = false;
	/** Bytes carried, both ways. */
	byteCount = 0;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	/**
	 * @param getTarget - Returns the current host and port of the far end.
	 * @param latencyMs - One-way latency.
	 */
	constructor(private readonly getTarget: () => {host: string; port: number} | undefined, private readonly latencyMs: number) {
		this.#server = createServer(socket => {
			this.#acceptConnection(socket);
		});
	}

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
