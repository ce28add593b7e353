import {type ErrorKind, type RefusalDetails, refusalDetails} from './error-kind.js';

/** A request that was not served, with the reason. */
export class Refusal extends Error {
	override readonly name = 'Refusal';

	/**
	 * @param kind - Kind from the closed list.
	 * @param message - What was wrong, with the offending value.
	 * @param retryAfterMs - Time after which a retry is worth it; the kind's own where absent.
	 */
	constructor(readonly kind: ErrorKind, message: string, readonly retryAfterMs: number = refusalDetails[kind].retryAfterMs) {
		super(message);
	}

	/** The answer that the kind stands for. */
	get details(): RefusalDetails {
		return refusalDetails[this.kind];
	}

	/** Whether the refused request provably did not run. */
	get hasNotRun(): boolean {
		return this.details.ran === 'no';
	}
}

/** Creates refusals; every message names the offending value. */
export const refusals = {
	missingKey: () => new Refusal('unauthenticated', 'no key in the Authorization header'),
	unknownKey: () => new Refusal('unauthenticated', 'the key is unknown or withdrawn'),
	unknownRoute: (route: string) => new Refusal('unknown-route', `no route named "${route}"`),
	forbidden: (what: string) => new Refusal('forbidden', `${what} belongs to another client account`),
	invalid: (what: string) => new Refusal('invalid-request', what),
	invalidSession: (why: string) => new Refusal('session-invalid', `session token ${why}`),
	requestMismatch: (id: string) => new Refusal('request-mismatch', `Idempotency-Key "${id}" was used with another body`),
	overLimit: (account: string, retryAfterMs: number, limit = 'its rate') => new Refusal('over-limit', `client account "${account}" is over ${limit}`, retryAfterMs),
	overloaded: (group: string, retryAfterMs: number) => new Refusal('overloaded', `database group "${group}" has no free slot`, retryAfterMs),
	staleView: (ageMs: number) => new Refusal('stale-view', `no word on the configuration for ${Math.round(ageMs)} ms`),
	noPrimary: (group: string) => new Refusal('no-primary', `database group "${group}" has no primary that a replica can confirm`),
	deadlineNotRun: () => new Refusal('deadline-not-run', 'the deadline passed before the request was handed on'),
	deadlineUnknown: () => new Refusal('deadline-unknown', 'the deadline passed while the request was running'),
	outcomeUnknown: (why: string) => new Refusal('outcome-unknown', `the outcome is unknown: ${why}`),
	transactionLost: (id: string) => new Refusal('transaction-lost', `transaction "${id}" was rolled back`),
	transactionNotFound: (id: string) => new Refusal('transaction-not-found', `no transaction "${id}"`),
	unknownDatabase: (name: string) => new Refusal('unknown-route', `no database named "${name}"`),
	primaryUnavailable: (group: string, retryAfterMs: number) => new Refusal('no-primary', `database group "${group}" has no primary now`, retryAfterMs),
	transactionAborted: (why: string) => new Refusal('transaction-lost', `the transaction was rolled back: ${why}`),
	statementFailed: (why: string) => new Refusal('statement-failed', why),
	statementTimeout: (timeoutMs: number) => new Refusal('statement-timeout', `no answer within ${timeoutMs} ms`),
	preparedNotFound: (name: string) => new Refusal('prepared-not-found', `no prepared statement "${name}"`),
	shuttingDown: (retryAfterMs: number) => new Refusal('overloaded', 'this VM is shutting down', retryAfterMs),
	conflict: (what: string) => new Refusal('conflict', what),
	storeUnavailable: (why: string) => new Refusal('store-unavailable', `the platform's store did not answer: ${why}`),
	internal: (why: string) => new Refusal('internal', why),
} as const;
