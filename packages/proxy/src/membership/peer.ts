import {type Client, createClient, type Interceptor} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {createHttp2SessionOptions} from '@chicorysaddle/store';
import {PeerService} from '@chicorysaddle/protocol';

/** Header that carries the shared secret of the proxies. */
export const peerSecretHeader = 'x-peer-secret';

/** Options of connections to peers. */
export type PeerOptions = {
	readonly secret: string;
	readonly sourceAddress?: string | undefined;
};

/** Client of another VM's proxy, with the state that it last reported. */
export class Peer {
	readonly client: Client<typeof PeerService>;
	incarnation = '';
	/** Time of the poll that first returned this incarnation, in monotonic milliseconds; infinity before the first response. */
	incarnationSince = Number.POSITIVE_INFINITY;
	configurationVersion = 0;
	/** Whether the peer reports that it has known every accepted configuration change since its start. */
	isSynchronized = false;
	isDraining = false;
	/** Whether the platform's VM list marks the VM as leaving. */
	isLeaving = false;
	/** Holder and term of each lease that the peer reports to hold, by lease. */
	leases: ReadonlyMap<string, {readonly holder: string; readonly term: number}> = new Map();
	/** Time at which the latest poll that the peer answered was sent, in monotonic milliseconds. */
	answeredRequestSentAt = Number.NEGATIVE_INFINITY;
	/** Time at which the VM was last listed or last sent a request to this VM, in monotonic milliseconds. */
	lastSeenAt = Number.NEGATIVE_INFINITY;
	readonly #sessions: Http2SessionManager;

	constructor(readonly name: string, readonly address: string, readonly zone: string, options: PeerOptions) {
		const baseUrl = `http://${address}`;
		const addSecret: Interceptor = next => async request => {
			request.header.set(peerSecretHeader, options.secret);
			return next(request);
		};

		this.#sessions = new Http2SessionManager(baseUrl, {idleConnectionTimeoutMs: 60_000}, createHttp2SessionOptions(options.sourceAddress));
		this.client = createClient(PeerService, createConnectTransport({
			baseUrl, httpVersion: '2', sessionManager: this.#sessions, interceptors: [addSecret], useBinaryFormat: true,
		}));
	}

	/** Closes the connections to the peer. */
	close(): void {
		this.#sessions.abort();
	}
}
