import {type PromotionOrder} from '@chicorysaddle/decisions';
import {type EventLog} from '../observability/index.js';
import {type CoordinationStore} from '../ports/index.js';
import {type GroupTerm, type TermRegistry} from '../terms/index.js';
import {type Coordinator} from './coordinator.js';
import {type CoordinatorLease} from './coordinator-lease.js';
import {
	createTermWrite, noPrimaryId, parseSharedRows, type StoredTerm, type TermContent,
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
	constructor(private readonly dependencies: TermWriterDependencies) {}

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

	/** Closes a term and reports that to all VMs; returns undefined if the write is not known to have succeeded. */
	async closeTerm({group, term, primaryId, revision}: GroupTerm, drainMs: number): Promise<StoredTerm | undefined> {
		return this.#writeAndReport(group, revision, {
			term, primaryId, phase: 'closing', drainMs, promotion: {token: this.dependencies.coordinatorLease.token, formerPrimaryId: primaryId},
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

	/** Records a promotion in the row of a closing term, before it is ordered; returns undefined if the write is not known to have succeeded. */
	async recordOrder({group, term, primaryId, drainMs, revision, promotion}: StoredTerm, order: PromotionOrder): Promise<StoredTerm | undefined> {
		const {token} = this.dependencies.coordinatorLease;
		// VMs act on the closing alone, so the order is not reported to them.
		return this.#write(group, revision, {
			term, primaryId: noPrimaryId, phase: 'closing', drainMs, promotion: {token, formerPrimaryId: promotion?.formerPrimaryId ?? primaryId, order},
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
		const version = await coordinatorLease.writeRowsIfHeld([createTermWrite({group, ...content}, store.era, revision)]);
		return version === undefined ? undefined : {group, ...content, revision: version};
	}

	#applyAndReport({promotion, ...term}: StoredTerm): void {
		const {terms, coordinator} = this.dependencies;
		if (term.revision > (terms.getTerm(term.group)?.revision ?? 0)) {
			terms.applyTerm(term);
			coordinator.pushReports();
		}
	}
}
