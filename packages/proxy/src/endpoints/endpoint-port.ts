import {type Either} from 'purify-ts';
import {
	type ExecuteRequest, type ExecuteResponse, type FenceResponse, type InstanceStatus, type ProbeRequest, type FenceRequest, type PromoteRequest,
} from '@chicorysaddle/protocol';
import {type RequestStage} from '@chicorysaddle/decisions';

/** Failure of a request without a usable response. */
export type EndpointFailure = {
	/** Whether the request may have reached the endpoint. */
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
	execute(request: ExecuteRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, ExecuteResponse>>;
	probe(request: ProbeRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, InstanceStatus>>;
	fence(request: FenceRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, FenceResponse>>;
	promote(request: PromoteRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, FenceResponse>>;
	/** Number of times the connection was lost; the next request reconnects. */
	readonly disconnectCount: number;
	/** Closes the connection at once and aborts the request in flight. */
	close(): void;
};

/** Opens connections to endpoints. */
export type EndpointConnector = {
	openConnection(address: string): EndpointConnectionPort;
};
