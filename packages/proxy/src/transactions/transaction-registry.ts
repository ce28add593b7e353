import {type CallerIdentity} from '../access/index.js';
import {type Group, type Slot} from '../groups/index.js';
import {type Clock} from '../observability/index.js';
import {isTransactionLost, type Transaction} from './transaction.js';

/** Limits on the life of a transaction. */
export type TransactionLimits = {
	/** Longest pause between two statements, in milliseconds. */
	readonly idleMs: number;
	readonly totalMs: number;
};

/** What a new transaction is made of. */
export type TransactionStructure = {
	readonly id: string;
	readonly caller: CallerIdentity;
	readonly group: Group;
	readonly slot: Slot;
	readonly term: number;
};

/** The transactions that this VM holds open. */
export class TransactionRegistry {
	readonly #transactions = new Map<string, Transaction>();

	constructor(private readonly limits: TransactionLimits, private readonly clock: Clock) {}

	get size(): number {
		return this.#transactions.size;
	}

	getTransaction(id: string): Transaction | undefined {
		return this.#transactions.get(id);
	}

	/** Returns how many transactions are open on an instance. */
	countOn(instance: string): number {
		return [...this.#transactions.values()].filter(transaction => transaction.slot.instance.name === instance).length;
	}

	addTransaction(structure: TransactionStructure): Transaction {
		const now = this.clock.getNow();
		const transaction: Transaction = {
			...structure,
			groupName: structure.group.state.name,
			lossesAtBegin: structure.slot.connection.losses,
			openUntil: now + this.limits.totalMs,
			idleUntil: now + this.limits.idleMs,
			isBusy: false,
		};
		this.#transactions.set(transaction.id, transaction);
		return transaction;
	}

	/** Notes that a statement has ended. */
	touch(transaction: Transaction): void {
		transaction.isBusy = false;
		transaction.idleUntil = this.clock.getNow() + this.limits.idleMs;
	}

	/**
	 * Removes a transaction and gives its connection back.
	 * @param isClean - Whether the endpoint has ended it; otherwise the connection is closed, which rolls it back.
	 */
	removeTransaction(transaction: Transaction, isClean: boolean): void {
		if (this.#transactions.delete(transaction.id)) {
			transaction.slot.release(isClean && !isTransactionLost(transaction));
		}
	}

	/** Ends the transactions that are out of time, lost or no longer allowed. */
	sweep(isAllowed: (caller: CallerIdentity) => boolean): void {
		const now = this.clock.getNow();
		for (const transaction of this.#transactions.values()) {
			const isLate = now >= transaction.openUntil || (!transaction.isBusy && now >= transaction.idleUntil);
			if (isLate || (!transaction.isBusy && (isTransactionLost(transaction) || !isAllowed(transaction.caller)))) {
				this.removeTransaction(transaction, false);
			}
		}
	}
}
