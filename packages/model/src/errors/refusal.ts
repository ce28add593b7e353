import {type ErrorKind, type RefusalDetails, refusalDetails} from './error-kind.js';

/** Error of a request that was refused. */
export class Refusal extends Error {
	override readonly name = 'Refusal';

	/**
	 * @param kind - Kind of error.
	 * @param message - What was wrong, with the offending value.
	 * @param retryAfterMs - Delay before a retry, in milliseconds; by default that of the kind.
	 */
	constructor(readonly kind: ErrorKind, message: string, readonly retryAfterMs: number = refusalDetails[kind].retryAfterMs) {
		super(message);
	}

	/** Details of the kind of error. */
	get details(): RefusalDetails {
		return refusalDetails[this.kind];
	}

	/** Whether the request provably did not run. */
	get hasNotRun(): boolean {
		return this.details.ran === 'no';
	}
}

/** Creates refusals; their messages name the offending value. */
export const refusals = {
	missingKey: () => new Refusal('unauthenticated', 'no key in the Authorization header'),
	unknownKey: () => new Refusal('unauthenticated', 'the key is unknown or withdrawn'),
	unknownRoute: (route: string) => new Refusal('unknown-route', `no route named "${route}"`),
	forbidden: (subject: string) => new Refusal('forbidden', `${subject} belongs to another client account`),
	invalid: (message: string) => new Refusal('invalid-request', message),
	invalidSession: (reason: string) => new Refusal('session-invalid', `session token ${reason}`),
	requestMismatch: (id: string) => new Refusal('request-mismatch', `Idempotency-Key "${id}" was used with another body`),
	overLimit: (account: string, retryAfterMs: number, limit = 'its rate') => new Refusal('over-limit', `client account "${account}" is over ${limit}`, retryAfterMs),
	overloaded: (group: string, retryAfterMs: number) => new Refusal('overloaded', `database group "${group}" has no free slot`, retryAfterMs),
	staleView: (ageMs: number) => new Refusal('stale-view', `no word on the configuration for ${Math.round(ageMs)} ms`),
	noPrimary: (group: string) => new Refusal('no-primary', `database group "${group}" has no primary that a replica can confirm`),
	deadlineNotRun: () => new Refusal('deadline-not-run', 'the deadline passed before the request was handed on'),
	deadlineUnknown: () => new Refusal('deadline-unknown', 'the deadline passed while the request was running'),
	outcomeUnknown: (reason: string) => new Refusal('outcome-unknown', `the outcome is unknown: ${reason}`),
	transactionLost: (id: string) => new Refusal('transaction-lost', `transaction "${id}" was rolled back`),
	transactionNotFound: (id: string) => new Refusal('transaction-not-found', `no transaction "${id}"`),
	unknownDatabase: (name: string) => new Refusal('unknown-route', `no database named "${name}"`),
	primaryUnavailable: (group: string, retryAfterMs: number) => new Refusal('no-primary', `database group "${group}" has no primary now`, retryAfterMs),
	groupEvacuated: (group: string, retryAfterMs: number) => new Refusal('no-primary', `database group "${group}" has no instance outside evacuated availability zones`, retryAfterMs),
	transactionAborted: (reason: string) => new Refusal('transaction-lost', `the transaction was rolled back: ${reason}`),
	statementFailed: (reason: string) => new Refusal('statement-failed', reason),
	statementTimeout: (timeoutMs: number) => new Refusal('statement-timeout', `no answer within ${timeoutMs} ms`),
	preparedNotFound: (name: string) => new Refusal('prepared-not-found', `no prepared statement "${name}"`),
	shuttingDown: (retryAfterMs: number) => new Refusal('overloaded', 'this VM is shutting down', retryAfterMs),
	memoryFull: (retryAfterMs: number) => new Refusal('overloaded', 'this VM has no memory for more input', retryAfterMs),
	conflict: (message: string) => new Refusal('conflict', message),
	storeUnavailable: (reason: string) => new Refusal('store-unavailable', `the platform's store did not answer: ${reason}`),
	internal: (reason: string) => new Refusal('internal', reason),
} as const;
