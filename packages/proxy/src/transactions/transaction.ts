import {type CallerIdentity} from '../access/index.js';
import {type Group, type Placement} from '../groups/index.js';

/** An open transaction; it owns its connection until it ends. */
export type Transaction = {
	readonly id: string;
	/** Who sent its last request. */
	caller: CallerIdentity;
	readonly group: Group;
	readonly groupName: string;
	readonly placement: Placement;
	/** Term of the primary that it runs on. */
	readonly term: number;
	/** How often the connection had been lost when the transaction began. */
	readonly lossesAtBegin: number;
	readonly expiresAt: number;
	idleExpiresAt: number;
	/** Whether a statement is running. */
	isBusy: boolean;
};

/** Says whether the connection that a transaction lives on is gone. */
export function isTransactionLost(transaction: Transaction): boolean {
	return transaction.placement.connection.disconnectCount !== transaction.lossesAtBegin;
}
