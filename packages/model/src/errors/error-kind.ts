/** Kinds of errors with which a request is refused; callers never get another kind. */
export type ErrorKind =
	| 'invalid-request'
	| 'unauthenticated'
	| 'forbidden'
	| 'unknown-route'
	| 'session-invalid'
	| 'request-mismatch'
	| 'over-limit'
	| 'overloaded'
	| 'stale-view'
	| 'no-primary'
	| 'deadline-not-run'
	| 'deadline-unknown'
	| 'outcome-unknown'
	| 'transaction-lost'
	| 'transaction-not-found'
	| 'statement-failed'
	| 'statement-timeout'
	| 'prepared-not-found'
	| 'conflict'
	| 'store-unavailable'
	| 'internal';

/** Whether a refused request ran: `no` only if it provably did not. */
export type ExecutionStatus = 'no' | 'unknown';

/** Names of the Connect status codes that refusals use. */
export type StatusName =
	| 'invalid_argument'
	| 'unauthenticated'
	| 'permission_denied'
	| 'not_found'
	| 'failed_precondition'
	| 'resource_exhausted'
	| 'unavailable'
	| 'deadline_exceeded'
	| 'aborted'
	| 'unknown'
	| 'internal';

/** Status and retry details that a caller gets for a kind of error. */
export type RefusalDetails = {
	readonly status: StatusName;
	readonly ran: ExecutionStatus;
	readonly retryable: boolean;
	/** Default delay before a retry, in milliseconds. */
	readonly retryAfterMs: number;
};

/** Creates the details of a kind of error, which is retryable if it has a delay before a retry. */
function createDetails(status: StatusName, ran: ExecutionStatus, retryAfterMs?: number): RefusalDetails {
	return {
		status, ran, retryable: retryAfterMs !== undefined, retryAfterMs: retryAfterMs ?? 0,
	};
}

/** Details of each kind of error. */
export const refusalDetails: Readonly<Record<ErrorKind, RefusalDetails>> = {
	'invalid-request': createDetails('invalid_argument', 'no'),
	unauthenticated: createDetails('unauthenticated', 'no'),
	forbidden: createDetails('permission_denied', 'no'),
	'unknown-route': createDetails('not_found', 'no'),
	'session-invalid': createDetails('invalid_argument', 'no'),
	'request-mismatch': createDetails('failed_precondition', 'no'),
	'over-limit': createDetails('resource_exhausted', 'no', 1000),
	overloaded: createDetails('unavailable', 'no', 500),
	'stale-view': createDetails('unavailable', 'no', 500),
	'no-primary': createDetails('unavailable', 'no', 1000),
	'deadline-not-run': createDetails('deadline_exceeded', 'no', 0),
	'deadline-unknown': createDetails('deadline_exceeded', 'unknown'),
	'outcome-unknown': createDetails('unknown', 'unknown'),
	'transaction-lost': createDetails('aborted', 'no', 0),
	'transaction-not-found': createDetails('not_found', 'no'),
	'statement-failed': createDetails('unknown', 'unknown'),
	'statement-timeout': createDetails('deadline_exceeded', 'unknown'),
	'prepared-not-found': createDetails('not_found', 'no'),
	conflict: createDetails('failed_precondition', 'no'),
	'store-unavailable': createDetails('unavailable', 'unknown', 1000),
	internal: createDetails('internal', 'unknown'),
};

/** Returns whether a string is a kind of error. */
export function isErrorKind(value: string): value is ErrorKind {
	return Object.hasOwn(refusalDetails, value);
}
