import {type ErrorKind, isErrorKind, Refusal} from '@chicorysaddle/model';
import {type ForwardOutcome} from '@chicorysaddle/protocol/coordination';
import {type ForwardResult, type NotRunReason} from '../statements/index.js';

type RefusalMessage = Extract<ForwardOutcome, {kind: 'refused'}>['refusal'];

/** Reasons of statements that were not run. */
const notRunReasons: ReadonlySet<string> = new Set<NotRunReason>([
	'aborted', 'busy', 'connection-limit', 'failed', 'lagging', 'malformed', 'no-statement', 'not-primary', 'outcome-unknown', 'timeout', 'wrong-instance', 'preparation-failed', 'lease-ended', 'not-forwarded', 'zone-evacuated',
]);

function isNotRunReason(reason: string): reason is NotRunReason {
	return notRunReasons.has(reason);
}

/** Encodes the result of a statement for another VM. */
export function encodeOutcome(result: ForwardResult): ForwardOutcome {
	switch (result.kind) {
		case 'completed': {
			return {...result, rows: [...result.rows]};
		}

		case 'failed': {
			return {kind: 'failed', state: result.state, refusal: encodeRefusal(result.refusal)};
		}

		case 'refused': {
			return {kind: 'refused', refusal: encodeRefusal(result.refusal)};
		}

		case 'lost':
		case 'not-run': {
			return result;
		}
	}
}

/** Decodes the result of a statement at a gateway; a statement that the gateway did not accept was not run. */
export function decodeOutcome(outcome: ForwardOutcome): ForwardResult {
	switch (outcome.kind) {
		case 'completed': {
			return {...outcome, position: outcome.position};
		}

		case 'failed': {
			return {kind: 'failed', state: outcome.state, refusal: decodeRefusal(outcome.refusal, 'outcome-unknown')};
		}

		case 'refused': {
			return {kind: 'refused', refusal: decodeRefusal(outcome.refusal, 'overloaded')};
		}

		case 'not-run': {
			return {kind: 'not-run', reason: isNotRunReason(outcome.reason) ? outcome.reason : 'not-forwarded', state: outcome.state};
		}

		case 'rejected': {
			return {kind: 'not-run', reason: 'not-forwarded', state: 'idle'};
		}

		case 'lost': {
			return outcome;
		}
	}
}

function encodeRefusal({kind, message, retryAfterMs}: Refusal): RefusalMessage {
	return {kind, message, retryAfterMs};
}

/** @param fallback - Kind that stands for one that this build does not know. */
function decodeRefusal({kind, message, retryAfterMs}: RefusalMessage, fallback: ErrorKind): Refusal {
	return new Refusal(isErrorKind(kind) ? kind : fallback, message, retryAfterMs);
}
