import {type CallerIdentity} from '../access/index.js';
import {type Group, type Placement} from '../groups/index.js';
import {type Clock} from '../observability/index.js';
import {isTransactionLost, type Transaction} from './transaction.js';

/** Number of transactions that were rolled back because of an evacuation and whose callers can still be told so. */
const maxEvacuatedIds = 1000;

/** Timeouts of a transaction. */
export type TransactionTimeouts = {
	/** Maximum time between two statements, in milliseconds. */
	readonly idleTimeoutMs: number;
	/** Maximum duration of a transaction, in milliseconds. */
	readonly totalTimeoutMs: number;
};

/** Properties of a transaction to add. */
export type NewTransaction = {
	readonly id: string;
	readonly caller: CallerIdentity;
	readonly group: Group;
	readonly placement: Placement;
	/** Term of the primary that it runs on. */
	readonly term: number;
};

/** The open transactions of this VM. */
export class TransactionRegistry {
	readonly #transactions = new Map<string, Transaction>();
	/** Ids of the latest transactions that were rolled back because of an evacuation. */
	readonly #evacuated = new Set<string>();

	constructor(private readonly timeouts: TransactionTimeouts, private readonly clock: Clock) {}

	/** Number of open transactions. */
	get size(): number {
		return this.#transactions.size;
	}

	getTransaction(id: string): Transaction | undefined {
		return this.#transactions.get(id);
	}

	/** Returns whether a transaction was rolled back because the availability zone of its endpoint was evacuated. */
	isEvacuated(id: string): boolean {
		return this.#evacuated.has(id);
	}

	/** Removes a transaction whose endpoint may get nothing more; closing the connection rolls it back. */
	removeEvacuatedTransaction(transaction: Transaction): void {
		const [oldest] = this.#evacuated;
		if (this.#evacuated.size >= maxEvacuatedIds && oldest !== undefined) {
			this.#evacuated.delete(oldest);
		}

		this.#evacuated.add(transaction.id);
		this.removeTransaction(transaction, false);
	}

	/** Returns the number of open transactions on an instance. */
	countTransactionsOn(instance: string): number {
		return [...this.#transactions.values()].filter(transaction => transaction.placement.instance.name === instance).length;
	}

	/** Adds a transaction and starts its timeouts. */
	addTransaction(newTransaction: NewTransaction): Transaction {
		const now = this.clock.getNow();
		const transaction: Transaction = {
			...newTransaction,
			groupName: newTransaction.group.state.name,
			disconnectCountAtBegin: newTransaction.placement.connection.disconnectCount,
			expiresAt: now + this.timeouts.totalTimeoutMs,
			idleExpiresAt: now + this.timeouts.idleTimeoutMs,
			isBusy: false,
		};
		this.#transactions.set(transaction.id, transaction);
		return transaction;
	}

	/** Marks a transaction as idle after a statement and restarts its idle timeout. */
	setIdle(transaction: Transaction): void {
		transaction.isBusy = false;
		transaction.idleExpiresAt = this.clock.getNow() + this.timeouts.idleTimeoutMs;
	}

	/**
	 * Removes a transaction and releases its connection.
	 * @param isClean - Whether the endpoint has ended the transaction; otherwise the connection is closed, which rolls it back.
	 */
	removeTransaction(transaction: Transaction, isClean: boolean): void {
		if (this.#transactions.delete(transaction.id)) {
			transaction.placement.release(isClean && !isTransactionLost(transaction));
		}
	}

	/** Removes and rolls back the transactions that have timed out, that have lost their connection or whose caller is no longer allowed. */
	removeInvalidTransactions(isAllowed: (caller: CallerIdentity) => boolean): void {
		const now = this.clock.getNow();
		for (const transaction of this.#transactions.values()) {
			if (!transaction.isBusy && transaction.placement.instance.isCutOff) {
				this.removeEvacuatedTransaction(transaction);
				continue;
			}

			const isExpired = now >= transaction.expiresAt || (!transaction.isBusy && now >= transaction.idleExpiresAt);
			if (isExpired || (!transaction.isBusy && (isTransactionLost(transaction) || !isAllowed(transaction.caller)))) {
				this.removeTransaction(transaction, false);
			}
		}
	}
}
