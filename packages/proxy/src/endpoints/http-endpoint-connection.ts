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
/** An idle connection stays open this long, in milliseconds. */
const idleTimeoutMs = 600_000;

/** Options of connections to endpoints. */
export type EndpointConnectionOptions = {
	readonly connectTimeoutMs: number;
	/** IP number that connections come from. */
	readonly sourceAddress?: string | undefined;
};

type EndpointMethod<Request extends DescMessage, Response extends DescMessage> = {
	readonly method: string;
	readonly request: Request;
	readonly response: Response;
};

const endpointMethods = {
	execute: {method: 'Execute', request: ExecuteRequestSchema, response: ExecuteResponseSchema},
	probe: {method: 'Probe', request: ProbeRequestSchema, response: InstanceStatusSchema},
	fence: {method: 'Fence', request: FenceRequestSchema, response: FenceResponseSchema},
	promote: {method: 'Promote', request: PromoteRequestSchema, response: FenceResponseSchema},
} as const;

/** One connection that speaks the unary Connect protocol, one request at a time. */
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
		const response = await this.#send(endpointMethods.execute, request, options);
		return response.chain(answer => {
			if (answer.requestId === request.requestId) {
				return Right(answer);
			}

			// The answer belongs to another request: nothing on this connection can be trusted.
			this.#reset();
			return Left({stage: 'unanswered', message: `answer to "${answer.requestId}" instead of "${request.requestId}"`});
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

	/** Breaks the connection, so that a late answer cannot be read as another's; the next request opens it anew. */
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
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		client.on('disconnect', () => {
			this.#disconnectCount += 1;
		});
		return client;
	}

	async #send<Request extends DescMessage, Response extends DescMessage>(call: EndpointMethod<Request, Response>, request: MessageShape<Request>, options: EndpointCallOptions): Promise<Either<EndpointFailure, MessageShape<Response>>> {
		if (options.timeoutMs <= 0 || this.#isClosed) {
			return Left({stage: 'unsent', message: this.#isClosed ? 'the connection is closed' : 'no time left'});
		}

		const timer = setTimeout(() => {
			this.#reset();
		}, Math.ceil(options.timeoutMs));
		try {
			const response = await this.#client.request({
				method: 'POST',
				path: `${servicePath}/${call.method}`,
				headers: {'content-type': 'application/proto', ...(options.traceparent ? {traceparent: options.traceparent} : {})},
				body: toBinary(call.request, request),
			});
			const body = new Uint8Array(await response.body.arrayBuffer());
			return response.statusCode === 200
				? Right(fromBinary(call.response, body))
				: Left({stage: 'unanswered', message: `status ${response.statusCode}`});
		} catch (error) {
			return Left(createEndpointFailure(error));
		} finally {
			clearTimeout(timer);
		}
	}
}

const unsentErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL']);

/** A request whose connection was never established was not sent; one whose connection was broken here may have been. */
function createEndpointFailure(error: unknown): EndpointFailure {
	const message = error instanceof Error ? error.message : String(error);
	const code = error instanceof Error && 'code' in error ? String(error.code) : '';
	const isUnsent = unsentErrorCodes.has(code)
		|| error instanceof errors.ConnectTimeoutError;
	return {stage: isUnsent ? 'unsent' : 'unanswered', message};
}

/** Opens connections over HTTP/1.1. */
export class HttpEndpointConnector implements EndpointConnector {
	constructor(private readonly options: EndpointConnectionOptions) {}

	openConnection(address: string): HttpEndpointConnection {
		return new HttpEndpointConnection(address, this.options);
	}
}
