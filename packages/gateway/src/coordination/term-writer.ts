import {type PromotionOrder} from '@chicorysaddle/decisions';
import {type EventLog} from '../observability/index.js';
import {type CoordinationStore, type StoreVersion} from '../ports/index.js';
import {type GroupTerm, type PendingOrder, type TermRegistry} from '../terms/index.js';
import {type Coordinator} from './coordinator.js';
import {type CoordinatorLease} from './coordinator-lease.js';
import {
	createTermWrite, createUnreadableTerms, getTermKey, noPrimaryId, parseSharedRows, type SharedState, type StoredTerm, type TermContent,
} from './shared-rows.js';

/** Timeout of a read of the rows, in milliseconds. */
const readTimeoutMs = 400;

/** Dependencies of a `TermWriter`. */
export type TermWriterDependencies = {
	readonly coordinatorLease: CoordinatorLease;
	readonly coordinator: Coordinator;
	readonly terms: TermRegistry;
	readonly store: CoordinationStore;
	readonly log: EventLog;
};

/** Reads and writes the rows of terms for the coordinator. */
export class TermWriter {
	/** Terms as they were in the store when this VM read or wrote their rows last. */
	readonly #storedTerms = new Map<string, StoredTerm>();
	/** Versions of rows that this VM could not read when it read the rows last, by group. */
	#unreadableVersions: ReadonlyMap<string, StoreVersion> = new Map();

	constructor(private readonly dependencies: TermWriterDependencies) {
		dependencies.coordinatorLease.onReadBack(state => {
			for (const term of state.terms.values()) {
				this.#storedTerms.set(term.group, term);
				this.#applyAndReport(term);
			}

			this.recordUnreadable(state);
			for (const term of createUnreadableTerms(state, dependencies.terms.getTerms())) {
				this.#applyAndReport(term);
			}
		});
	}

	/** Records which rows cannot be read. */
	recordUnreadable({unreadable}: SharedState): void {
		this.#unreadableVersions = unreadable.terms;
	}

	/** Returns the version of a group's row if it cannot be read, undefined otherwise. */
	getUnreadableVersion(group: string): StoreVersion | undefined {
		return this.#unreadableVersions.get(group);
	}

	/** Returns a group's term as it was in the store when this VM read or wrote its row last. */
	getStoredTerm(group: string): StoredTerm | undefined {
		return this.#storedTerms.get(group);
	}

	/**
	 * Opens a term and reports it to all VMs.
	 * @param revision - Version that the row must have, 0 if it is absent.
	 * @returns The term, undefined if the write is not known to have succeeded.
	 */
	async openTerm(group: string, revision: number, {term, primaryId, pendingOrders}: Pick<GroupTerm, 'term' | 'primaryId' | 'pendingOrders'>): Promise<StoredTerm | undefined> {
		return this.#writeAndReport(group, revision, {
			term, primaryId, phase: 'open', drainMs: 0, pendingOrders,
		});
	}

	/**
	 * Creates the row of a group as that of a closing term without a record of promotions, so that a resumed change finds out the primary.
	 * @param revision - Version of a row that cannot be read, which is replaced; 0 if there is no row.
	 */
	async createClosedTerm(group: string, {term, primaryId}: Pick<GroupTerm, 'term' | 'primaryId'>, revision: StoreVersion): Promise<StoredTerm | undefined> {
		return this.#writeAndReport(group, revision, {
			term, primaryId, phase: 'closing', drainMs: 0,
		});
	}

	/**
	 * Closes a term and reports that to all VMs.
	 * @param isPrimaryKnown - Whether the primary of the term is the group's primary; if another instance was promoted, the row has no record.
	 * @returns The term, undefined if the write is not known to have succeeded.
	 */
	async closeTerm(openTerm: GroupTerm, drainMs: number, isPrimaryKnown: boolean): Promise<StoredTerm | undefined> {
		const {group, term, primaryId, pendingOrders} = openTerm;
		return this.#writeAndReport(group, this.#getRowVersion(openTerm), {
			term, primaryId, phase: 'closing', drainMs, pendingOrders, ...(isPrimaryKnown && {promotion: {token: this.dependencies.coordinatorLease.token, formerPrimaryId: primaryId}}),
		});
	}

	/** Reads a closing term from the store, and reports it if it is newer than the known one; replaces a row that cannot be read. Returns undefined if the read or the write fails or the term is not closing. */
	async readClosingTerm(group: string): Promise<StoredTerm | undefined> {
		const result = await this.dependencies.store.readSharedRows(readTimeoutMs);
		if (result.kind === 'failed') {
			return undefined;
		}

		const {terms, unreadable} = parseSharedRows(result.value, this.dependencies.log);
		const term = terms.get(group);
		const unreadableVersion = unreadable.terms.get(group);
		const known = this.dependencies.terms.getTerm(group);
		if (unreadableVersion !== undefined && known !== undefined) {
			return this.createClosedTerm(group, known, unreadableVersion);
		}

		if (term !== undefined) {
			this.#applyAndReport(term);
		}

		return term?.phase === 'closing' ? term : undefined;
	}

	/**
	 * Records a promotion in the row of a closing term, before it is ordered.
	 * @param newestTerm - Newest term that an instance of the group stated: a former build takes an instance in a later term than that of the row for the primary.
	 * @param pendingOrders - Earlier orders that may still take effect.
	 * @returns The term, undefined if the write is not known to have succeeded.
	 */
	async recordOrder({group, primaryId, drainMs, revision, promotion}: StoredTerm, order: PromotionOrder, newestTerm: number, pendingOrders: readonly PendingOrder[]): Promise<StoredTerm | undefined> {
		const {token} = this.dependencies.coordinatorLease;
		// VMs act on the closing alone, so the order is not reported to them.
		return this.#write(group, revision, {
			term: newestTerm, primaryId: noPrimaryId, phase: 'closing', drainMs, promotion: {token, formerPrimaryId: promotion?.formerPrimaryId ?? primaryId, order}, pendingOrders,
		});
	}

	async #writeAndReport(group: string, revision: number, content: TermContent): Promise<StoredTerm | undefined> {
		const term = await this.#write(group, revision, content);
		if (term !== undefined) {
			this.#applyAndReport(term);
		}

		return term;
	}

	async #write(group: string, revision: number, content: TermContent): Promise<StoredTerm | undefined> {
		const {coordinatorLease, store} = this.dependencies;
		const versions = await coordinatorLease.writeRowsIfHeld([createTermWrite({group, ...content}, store.era, revision)]);
		if (versions === undefined) {
			return undefined;
		}

		const term = {group, ...content, revision: versions.get(getTermKey(group))!};
		this.#storedTerms.set(group, term);
		return term;
	}

	/** Returns the version of the row of a known term; a coordinator of a former build may have reported a later revision than the row has. */
	#getRowVersion({group, term, primaryId, phase, revision}: GroupTerm): number {
		const stored = this.#storedTerms.get(group);
		return stored?.term === term && stored.primaryId === primaryId && stored.phase === phase ? Math.min(stored.revision, revision) : revision;
	}

	#applyAndReport({promotion, ...term}: StoredTerm): void {
		const {terms, coordinator, coordinatorLease} = this.dependencies;
		if (term.revision > (terms.getTerm(term.group)?.revision ?? 0)) {
			terms.applyTerm(term);
			if (coordinatorLease.isHeld()) {
				coordinator.pushReports();
			}
		}
	}
}
