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
	/** Time since which this incarnation is known. */
	incarnationSince = Number.POSITIVE_INFINITY;
	configurationVersion = 0;
	isSynchronized = false;
	isDraining = false;
	/** Whether the platform lists it as leaving. */
	isLeaving = false;
	/** Holder and term of each lease that it reports to hold. */
	leases: ReadonlyMap<string, {readonly holder: string; readonly term: number}> = new Map();
	/** Time at which the latest request that it answered was sent. */
	answeredRequestSentAt = Number.NEGATIVE_INFINITY;
	/** Time at which it was last listed or last sent a request to this VM. */
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

	close(): void {
		this.#sessions.abort();
	}
}
