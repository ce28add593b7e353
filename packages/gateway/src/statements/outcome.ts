import {type LogPosition} from '@chicorysaddle/model';
import {
	type SessionState, type Statement, type PreparedAccess, type TransactionAccess,
} from './statement.js';

/** Why an instance did not do a statement. */
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

/** Statements that the gateway issues by itself. */
export type ControlStatement =
	| {readonly kind: 'control-begin'; readonly access: TransactionAccess}
	| {readonly kind: 'control-roll-back' | 'control-reset' | 'control-status'}
	| {readonly kind: 'control-set'; readonly name: string; readonly value: string}
	| {readonly kind: 'control-prepare'; readonly name: string; readonly access: PreparedAccess; readonly shape: string}
	| {readonly kind: 'control-step-down'; readonly term: number};

/** A statement as it goes to an instance. */
export type OutgoingStatement = {
	/** Id that the caller gave, absent for control statements. */
	readonly id?: string;
	readonly statement: Statement | ControlStatement;
	/** Log position that the instance has to hold. */
	readonly since?: LogPosition;
};

/** What became of a statement at an instance. */
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
		/** No complete answer: the connection ended or the time ran out. */
		readonly kind: 'broken';
		readonly reason: 'closed' | 'timeout';
	};

/** How an instance sees itself. */
export type InstanceStatus = {
	readonly role: 'primary' | 'replica';
	readonly term: number;
	readonly position: LogPosition;
	readonly lagMs: number;
};
