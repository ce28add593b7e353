import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';

/** A one-way-dialled TCP link between two VMs that adds latency and can be cut. */
export class Link {
	isCut = false;
	/** Bytes carried, both ways. */
	bytes = 0;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	/**
	 * @param getTarget - Returns the current host and port of the far end.
	 * @param delayMs - One-way latency.
	 */
	constructor(private readonly getTarget: () => {host: string; port: number} | undefined, private readonly delayMs: number) {
		this.#server = createServer(socket => {
			this.#accept(socket);
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

	#accept(near: Socket): void {
		const target = this.getTarget();
		if (target === undefined) {
			near.destroy();
			return;
		}

		const far = connect(target.port, target.host);
		this.#pipe(near, far);
		this.#pipe(far, near);
	}

	#pipe(from: Socket, to: Socket): void {
		this.#sockets.add(from);
		from.setNoDelay(true);
		// What is sent over a cut link vanishes; the connection does not break.
		from.on('data', chunk => {
			this.bytes += chunk.length;
			setTimeout(() => {
				if (!this.isCut) {
					to.write(chunk);
				}
			}, this.delayMs);
		});
		from.on('error', () => undefined);
		from.on('close', () => {
			this.#sockets.delete(from);
			to.destroy();
		});
	}
}
