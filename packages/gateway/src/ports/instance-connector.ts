import {type LogPosition} from '@chicorysaddle/model';
import {type Instance} from '../instances/index.js';
import {
	type OutgoingStatement, type InstanceErrorKind, type StatementOutcome, type InstanceStatus,
} from '../statements/index.js';

/** A connection to an instance in the name of one client account. */
export type InstanceConnection = {
	readonly isOpen: boolean;
	/**
	 * Sends statements back to back and waits for all their answers.
	 * @param statements - Statements, in order.
	 * @param timeoutMs - Time for all of them; when it runs out the connection is closed.
	 */
	run(statements: readonly OutgoingStatement[], timeoutMs: number): Promise<StatementOutcome[]>;
	/** Reads the row of a `control-status` answer. */
	parseStatus(outcome: StatementOutcome): InstanceStatus | undefined;
	onClosed(listener: () => void): void;
	close(): void;
};

/** Why a connection could not be opened. */
export type ConnectFailure = {
	readonly reason: InstanceErrorKind | 'refused' | 'closed' | 'silent';
	readonly message: string;
};

/** Result of opening a connection. */
export type ConnectResult =
	| {readonly kind: 'opened'; readonly connection: InstanceConnection; readonly position: LogPosition | undefined}
	| {readonly kind: 'failed'; readonly failure: ConnectFailure};

/** Opens connections to instances. */
export type InstanceConnector = {
	/**
	 * Opens a connection and introduces the account.
	 * @param account - Name that the instance is told, never a key.
	 */
	open(instance: Instance, account: string, timeoutMs: number): Promise<ConnectResult>;
};
