import {type CallerIdentity} from '../access/index.js';
import {type Group, type Placement} from '../groups/index.js';

/** An open transaction, which holds its connection until it ends. */
export type Transaction = {
	readonly id: string;
	/** Sender of its last request. */
	caller: CallerIdentity;
	readonly group: Group;
	readonly groupName: string;
	readonly placement: Placement;
	/** Term of the primary that it runs on. */
	readonly term: number;
	/** Number of times that the connection had been lost when the transaction began. */
	readonly disconnectCountAtBegin: number;
	/** Time at which the transaction times out, in monotonic milliseconds. */
	readonly expiresAt: number;
	/** Time at which the transaction times out if it is idle, in monotonic milliseconds. */
	idleExpiresAt: number;
	/** Whether a statement is running. */
	isBusy: boolean;
};

/** Returns whether the connection of a transaction was lost after it began. */
export function isTransactionLost(transaction: Transaction): boolean {
	return transaction.placement.connection.disconnectCount !== transaction.disconnectCountAtBegin;
}
