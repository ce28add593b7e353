import {type LogPosition} from '@chicorysaddle/model';
import {
	type SessionState, type Statement, type PreparedAccess, type TransactionAccess,
} from './statement.js';

/** Kind of error with which an instance answers a statement. */
export type InstanceErrorKind =
	| 'aborted'
	| 'busy'
	| 'connection-limit'
	| 'failed'
	| 'lagging'
	| 'malformed'
	| 'no-statement'
	| 'not-primary'
	| 'outcome-unknown'
	| 'timeout'
	| 'wrong-instance';

/** Statements that the gateway itself issues. */
export type ControlStatement =
	| {readonly kind: 'control-begin'; readonly access: TransactionAccess}
	| {readonly kind: 'control-roll-back' | 'control-reset' | 'control-status'}
	| {readonly kind: 'control-set'; readonly name: string; readonly value: string}
	| {readonly kind: 'control-prepare'; readonly name: string; readonly access: PreparedAccess; readonly shape: string}
	| {readonly kind: 'control-step-down'; readonly term: number};

/** A statement as it is sent to an instance. */
export type OutgoingStatement = {
	/** Id given by the caller, absent for control statements. */
	readonly id?: string;
	readonly statement: Statement | ControlStatement;
	/** Log position that the instance must have reached; absent when any will do. */
	readonly since?: LogPosition;
};

/** Result of a statement at an instance. */
export type StatementOutcome =
	| {
		readonly kind: 'completed';
		readonly rows: readonly string[];
		readonly signature: string;
		readonly state: SessionState;
		readonly position: LogPosition | undefined;
	}
	| {
		readonly kind: 'error';
		readonly error: InstanceErrorKind;
		readonly message: string;
		readonly state: SessionState;
		readonly position: LogPosition | undefined;
	}
	| {
		/** No complete answer: the connection was closed or the timeout expired. */
		readonly kind: 'broken';
		readonly reason: 'closed' | 'timeout';
	};

/** Status that an instance reports about itself. */
export type InstanceStatus = {
	readonly role: 'primary' | 'replica';
	readonly term: number;
	readonly position: LogPosition;
	readonly lagMs: number;
};
