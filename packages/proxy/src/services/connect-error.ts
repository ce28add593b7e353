import {Code, ConnectError} from '@connectrpc/connect';
import {RefusalDetailSchema} from '@chicorysaddle/protocol';
import {Refusal, refusals, type StatusName} from '@chicorysaddle/model';

const codesByStatus: Readonly<Record<StatusName, Code>> = {
	invalid_argument: Code.InvalidArgument,
	unauthenticated: Code.Unauthenticated,
	permission_denied: Code.PermissionDenied,
	not_found: Code.NotFound,
	failed_precondition: Code.FailedPrecondition,
	resource_exhausted: Code.ResourceExhausted,
	unavailable: Code.Unavailable,
	deadline_exceeded: Code.DeadlineExceeded,
	aborted: Code.Aborted,
	unknown: Code.Unknown,
	internal: Code.Internal,
};

const msPerSecond = 1000;

/**
 * Creates the Connect error for a refusal, with its kind, execution status and retry delay.
 * @param refusal - The refusal.
 * @param session - New session token of the caller, empty if it stays the same.
 */
export function createConnectError(refusal: Refusal, session = ''): ConnectError {
	const {details} = refusal;
	const metadata = new Headers({'chicorysaddle-refusal': refusal.kind, 'chicorysaddle-ran': details.ran});
	if (details.retryable) {
		metadata.set('retry-after', String(Math.max(1, Math.ceil(refusal.retryAfterMs / msPerSecond))));
	}

	return new ConnectError(refusal.message, codesByStatus[details.status], metadata, [{
		desc: RefusalDetailSchema,
		value: {
			kind: refusal.kind, ran: details.ran, retryable: details.retryable, retryAfterMs: Math.ceil(refusal.retryAfterMs), session,
		},
	}]);
}

/** Returns the refusal for a thrown value; anything but a refusal becomes an internal error. */
export function createRefusal(error: unknown): Refusal {
	return error instanceof Refusal ? error : refusals.internal(error instanceof Error ? error.message : String(error));
}
