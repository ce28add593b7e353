import {type Either} from 'purify-ts';
import {
	type ExecuteRequest, type ExecuteResponse, type FenceResponse, type InstanceStatus, type ProbeRequest, type FenceRequest, type PromoteRequest,
} from '@chicorysaddle/protocol';
import {type RequestStage} from '@chicorysaddle/decisions';

/** A request that brought no usable answer, and how far it had got. */
export type EndpointFailure = {
	readonly stage: Extract<RequestStage, 'unsent' | 'unanswered'>;
	readonly message: string;
};

/** Options of one request to an endpoint. */
export type EndpointCallOptions = {
	readonly timeoutMs: number;
	/** W3C trace context of the hop, empty for none. */
	readonly traceparent?: string;
};

/** One connection to an instance of a database group. */
export type EndpointConnectionPort = {
	execute(request: ExecuteRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, ExecuteResponse>>;
	probe(request: ProbeRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, InstanceStatus>>;
	fence(request: FenceRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, FenceResponse>>;
	promote(request: PromoteRequest, options: EndpointCallOptions): Promise<Either<EndpointFailure, FenceResponse>>;
	/** Number of times that the connection has been lost. */
	readonly disconnectCount: number;
	/** Closes the connection at once, with whatever runs on it. */
	close(): void;
};

/** Opens connections to endpoints. */
export type EndpointConnector = {
	openConnection(address: string): EndpointConnectionPort;
};
