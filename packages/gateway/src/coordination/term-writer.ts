import {type PromotionOrder} from '@chicorysaddle/decisions';
import {type EventLog} from '../observability/index.js';
import {type CoordinationStore} from '../ports/index.js';
import {type GroupTerm, type TermRegistry} from '../terms/index.js';
import {type Coordinator} from './coordinator.js';
import {type CoordinatorLease} from './coordinator-lease.js';
import {
	createTermWrite, getTermKey, noPrimaryId, parseSharedRows, type StoredTerm, type TermContent,
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

	constructor(private readonly dependencies: TermWriterDependencies) {
		dependencies.coordinatorLease.onReadBack(({terms}) => {
			for (const term of terms.values()) {
				this.#storedTerms.set(term.group, term);
				this.#applyAndReport(term);
			}
		});
	}

	/**
	 * Opens a term and reports it to all VMs.
	 * @param revision - Version that the row must have, 0 if it is absent.
	 * @returns The term, undefined if the write is not known to have succeeded.
	 */
	async openTerm(group: string, revision: number, {term, primaryId}: Pick<GroupTerm, 'term' | 'primaryId'>): Promise<StoredTerm | undefined> {
		return this.#writeAndReport(group, revision, {
			term, primaryId, phase: 'open', drainMs: 0,
		});
	}

	/** Creates the row of a group as that of a closing term without a record of promotions, so that a resumed change finds out the primary. */
	async createClosedTerm(group: string, {term, primaryId}: Pick<GroupTerm, 'term' | 'primaryId'>): Promise<StoredTerm | undefined> {
		return this.#writeAndReport(group, 0, {
			term, primaryId, phase: 'closing', drainMs: 0,
		});
	}

	/**
	 * Closes a term and reports that to all VMs.
	 * @param isPrimaryKnown - Whether the primary of the term is the group's primary; if another instance was promoted, the row has no record.
	 * @returns The term, undefined if the write is not known to have succeeded.
	 */
	async closeTerm(openTerm: GroupTerm, drainMs: number, isPrimaryKnown: boolean): Promise<StoredTerm | undefined> {
		const {group, term, primaryId} = openTerm;
		return this.#writeAndReport(group, this.#getRowVersion(openTerm), {
			term, primaryId, phase: 'closing', drainMs, ...(isPrimaryKnown && {promotion: {token: this.dependencies.coordinatorLease.token, formerPrimaryId: primaryId}}),
		});
	}

	/** Reads a closing term from the store, and reports it if it is newer than the known one; returns undefined if the read fails or the term is not closing. */
	async readClosingTerm(group: string): Promise<StoredTerm | undefined> {
		const result = await this.dependencies.store.readSharedRows(readTimeoutMs);
		const term = result.kind === 'ok' ? parseSharedRows(result.value, this.dependencies.log).terms.get(group) : undefined;
		if (term !== undefined) {
			this.#applyAndReport(term);
		}

		return term?.phase === 'closing' ? term : undefined;
	}

	/**
	 * Records a promotion in the row of a closing term, before it is ordered.
	 * @param newestTerm - Newest term that an instance of the group stated: a former build takes an instance in a later term than that of the row for the primary.
	 * @returns The term, undefined if the write is not known to have succeeded.
	 */
	async recordOrder({group, primaryId, drainMs, revision, promotion}: StoredTerm, order: PromotionOrder, newestTerm: number): Promise<StoredTerm | undefined> {
		const {token} = this.dependencies.coordinatorLease;
		// VMs act on the closing alone, so the order is not reported to them.
		return this.#write(group, revision, {
			term: newestTerm, primaryId: noPrimaryId, phase: 'closing', drainMs, promotion: {token, formerPrimaryId: promotion?.formerPrimaryId ?? primaryId, order},
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
