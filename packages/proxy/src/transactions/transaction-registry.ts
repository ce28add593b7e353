import {type CallerIdentity} from '../access/index.js';
import {type Group, type Placement} from '../groups/index.js';
import {type Clock} from '../observability/index.js';
import {isTransactionLost, type Transaction} from './transaction.js';

/** Limits on the life of a transaction. */
export type TransactionTimeouts = {
	/** Longest pause between two statements, in milliseconds. */
	readonly idleTimeoutMs: number;
	readonly totalTimeoutMs: number;
};

/** What a new transaction is made of. */
export type NewTransaction = {
	readonly id: string;
	readonly caller: CallerIdentity;
	readonly group: Group;
	readonly placement: Placement;
	readonly term: number;
};

/** The transactions that this VM holds open. */
export class TransactionRegistry {
	readonly #transactions = new Map<string, Transaction>();

	constructor(private readonly timeouts: TransactionTimeouts, private readonly clock: Clock) {}

	get size(): number {
		return this.#transactions.size;
	}

	getTransaction(id: string): Transaction | undefined {
		return this.#transactions.get(id);
	}

	/** Returns how many transactions are open on an instance. */
	countTransactionsOn(instance: string): number {
		return [...this.#transactions.values()].filter(transaction => transaction.placement.instance.name === instance).length;
	}

	addTransaction(structure: NewTransaction): Transaction {
		const now = this.clock.getNow();
		const transaction: Transaction = {
			...structure,
			groupName: structure.group.state.name,
			lossesAtBegin: structure.placement.connection.disconnectCount,
			expiresAt: now + this.timeouts.totalTimeoutMs,
			idleExpiresAt: now + this.timeouts.idleTimeoutMs,
			isBusy: false,
		};
		this.#transactions.set(transaction.id, transaction);
		return transaction;
	}

	/** Notes that a statement has ended. */
	setIdle(transaction: Transaction): void {
		transaction.isBusy = false;
		transaction.idleExpiresAt = this.clock.getNow() + this.timeouts.idleTimeoutMs;
	}

	/**
	 * Removes a transaction and gives its connection back.
	 * @param isClean - Whether the endpoint has ended it; otherwise the connection is closed, which rolls it back.
	 */
	removeTransaction(transaction: Transaction, isClean: boolean): void {
		if (this.#transactions.delete(transaction.id)) {
			transaction.placement.release(isClean && !isTransactionLost(transaction));
		}
	}

	/** Ends the transactions that are out of time, lost or no longer allowed. */
	removeInvalid(isAllowed: (caller: CallerIdentity) => boolean): void {
		const now = this.clock.getNow();
		for (const transaction of this.#transactions.values()) {
			const isLate = now >= transaction.expiresAt || (!transaction.isBusy && now >= transaction.idleExpiresAt);
			if (isLate || (!transaction.isBusy && (isTransactionLost(transaction) || !isAllowed(transaction.caller)))) {
				this.removeTransaction(transaction, false);
			}
		}
	}
}
