import {createMapCodec, finiteNumberCodec} from '@chicorysaddle/model';
import {
	array, boolean, Codec, exactly, type GetType, oneOf, optional, string,
} from 'purify-ts';
import {positionCodec} from './position-codec.js';

/** Codec of the first message on a link to a gateway. */
export const forwardOpenCodec = Codec.interface({kind: exactly('forward-open'), vm: string});

/** Codec of the gateway's response to `forward-open`; operations are sent only after it. */
export const forwardOpenedCodec = Codec.interface({kind: exactly('forward-opened')});

const accessCodec = oneOf([exactly('read'), exactly('write')]);

/** Statement that a gateway runs, or `control-begin` to begin a transaction. */
const forwardedStatementCodec = oneOf([
	Codec.interface({kind: oneOf([exactly('read'), exactly('write'), exactly('commit')]), text: string}),
	Codec.interface({
		kind: exactly('execute'), text: string, name: string, parameters: string,
	}),
	Codec.interface({kind: exactly('control-begin'), access: oneOf([exactly('read-write'), exactly('read-only')])}),
]);

/** Codec of a statement that a VM sends to the gateway of an instance and an account. */
export const forwardCodec = Codec.interface({
	kind: exactly('forward'),
	/** Identifies the statement on the link. */
	id: finiteNumberCodec,
	group: string,
	instance: string,
	account: string,
	/** Whether the instance is used as the group's primary. */
	isPrimary: boolean,
	/** Id given by the caller; absent for `control-begin`. */
	statementId: optional(string),
	statement: forwardedStatementCodec,
	/** Log position that a replica must have reached; absent on a primary. */
	requiredPosition: optional(positionCodec),
	/** Time since the session's own commit at that position was acknowledged, in milliseconds; absent if the position is not that of an own commit. */
	commitAgeMs: optional(finiteNumberCodec),
	/** Priority of the route; zero is the highest. */
	priority: finiteNumberCodec,
	/** Time for which the statement may wait for a connection, in milliseconds. */
	waitMs: finiteNumberCodec,
	/** Time until which the answer is awaited, in milliseconds. */
	runMs: finiteNumberCodec,
	/** Session values, with the id of the session on the link and the version of the values; absent if there are none. */
	session: optional(Codec.interface({id: finiteNumberCodec, version: finiteNumberCodec, values: createMapCodec(string)})),
	/** Definition of the prepared statement that is executed. */
	prepared: optional(Codec.interface({access: accessCodec, shape: string})),
	/** Transaction to which the statement belongs; absent outside transactions. */
	transaction: optional(finiteNumberCodec),
	/** Whether the statement is refused if others wait for a connection; absent means false. */
	isReservation: optional(boolean),
});

const refusalCodec = Codec.interface({kind: string, message: string, retryAfterMs: finiteNumberCodec});
const stateCodec = oneOf([exactly('idle'), exactly('in-transaction'), exactly('failed-transaction')]);

const outcomeCodec = oneOf([
	Codec.interface({
		kind: exactly('completed'), rows: array(string), signature: string, state: stateCodec, position: optional(positionCodec),
	}),
	/** The statement was sent to the instance, which did not run it. */
	Codec.interface({kind: exactly('not-run'), reason: string, state: stateCodec}),
	/** The statement ran and failed. */
	Codec.interface({kind: exactly('failed'), refusal: refusalCodec, state: stateCodec}),
	/** The statement was sent to the instance and was not answered. */
	Codec.interface({kind: exactly('lost'), reason: oneOf([exactly('closed'), exactly('timeout')])}),
	/** The statement was refused in the queue of the gateway. */
	Codec.interface({kind: exactly('refused'), refusal: refusalCodec}),
	/** The gateway did not accept the statement. */
	Codec.interface({kind: exactly('rejected'), reason: oneOf([exactly('draining'), exactly('not-gateway'), exactly('unusable')])}),
]);

/** Codec of the outcome of a forwarded statement. */
export const forwardAnswerCodec = Codec.interface({
	kind: exactly('forward-answer'),
	id: finiteNumberCodec,
	outcome: outcomeCodec,
	/** Time from the arrival of the statement at the gateway to this answer, in milliseconds. */
	gatewayMs: finiteNumberCodec,
});

/** Codec of the message by which a gateway shows that it still works on statements that it has not answered. */
export const forwardProgressCodec = Codec.interface({kind: exactly('forward-progress')});

/** Codec of the message that a statement is no longer awaited. */
export const forwardCancelCodec = Codec.interface({kind: exactly('forward-cancel'), id: finiteNumberCodec});

/** Codec of the message that ends a transaction, which is rolled back if it is still open. */
export const forwardEndCodec = Codec.interface({kind: exactly('forward-end'), transaction: finiteNumberCodec});

/** Statement that a VM sends to a gateway. */
export type ForwardMessage = GetType<typeof forwardCodec>;
/** Statement in a `forward` message. */
export type ForwardedStatement = GetType<typeof forwardedStatementCodec>;
/** Outcome of a forwarded statement. */
export type ForwardOutcome = GetType<typeof outcomeCodec>;
/** Response of a gateway to a `forward` message. */
export type ForwardAnswer = GetType<typeof forwardAnswerCodec>;
