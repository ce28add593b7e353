import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type CoordinationStore} from '../ports/index.js';
import {type PromotionWatch} from '../positions/index.js';
import {type GroupTerm, type TermRegistry} from '../terms/index.js';
import {type Coordinator} from './coordinator.js';
import {type CoordinatorLease} from './coordinator-lease.js';
import {
	createTermWrite, getTermKey, maxRowsPerWrite, parseSharedRows,
} from './shared-rows.js';

/** Timeout of a read of the shared rows, in milliseconds. */
const readTimeoutMs = 800;

/** Dependencies of a `StoreRecovery`. */
export type StoreRecoveryDependencies = {
	readonly coordinatorLease: CoordinatorLease;
	readonly coordinator: Coordinator;
	readonly terms: TermRegistry;
	readonly promotionWatch: PromotionWatch;
	readonly store: CoordinationStore;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
};

/** Writes the terms again after the store returned from an older copy, which may name former primaries. */
export class StoreRecovery {
	#recoveredEra = 0;
	#isRunning = false;

	constructor(private readonly dependencies: StoreRecoveryDependencies) {}

	/** Latest era of the store into which the terms were written; 0 if there is none. */
	get recoveredEra(): number {
		return this.#recoveredEra;
	}

	/** Writes the terms into the store's present era if that has not been done; only the coordinator may call this. */
	async recoverIfNeeded(): Promise<void> {
		const {store, coordinatorLease} = this.dependencies;
		if (this.#isRunning || store.era <= this.#recoveredEra || !coordinatorLease.isHeld()) {
			return;
		}

		this.#isRunning = true;
		try {
			const {era} = store;
			this.#recoveredEra = await this.#recover(era) ? era : this.#recoveredEra;
		} finally {
			this.#isRunning = false;
		}
	}

	/** Returns whether every term row was written in the era, now or before. */
	async #recover(era: number): Promise<boolean> {
		const {store, coordinatorLease, terms, promotionWatch, coordinator, log, metrics} = this.dependencies;
		const result = await store.readSharedRows(readTimeoutMs);
		if (result.kind === 'failed') {
			return false;
		}

		const {terms: currentTerms, restoredTerms, unreadable} = parseSharedRows(result.value, log);
		for (const {group, pendingOrders = []} of restoredTerms.values()) {
			for (const {instanceId, address} of pendingOrders) {
				promotionWatch.addOrdered(group, instanceId, address);
			}
		}

		const isContinued = coordinatorLease.acquiredEra < era;
		const groups = new Set([...terms.getTerms().map(term => term.group), ...restoredTerms.keys()]);
		const rewritten = [...groups].filter(group => !currentTerms.has(group)).map(group => {
			// Another writer replaced the row, so what this VM knows may be outdated.
			const content = isContinued && !unreadable.terms.has(group) ? terms.getTerm(group) ?? restoredTerms.get(group)! : createClosingTerm(terms.getTerm(group), restoredTerms.get(group));
			return {...content, pendingOrders: promotionWatch.getPendingOrders(group), revision: restoredTerms.get(group)?.revision ?? unreadable.terms.get(group) ?? 0};
		});
		for (let start = 0; start < rewritten.length; start += maxRowsPerWrite) {
			const batch = rewritten.slice(start, start + maxRowsPerWrite);
			const versions = await coordinatorLease.writeRowsIfHeld(batch.map(term => createTermWrite(term, era, term.revision)));
			if (versions === undefined) {
				return false;
			}

			for (const term of batch) {
				terms.applyTerm({...term, revision: versions.get(getTermKey(term.group))!});
			}

			metrics.addCount('terms_rewritten');
			log.logEvent('terms.rewritten', {
				era, groups: batch.length, isContinued: String(isContinued), version: Math.max(...versions.values()),
			});
		}

		coordinator.pushReports();
		return true;
	}
}

/**
 * Returns the term with which a coordinator that acquired its lease after the restore starts: its predecessor may have promoted an instance without
 * this VM learning of it, so the term closes, and the resumed change of primary finds out from the instances.
 */
function createClosingTerm(known: GroupTerm | undefined, restored: GroupTerm | undefined): GroupTerm {
	const newest = known !== undefined && known.term >= (restored?.term ?? 0) ? known : restored!;
	return {...newest, phase: 'closing', drainMs: 0};
}
