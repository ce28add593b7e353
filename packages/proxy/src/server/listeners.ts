import {createServer, type RequestListener, type Server} from 'node:http';
import {
	createServer as createHttp2Server, type Http2Server, type Http2ServerRequest, type Http2ServerResponse, type ServerHttp2Session,
} from 'node:http2';
import {type AddressInfo, type Server as NetServer} from 'node:net';
import {type Settings} from '../settings/index.js';

type Http2Listener = (request: Http2ServerRequest, response: Http2ServerResponse) => void;

/** Maximum time for a client to send the headers of a request, in milliseconds. */
const headersTimeoutMs = 10_000;
/** Maximum time for a client to send a whole request, in milliseconds. */
const requestTimeoutMs = 30_000;
/** Time after which an idle connection is closed, in milliseconds. */
const keepAliveTimeoutMs = 75_000;

/** The HTTP servers of one proxy; their request listeners are set once the services exist. */
export class Listeners {
	readonly caller: Server;
	readonly callerHttp2: Http2Server;
	readonly peer: Http2Server;
	readonly operator: Server;
	readonly #peerSessions = new Set<ServerHttp2Session>();

	constructor(private readonly settings: Settings) {
		const options = {headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs, keepAliveTimeout: keepAliveTimeoutMs};
		this.caller = createServer(options);
		this.callerHttp2 = createHttp2Server();
		this.peer = createHttp2Server();
		this.operator = createServer(options);
		this.peer.on('session', session => {
			this.#peerSessions.add(session);
			session.once('close', () => {
				this.#peerSessions.delete(session);
			});
		});
	}

	get callerPort(): number {
		return getPort(this.caller);
	}

	get peerPort(): number {
		return getPort(this.peer);
	}

	get operatorPort(): number {
		return getPort(this.operator);
	}

	/** Binds the ports for peers, operators and callers; rejects if one cannot be bound. */
	async openPorts(): Promise<void> {
		const {ports, vm} = this.settings;
		await listen(this.peer, ports.peer, vm.address);
		await listen(this.operator, ports.operator, vm.address);
		await listen(this.caller, ports.caller, vm.address);
		if (ports.caller_http2 !== undefined) {
			await listen(this.callerHttp2, ports.caller_http2, vm.address);
		}
	}

	/** Sets the request listeners of the HTTP/1.1 and HTTP/2 caller ports. */
	setCallerListener(listener: RequestListener, http2Listener: Http2Listener): void {
		this.caller.on('request', listener);
		this.callerHttp2.on('request', http2Listener);
	}

	/**
	 * Stops accepting callers and waits for the requests in flight; then closes the HTTP/1.1 connections.
	 * @param timeoutMs - Maximum time to wait, in milliseconds.
	 */
	async closeCallerPorts(timeoutMs: number): Promise<void> {
		const closed = [closeServer(this.caller), ...this.callerHttp2.listening ? [closeServer(this.callerHttp2)] : []];
		this.caller.closeIdleConnections();
		const timeout = new Promise(resolve => {
			setTimeout(resolve, timeoutMs).unref();
		});
		await Promise.race([Promise.all(closed), timeout]);
		this.caller.closeAllConnections();
	}

	/** Closes the peer and operator ports with all their connections. */
	closePeerAndOperatorPorts(): void {
		this.peer.close();
		for (const session of this.#peerSessions) {
			session.destroy();
		}

		this.operator.close();
		this.operator.closeAllConnections();
	}
}

async function listen(server: NetServer, port: number, host: string): Promise<void> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			server.off('error', reject);
			resolve();
		});
	});
}

async function closeServer(server: NetServer): Promise<void> {
	return new Promise(resolve => {
		server.close(() => {
			resolve();
		});
	});
}

function getPort(server: NetServer): number {
	return (server.address() as AddressInfo).port;
}
