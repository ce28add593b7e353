/** The closed list of reasons for which a request is refused. */
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

/** Whether a refused request may have run. */
export type Ran = 'no' | 'unknown';

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

/** What a caller is told for one kind of error. */
export type RefusalAnswer = {
	readonly status: StatusName;
	readonly ran: Ran;
	readonly retryable: boolean;
	/** Time after which a retry is worth it, where the refusal gives none; milliseconds. */
	readonly retryAfterMs: number;
};

function describeAnswer(status: StatusName, ran: Ran, retryAfterMs?: number): RefusalAnswer {
	return {
		status, ran, retryable: retryAfterMs !== undefined, retryAfterMs: retryAfterMs ?? 0,
	};
}

/** The answer for each kind of error. */
export const refusalAnswers: Readonly<Record<ErrorKind, RefusalAnswer>> = {
	'invalid-request': describeAnswer('invalid_argument', 'no'),
	unauthenticated: describeAnswer('unauthenticated', 'no'),
	forbidden: describeAnswer('permission_denied', 'no'),
	'unknown-route': describeAnswer('not_found', 'no'),
	'session-invalid': describeAnswer('invalid_argument', 'no'),
	'request-mismatch': describeAnswer('failed_precondition', 'no'),
	'over-limit': describeAnswer('resource_exhausted', 'no', 1000),
	overloaded: describeAnswer('unavailable', 'no', 500),
	'stale-view': describeAnswer('unavailable', 'no', 500),
	'no-primary': describeAnswer('unavailable', 'no', 1000),
	'deadline-not-run': describeAnswer('deadline_exceeded', 'no', 0),
	'deadline-unknown': describeAnswer('deadline_exceeded', 'unknown'),
	'outcome-unknown': describeAnswer('unknown', 'unknown'),
	'transaction-lost': describeAnswer('aborted', 'no', 0),
	'transaction-not-found': describeAnswer('not_found', 'no'),
	'statement-failed': describeAnswer('unknown', 'unknown'),
	'statement-timeout': describeAnswer('deadline_exceeded', 'unknown'),
	'prepared-not-found': describeAnswer('not_found', 'no'),
	conflict: describeAnswer('failed_precondition', 'no'),
	'store-unavailable': describeAnswer('unavailable', 'unknown', 1000),
	internal: describeAnswer('internal', 'unknown'),
};

/** Says whether a string names a kind of error. */
export function isErrorKind(value: string): value is ErrorKind {
	return Object.hasOwn(refusalAnswers, value);
}
