import {
	type DescMessage, fromBinary, type MessageShape, toBinary,
} from '@bufbuild/protobuf';
import {type Either, Left, Right} from 'purify-ts';
import {Client, errors} from 'undici';
import {
	type ExecuteRequest, ExecuteRequestSchema, type ExecuteResponse, ExecuteResponseSchema, type FenceRequest, FenceRequestSchema, type FenceResponse,
	FenceResponseSchema, type InstanceStatus, InstanceStatusSchema, type ProbeRequest, ProbeRequestSchema, type PromoteRequest, PromoteRequestSchema,
} from '@chicorysaddle/protocol';
import {
	type EndpointCallOptions, type EndpointConnectionPort, type EndpointConnector, type EndpointFailure,
} from './endpoint-port.js';

const servicePath = '/chicorysaddle.endpoint.v1.EndpointService';
/** Time after which an idle connection is closed, in milliseconds. */
const idleTimeoutMs = 600_000;

/** Options of connections to endpoints. */
export type EndpointConnectionOptions = {
	readonly connectTimeoutMs: number;
	/** Local IP address that connections are opened from; the system chooses one if absent. */
	readonly sourceAddress?: string | undefined;
};

type EndpointMethod<Request extends DescMessage, Response extends DescMessage> = {
	readonly name: string;
	readonly request: Request;
	readonly response: Response;
};

const endpointMethods = {
	execute: {name: 'Execute', request: ExecuteRequestSchema, response: ExecuteResponseSchema},
	probe: {name: 'Probe', request: ProbeRequestSchema, response: InstanceStatusSchema},
	fence: {name: 'Fence', request: FenceRequestSchema, response: FenceResponseSchema},
	promote: {name: 'Promote', request: PromoteRequestSchema, response: FenceResponseSchema},
} as const;

/** Connection to an endpoint that speaks the unary Connect protocol over HTTP/1.1, one request at a time. */
export class HttpEndpointConnection implements EndpointConnectionPort {
	#disconnectCount = 0;
	#isClosed = false;
	#client: Client;

	constructor(private readonly address: string, private readonly options: EndpointConnectionOptions) {
		this.#client = this.#createClient();
	}

	get disconnectCount(): number {
		return this.#disconnectCount;
	}

	async execute(request: ExecuteRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, ExecuteResponse>> {
		const result = await this.#send(endpointMethods.execute, request, options);
		return result.chain(response => {
			if (response.requestId === request.requestId) {
				return Right(response);
			}

			// The response belongs to another request, so later responses on this connection may be misattributed too.
			this.#reset();
			return Left({stage: 'unanswered', message: `response has request ID "${response.requestId}" instead of "${request.requestId}"`});
		});
	}

	async probe(request: ProbeRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, InstanceStatus>> {
		return this.#send(endpointMethods.probe, request, options);
	}

	async fence(request: FenceRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, FenceResponse>> {
		return this.#send(endpointMethods.fence, request, options);
	}

	async promote(request: PromoteRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, FenceResponse>> {
		return this.#send(endpointMethods.promote, request, options);
	}

	close(): void {
		this.#isClosed = true;
		this.#client.destroy().catch(() => undefined);
	}

	/** Destroys the connection, so that a late response is not taken for the response to another request; the next request reconnects. */
	#reset(): void {
		this.#client.removeAllListeners('disconnect');
		this.#client.destroy().catch(() => undefined);
		if (!this.#isClosed) {
			this.#disconnectCount += 1;
			this.#client = this.#createClient();
		}
	}

	#createClient(): Client {
		const {connectTimeoutMs, sourceAddress} = this.options;
		const client = new Client(`http://${this.address}`, {
			pipelining: 1,
			connect: {timeout: connectTimeoutMs, ...(sourceAddress === undefined ? {} : {localAddress: sourceAddress})},
			keepAliveTimeout: idleTimeoutMs,
			keepAliveMaxTimeout: idleTimeoutMs,
			// Disabled, because each request has its own timeout.
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		client.on('disconnect', () => {
			this.#disconnectCount += 1;
		});
		return client;
	}

	async #send<Request extends DescMessage, Response extends DescMessage>(endpointMethod: EndpointMethod<Request, Response>, request: MessageShape<Request>, options: EndpointCallOptions): Promise<Either<EndpointFailure, MessageShape<Response>>> {
		if (options.timeoutMs <= 0 || this.#isClosed) {
			return Left({stage: 'unsent', message: this.#isClosed ? 'connection is closed' : 'deadline has passed'});
		}

		const timer = setTimeout(() => {
			this.#reset();
		}, Math.ceil(options.timeoutMs));
		try {
			const response = await this.#client.request({
				method: 'POST',
				path: `${servicePath}/${endpointMethod.name}`,
				headers: {'content-type': 'application/proto', ...(options.traceparent ? {traceparent: options.traceparent} : {})},
				body: toBinary(endpointMethod.request, request),
			});
			const body = new Uint8Array(await response.body.arrayBuffer());
			return response.statusCode === 200
				? Right(fromBinary(endpointMethod.response, body))
				: Left({stage: 'unanswered', message: `endpoint responded with HTTP status ${response.statusCode}`});
		} catch (error) {
			return Left(createEndpointFailure(error));
		} finally {
			clearTimeout(timer);
		}
	}
}

/** System errors that occur before a connection is established. */
const unsentErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL']);

/** Creates the failure for an error: a request is unsent only if its connection was never established. */
function createEndpointFailure(error: unknown): EndpointFailure {
	const message = error instanceof Error ? error.message : String(error);
	const code = error instanceof Error && 'code' in error ? String(error.code) : '';
	const isUnsent = unsentErrorCodes.has(code)
		|| error instanceof errors.ConnectTimeoutError;
	return {stage: isUnsent ? 'unsent' : 'unanswered', message};
}

/** Opens connections to endpoints over HTTP/1.1. */
export class HttpEndpointConnector implements EndpointConnector {
	constructor(private readonly options: EndpointConnectionOptions) {}

	openConnection(address: string): HttpEndpointConnection {
		return new HttpEndpointConnection(address, this.options);
	}
}
