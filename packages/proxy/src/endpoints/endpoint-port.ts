import {type Either} from 'purify-ts';
import {
	type ExecuteRequest, type ExecuteResponse, type FenceResponse, type InstanceStatus, type ProbeRequest, type FenceRequest, type PromoteRequest,
} from '@chicorysaddle/protocol';
import {type RequestStage} from '@chicorysaddle/decisions';

/** Failure of a request without a usable response. */
export type EndpointFailure = {
	/** `unsent` if the request cannot have reached the endpoint, `unanswered` if it may have. */
	readonly stage: Extract<RequestStage, 'unsent' | 'unanswered'>;
	readonly message: string;
};

/** Options of one request to an endpoint. */
export type EndpointCallOptions = {
	readonly timeoutMs: number;
	/** W3C `traceparent` of the hop, empty for none. */
	readonly traceparent?: string;
};

/** One connection to an instance of a database group. */
export type EndpointConnectionPort = {
	/** Runs a single statement or a step of a transaction. */
	execute(request: ExecuteRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, ExecuteResponse>>;
	/** Requests the status of the instance, which may wait until it reaches a log position. */
	probe(request: ProbeRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, InstanceStatus>>;
	/** Makes the instance refuse all terms below the given one. */
	fence(request: FenceRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, FenceResponse>>;
	/** Makes the instance the primary of a term. */
	promote(request: PromoteRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, FenceResponse>>;
	/** Number of times that the connection was lost; the next request reconnects. */
	readonly disconnectCount: number;
	/** Closes the connection at once and aborts the request in flight. */
	close(): void;
};

/** Opens connections to endpoints. */
export type EndpointConnector = {
	/**
	 * Creates a connection, which connects on its first request.
	 * @param address - Host and port of the endpoint.
	 */
	openConnection(address: string): EndpointConnectionPort;
};
