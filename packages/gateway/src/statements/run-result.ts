import {type LogPosition, type Refusal} from '@chicorysaddle/model';
import {type InstanceErrorKind} from './outcome.js';
import {type SessionState} from './statement.js';

/** Reason why a statement was not run; with `not-forwarded` a gateway did not accept it. */
export type NotRunReason = InstanceErrorKind | 'preparation-failed' | 'lease-ended' | 'not-forwarded' | 'zone-evacuated';

/** Result of a statement on an acquired connection. */
export type RunResult =
	| {readonly kind: 'completed'; readonly rows: readonly string[]; readonly signature: string; readonly state: SessionState; readonly position: LogPosition | undefined}
	/** The statement did not run and may be sent elsewhere. */
	| {readonly kind: 'not-run'; readonly reason: NotRunReason; readonly state: SessionState}
	/** The statement ran and failed; `state` is what the instance answered. */
	| {readonly kind: 'failed'; readonly refusal: Refusal; readonly state: SessionState}
	/** There was no complete answer, so the statement may have run. */
	| {readonly kind: 'lost'; readonly reason: 'closed' | 'timeout'};
