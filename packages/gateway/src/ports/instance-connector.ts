import {type LogPosition} from '@chicorysaddle/model';
import {type Instance} from '../instances/index.js';
import {
	type OutgoingStatement, type InstanceErrorKind, type StatementOutcome, type InstanceStatus,
} from '../statements/index.js';

/** A connection to an instance on behalf of one client account. */
export type InstanceConnection = {
	readonly isOpen: boolean;
	/**
	 * Pipelines statements and waits for all outcomes.
	 * @param statements - Statements, in order.
	 * @param timeoutMs - Timeout of the whole batch; the connection is closed when it expires.
	 */
	run(statements: readonly OutgoingStatement[], timeoutMs: number): Promise<StatementOutcome[]>;
	/** Parses the answer to `control-status`; returns undefined when it failed or is malformed. */
	parseStatus(outcome: StatementOutcome): InstanceStatus | undefined;
	/** Calls a listener once the connection is closed by either side. */
	onClosed(listener: () => void): void;
	close(): void;
};

/** Reason why a connection could not be opened. */
export type ConnectFailure = {
	readonly reason: InstanceErrorKind | 'refused' | 'closed' | 'silent';
	readonly message: string;
	/** Whether nothing listens at the address of the instance; absent if that is not known. */
	readonly isPortClosed?: boolean | undefined;
};

/** Result of a connection attempt. */
export type ConnectResult =
	| {
		readonly kind: 'opened'; readonly connection: InstanceConnection; readonly position: LogPosition | undefined;
		/** Round trip to the instance as measured from the opening of the transport connection, in milliseconds; absent if it was not measured. */
		readonly roundTripMs?: number | undefined;
	}
	| {readonly kind: 'failed'; readonly failure: ConnectFailure};

/** Opens connections to instances. */
export type InstanceConnector = {
	/**
	 * Opens a connection for an account.
	 * @param account - Account name sent to the instance; never a key.
	 */
	open(instance: Instance, account: string, timeoutMs: number): Promise<ConnectResult>;
};
