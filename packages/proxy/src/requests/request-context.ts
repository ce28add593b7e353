import {type Context} from '@opentelemetry/api';

/** Headers, deadline and trace of a request. */
export type RequestContext = {
	/** Value of the Authorization header; empty if absent. */
	readonly authorization: string;
	/** Value of the Idempotency-Key header; empty if absent. */
	readonly idempotencyKey: string;
	/** Time by which a response or a refusal has to be sent, in monotonic milliseconds. */
	readonly deadline: number;
	/** Trace context of the request. */
	readonly trace: Context;
};
