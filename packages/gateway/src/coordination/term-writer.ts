import {type CoordinationStore} from '../ports/index.js';
import {type GroupTerm, type TermRegistry} from '../terms/index.js';
import {type Coordinator} from './coordinator.js';
import {type CoordinatorLease} from './coordinator-lease.js';
import {createTermWrite, type TermContent} from './shared-rows.js';

/** Dependencies of a `TermWriter`. */
export type TermWriterDependencies = {
	readonly coordinatorLease: CoordinatorLease;
	readonly coordinator: Coordinator;
	readonly terms: TermRegistry;
	readonly store: CoordinationStore;
};

/** Writes the rows of terms for the coordinator. */
export class TermWriter {
	constructor(private readonly dependencies: TermWriterDependencies) {}

	/**
	 * Writes the row of a group's term and reports it to all VMs.
	 * @param revision - Version that the row must have, 0 if it is absent.
	 * @returns The written term, undefined if the write is not known to have succeeded.
	 */
	async writeTerm(group: string, revision: number, content: TermContent): Promise<GroupTerm | undefined> {
		const {coordinatorLease, coordinator, terms, store} = this.dependencies;
		const version = await coordinatorLease.writeRowsIfHeld([createTermWrite({group, ...content}, store.era, revision)]);
		if (version === undefined) {
			return undefined;
		}

		const term = {group, ...content, revision: version};
		terms.applyTerm(term);
		coordinator.pushReports();
		return term;
	}
}
