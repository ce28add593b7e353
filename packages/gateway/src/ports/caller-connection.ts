import {type Refusal, type LogPosition} from '@chicorysaddle/model';
import {type SessionState} from '../statements/index.js';

/** Answer to a caller's statement. */
export type CallerAnswer = {
	/** Result; the signature is the instance's, undefined when the gateway answered the statement itself. */
	readonly result:
		| {readonly kind: 'completed'; readonly rows: readonly string[]; readonly signature: string | undefined}
		| {readonly kind: 'refused'; readonly refusal: Refusal};
	readonly state: SessionState;
	/** Log position that the instance reported with the result; undefined for a refusal or when the gateway answered the statement itself. */
	readonly position: LogPosition | undefined;
};

/** Connection to the caller of a session. */
export type CallerConnection = {
	/** Tells the caller that the session is open. */
	sendReady(): void;
	sendAnswer(answer: CallerAnswer): void;
	/** Sends the refusal and closes the connection. */
	rejectSession(refusal: Refusal): void;
	close(): void;
};
