import {type Refusal} from '@chicorysaddle/model';
import {type OutgoingStatement} from './outcome.js';
import {type RunResult} from './run-result.js';
import {type PreparedAccess} from './statement.js';

/** A statement of an operation that is sent to a gateway. */
export type ForwardRequest = {
	readonly account: string;
	readonly priority: number;
	readonly outgoing: OutgoingStatement;
	/** Whether the statement may change data or commit. */
	readonly canCommit: boolean;
	readonly prepared: {readonly access: PreparedAccess; readonly shape: string} | undefined;
	/** Session whose values are applied. */
	readonly session: {readonly values: ReadonlyMap<string, string>; readonly valuesVersion: number};
	/** Monotonic time at which the session's own commit at the required position was acknowledged, in milliseconds; absent if the position is not that of an own commit. */
	readonly committedAt: number | undefined;
	/** Monotonic time until which the statement may wait for a connection, in milliseconds. */
	readonly waitDeadline: number;
	/** Monotonic time until which the answer is awaited, in milliseconds. */
	readonly deadline: number;
	/** Whether the statement is refused if others wait for a connection. */
	readonly isReservation: boolean;
};

/** Result of a forwarded statement. */
export type ForwardResult =
	| RunResult
	/** The gateway refused the statement before it was sent to the instance. */
	| {readonly kind: 'refused'; readonly refusal: Refusal};
