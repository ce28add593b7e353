import {type Refusal, type LogPosition} from '@chicorysaddle/model';
import {type SessionState} from '../statements/index.js';

/** Response to a caller's statement. */
export type CallerAnswer = {
	readonly result:
		| {readonly kind: 'completed'; readonly rows: readonly string[]; readonly signature: string | undefined}
		| {readonly kind: 'refused'; readonly refusal: Refusal};
	readonly state: SessionState;
	readonly position: LogPosition | undefined;
};

/** Connection to the caller of a session. */
export type CallerConnection = {
	sendReady(): void;
	sendAnswer(answer: CallerAnswer): void;
	/** Sends the refusal and closes the connection. */
	rejectSession(refusal: Refusal): void;
	close(): void;
};
