import {type Context} from '@opentelemetry/api';

/** What came with a request besides its body. */
export type RequestContext = {
	/** The Authorization header. */
	readonly authorization: string;
	/** The Idempotency-Key header, empty for none. */
	readonly idempotencyKey: string;
	/** Time by which an answer or a refusal has to be sent. */
	readonly deadline: number;
	/** Trace that the request belongs to. */
	readonly trace: Context;
};
