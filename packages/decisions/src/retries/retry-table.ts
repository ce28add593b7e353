/** Classes of requests by whether they may run twice. */
export type RequestClass =
	| 'read'
	/** A write that may run twice. */
	| 'repeatable-write'
	/** A write whose request id the group records in the same transaction. */
	| 'recorded-write'
	/** A write that may not run twice and is not recorded. */
	| 'unrecorded-write';

/** How far an attempt at a request had got when it failed. */
export type RequestStage =
	/** It was not sent to an endpoint. */
	| 'unsent'
	/** The endpoint refused it before running it. */
	| 'refused-by-endpoint'
	/** It was sent to an endpoint and no response came. */
	| 'unanswered'
	/** It got a response, but no replica confirmed it in that term. */
	| 'unconfirmed';

/** What to do with a request after a failed attempt: retry it, or refuse it as not run or with unknown outcome. */
export type RetryDecision = 'retry' | 'refuse-not-run' | 'refuse-unknown';

const decisions: Readonly<Record<RequestClass, Readonly<Record<RequestStage, RetryDecision>>>> = {
	read: {
		unsent: 'retry', 'refused-by-endpoint': 'retry', unanswered: 'retry', unconfirmed: 'retry',
	},
	'repeatable-write': {
		unsent: 'retry', 'refused-by-endpoint': 'retry', unanswered: 'retry', unconfirmed: 'retry',
	},
	'recorded-write': {
		unsent: 'retry', 'refused-by-endpoint': 'retry', unanswered: 'retry', unconfirmed: 'retry',
	},
	'unrecorded-write': {
		unsent: 'retry', 'refused-by-endpoint': 'retry', unanswered: 'refuse-unknown', unconfirmed: 'refuse-unknown',
	},
};

/** Returns the class of a request. */
export function getRequestClass(access: 'read' | 'write', isRepeatable: boolean, isRecorded: boolean): RequestClass {
	if (access === 'read') {
		return 'read';
	}

	if (isRecorded) {
		return 'recorded-write';
	}

	return isRepeatable ? 'repeatable-write' : 'unrecorded-write';
}

/** Returns what to do after a failed attempt. */
export function getRetryDecision(requestClass: RequestClass, stage: RequestStage): RetryDecision {
	return decisions[requestClass][stage];
}

/**
 * Returns how to refuse a request that is not retried any more: as "not run" only if no attempt can have run.
 * @param stages - How far each attempt got.
 * @param requestClass - Class of the request.
 */
export function getFinalDecision(stages: readonly RequestStage[], requestClass: RequestClass): RetryDecision {
	const mayHaveRun = stages.some(stage => stage === 'unanswered' || stage === 'unconfirmed');
	return mayHaveRun && requestClass !== 'read' ? 'refuse-unknown' : 'refuse-not-run';
}
