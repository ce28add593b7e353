import {type Client, createClient, type Interceptor} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {createHttp2SessionOptions} from '@chicorysaddle/store';
import {PeerService} from '@chicorysaddle/protocol';

/** Header in which proxies show one another their secret. */
export const peerSecretHeader = 'x-peer-secret';

/** Options of connections to peers. */
export type PeerOptions = {
	readonly secret: string;
	readonly sourceAddress?: string | undefined;
};

/** Another proxy, as this one knows it. */
export class Peer {
	readonly client: Client<typeof PeerService>;
	incarnation = '';
	/** Time since when this incarnation is known. */
	incarnationSince = Number.POSITIVE_INFINITY;
	configurationVersion = 0;
	isSynchronized = false;
	isDraining = false;
	/** Whether the platform lists it as leaving. */
	isLeaving = false;
	/** Who holds each lease, as it knows. */
	leases: ReadonlyMap<string, {readonly holder: string; readonly term: number}> = new Map();
	/** Time at which the last question that it answered was sent. */
	answeredRequestSentAt = Number.NEGATIVE_INFINITY;
	/** Time at which it was last listed, or last asked this VM something. */
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

	/** Ends its connection. */
	close(): void {
		this.#sessions.abort();
	}
}
