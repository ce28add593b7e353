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
 * Writes a refusal as a Connect error: kind, whether it ran, and when to retry.
 * @param refusal - The refusal.
 * @param session - Session token to use from now on, empty for no change.
 */
export function createConnectError(refusal: Refusal, session = ''): ConnectError {
	const {details: answer} = refusal;
	const metadata = new Headers({'chicorysaddle-refusal': refusal.kind, 'chicorysaddle-ran': answer.ran});
	if (answer.retryable) {
		metadata.set('retry-after', String(Math.max(1, Math.ceil(refusal.retryAfterMs / msPerSecond))));
	}

	return new ConnectError(refusal.message, codesByStatus[answer.status], metadata, [{
		desc: RefusalDetailSchema,
		value: {
			kind: refusal.kind, ran: answer.ran, retryable: answer.retryable, retryAfterMs: Math.ceil(refusal.retryAfterMs), session,
		},
	}]);
}

/** Returns the refusal that an unexpected error stands for. */
export function createRefusal(error: unknown): Refusal {
	return error instanceof Refusal ? error : refusals.internal(error instanceof Error ? error.message : String(error));
}
