/** Whether a transaction may write. */
export type TransactionAccess = 'read-write' | 'read-only';

/** Whether a prepared statement reads or writes. */
export type PreparedAccess = 'read' | 'write';

/** A statement of a session; `text` is what the caller sent. */
export type Statement =
	| {readonly kind: 'begin'; readonly text: string; readonly access: TransactionAccess}
	| {readonly kind: 'commit' | 'roll-back' | 'read' | 'write'; readonly text: string}
	| {readonly kind: 'set'; readonly text: string; readonly name: string; readonly value: string}
	| {readonly kind: 'prepare'; readonly text: string; readonly name: string; readonly access: PreparedAccess; readonly shape: string}
	| {readonly kind: 'execute'; readonly text: string; readonly name: string; readonly parameters: string}
	| {readonly kind: 'close-prepared'; readonly text: string; readonly name: string}
	| {readonly kind: 'malformed'; readonly text: string};

/** Kinds of statements. */
export type StatementKind = Statement['kind'];

/** A statement with the id that its caller gave it. */
export type StatementRequest = {
	readonly id: string;
	readonly statement: Statement;
};

/** State of a session: outside a transaction, inside one, or inside one that failed. */
export type SessionState = 'idle' | 'in-transaction' | 'failed-transaction';
