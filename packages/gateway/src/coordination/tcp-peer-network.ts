import {createServer, type Server, type Socket} from 'node:net';
import {formatPeerMessage, parsePeerMessage, type PeerMessage} from '@chicorysaddle/protocol/coordination';
import {
	type PeerHandlers, type PeerLink, type PeerServer, type PeerNetwork,
} from '../ports/index.js';
import {SocketWriter, UnreadOutput} from '../memory/index.js';
import {listenOnServer} from '../process/listen-on-server.js';
import {type LineBufferOwner, LineBuffers} from './line-buffers.js';
import {parseSocketAddress} from './socket-address.js';
import {connectSocket} from './socket-connection.js';

/** Maximum length of a line between VMs, in characters; it fits a configuration with thousands of routes. */
const maxLineLength = 16_777_216;

/** Maximum length of unfinished lines on all links, in characters: two of the longest. */
const maxBufferedLength = 2 * maxLineLength;

/** Maximum memory of what other VMs have not read, in bytes: one of the longest lines, and ordinary messages on all other links. */
const maxUnreadBytes = 25_165_824;

/** Memory up to which a link whose VM does not read is left alone, in bytes. */
const freeUnreadBytes = 16_384;

/** Time without data after which a connection is probed, in milliseconds: a VM that lost its power does not close it. */
const keepAliveDelayMs = 60_000;

/** Reports an error that closed the link to another VM. */
export type PeerErrorReporter = (error: Error) => void;

/** Memory that all links share. */
type LinkMemory = {
	readonly input: LineBuffers;
	readonly output: UnreadOutput;
};

/** Connection between two VMs with one JSON message per line; closes itself when a line is too long, or its handler fails. */
class LinePeerLink implements PeerLink, LineBufferOwner {
	/** Beginning of a line that is not complete. */
	#buffer = '';
	#isOpen = true;
	readonly #writer: SocketWriter;

	constructor(private readonly socket: Socket, private readonly getHandlers: () => PeerHandlers, private readonly reportError: PeerErrorReporter, private readonly memory: LinkMemory) {
		this.#writer = new SocketWriter(socket, memory.output, () => {
			this.#fail(new Error(`more than ${maxUnreadBytes} bytes on all links that other VMs have not read`));
		});
		socket.setNoDelay(true);
		socket.setKeepAlive(true, keepAliveDelayMs);
		socket.setEncoding('utf8');
		socket.on('data', (chunk: string) => {
			this.#handleData(chunk);
		});
		socket.on('error', () => {
			// The close event follows.
		});
		socket.on('close', () => {
			this.#end();
			this.getHandlers().onClosed();
		});
	}

	get isOpen(): boolean {
		return this.#isOpen;
	}

	send(message: PeerMessage): void {
		if (this.#isOpen) {
			this.#writer.write(formatPeerMessage(message), 'utf8');
		}
	}

	close(): void {
		this.#end();
		this.socket.destroy();
	}

	failBuffer(error: Error): void {
		this.#fail(error);
	}

	#handleData(chunk: string): void {
		let start = 0;
		for (let end = chunk.indexOf('\n'); this.#isOpen && end !== -1; end = chunk.indexOf('\n', start)) {
			const line = this.#buffer + chunk.slice(start, end);
			start = end + 1;
			this.#setBuffer('');
			this.#handleLine(line);
		}

		if (this.#isOpen) {
			this.#setBuffer(this.#buffer + chunk.slice(start));
		}
	}

	#setBuffer(text: string): void {
		this.#buffer = text;
		if (text.length > maxLineLength) {
			this.#fail(new Error(`a line of more than ${maxLineLength} characters`));
		} else {
			this.memory.input.setLength(this, text.length);
		}
	}

	#handleLine(line: string): void {
		try {
			this.getHandlers().onMessage(parsePeerMessage(line));
		} catch (error) {
			this.#fail(error instanceof Error ? error : new Error(String(error)));
		}
	}

	#end(): void {
		this.#isOpen = false;
		this.#buffer = '';
		this.memory.input.setLength(this, 0);
	}

	#fail(error: Error): void {
		this.reportError(error);
		this.close();
	}
}

/** Server of a TCP network. */
export type TcpPeerServer = PeerServer & {
	/** Port that the server is bound to. */
	readonly port: number;
};

/** Accepts a link and returns its handlers. */
type PeerAcceptor = (link: PeerLink) => PeerHandlers;

/** Server that closes connections until it has an acceptor. */
class LinePeerServer implements TcpPeerServer {
	/** Undefined until the VM listens: no message is taken in before. */
	accept: PeerAcceptor | undefined;
	readonly #server: Server;

	constructor(private readonly reportError: PeerErrorReporter, private readonly memory: LinkMemory) {
		this.#server = createServer(socket => {
			this.#handleSocket(socket);
		});
	}

	get port(): number {
		const bound = this.#server.address();
		return typeof bound === 'object' && bound !== null ? bound.port : 0;
	}

	async bind(address: string, reportServerError: PeerErrorReporter): Promise<void> {
		await listenOnServer(this.#server, parseSocketAddress(address), reportServerError);
	}

	close(): void {
		this.#server.close();
	}

	#handleSocket(socket: Socket): void {
		if (this.accept === undefined) {
			socket.destroy();
			return;
		}

		const link: PeerLink = new LinePeerLink(socket, () => handlers, this.reportError, this.memory);
		const handlers = this.accept(link);
	}
}

/** Connects VMs over TCP. */
export class TcpPeerNetwork implements PeerNetwork {
	readonly #memory = {input: new LineBuffers(maxBufferedLength), output: new UnreadOutput(maxUnreadBytes, freeUnreadBytes)};
	/** Servers that are bound and have no acceptor yet, by address. */
	readonly #boundServers = new Map<string, LinePeerServer>();

	/**
	 * @param reportError - Called with an error that closed a link; other links go on.
	 * @param reportServerError - Called with an error of a listening server; the server goes on.
	 */
	constructor(private readonly reportError: PeerErrorReporter, private readonly reportServerError: PeerErrorReporter = reportError) {}

	connect(address: string, handlers: PeerHandlers): PeerLink {
		return new LinePeerLink(connectSocket(address), () => handlers, this.reportError, this.#memory);
	}

	/**
	 * Binds an address for a later call of `listen`; until then connections to it are closed.
	 * @returns The server that holds the address.
	 * @throws When the address cannot be bound.
	 */
	async bind(address: string): Promise<PeerServer> {
		const server = new LinePeerServer(this.reportError, this.#memory);
		await server.bind(address, this.reportServerError);
		this.#boundServers.set(address, server);
		return server;
	}

	async listen(address: string, accept: PeerAcceptor): Promise<TcpPeerServer> {
		if (!this.#boundServers.has(address)) {
			await this.bind(address);
		}

		const server = this.#boundServers.get(address)!;
		this.#boundServers.delete(address);
		server.accept = accept;
		return server;
	}
}
