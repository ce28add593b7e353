import {
	createConnection, createServer, type Server, type Socket,
} from 'node:net';
import {formatPeerMessage, parsePeerMessage, type PeerMessage} from '@chicorysaddle/protocol/coordination';

/** Longest line between VMs, characters: a configuration of thousands of routes. */
const maxLineLength = 16_777_216;

/** Called with each message; an invalid one is passed on as such. */
export type PeerListener = (message: ReturnType<typeof parsePeerMessage>) => void;

/** A connection between two VMs that carries one JSON message a line. */
export class PeerLink {
	#text = '';
	#isOpen = true;

	constructor(private readonly socket: Socket, private readonly onMessage: PeerListener, private readonly onClosed: () => void) {
		socket.setNoDelay(true);
		socket.setEncoding('utf8');
		socket.on('data', (chunk: string) => {
			this.#receive(chunk);
		});
		socket.on('error', () => {
			// The close event follows.
		});
		socket.on('close', () => {
			this.#isOpen = false;
			this.onClosed();
		});
	}

	get isOpen(): boolean {
		return this.#isOpen;
	}

	send(message: PeerMessage): void {
		if (this.#isOpen) {
			this.socket.write(formatPeerMessage(message));
		}
	}

	close(): void {
		this.#isOpen = false;
		this.socket.destroy();
	}

	#receive(chunk: string): void {
		this.#text += chunk;
		if (this.#text.length > maxLineLength) {
			this.close();
			return;
		}

		for (let end = this.#text.indexOf('\n'); end !== -1; end = this.#text.indexOf('\n')) {
			const line = this.#text.slice(0, end);
			this.#text = this.#text.slice(end + 1);
			this.onMessage(parsePeerMessage(line));
		}
	}
}

/** Host and port of a listener. */
export type SocketAddress = {
	readonly host: string;
	readonly port: number;
};

/** Reads `HOST:PORT`. */
export function parseSocketAddress(text: string): SocketAddress {
	const colon = text.lastIndexOf(':');
	return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}

/**
 * Connects to another VM; the link may be used before it is open.
 * @param onClosed - Called once, also when the VM cannot be reached.
 */
export function connectPeer(address: SocketAddress, onMessage: PeerListener, onClosed: () => void): PeerLink {
	return new PeerLink(createConnection(address), onMessage, onClosed);
}

/**
 * Takes connections of other VMs.
 * @param accept - Called with each link; returns what listens on it.
 */
export async function listenForPeers(address: SocketAddress, accept: (link: PeerLink) => {onMessage: PeerListener; onClosed: () => void}): Promise<Server> {
	const server = createServer(socket => {
		const link: PeerLink = new PeerLink(socket, message => {
			handlers.onMessage(message);
		}, () => {
			handlers.onClosed();
		});
		const handlers = accept(link);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, () => {
			server.removeListener('error', reject);
			resolve();
		});
	});
	return server;
}
