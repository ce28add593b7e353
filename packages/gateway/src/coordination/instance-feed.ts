import {type CoordinatorReport} from '@chicorysaddle/protocol/coordination';
import {type Instance, isInstanceUnchanged} from '../instances/index.js';

/** Number of former lists that are kept; a VM that has an older one gets the whole list. */
const keptListCount = 16;

type InstanceEntry = NonNullable<CoordinatorReport['instances']>['entries'][number];

type InstanceList = {readonly revision: string; readonly entries: readonly Instance[]};

/** Part of a report that concerns the instances. */
export type InstanceReport = Pick<CoordinatorReport, 'instances' | 'instanceChanges'>;

/** Instance lists that the coordinator reports, with their changes. */
export class InstanceFeed {
	/** Newest lists, oldest first; empty until the instances have been read, since an empty list would mean that every instance is gone. */
	#lists: readonly InstanceList[] = [];

	/** Adds a list; does nothing if it has no changes. */
	addList(revision: string, entries: readonly Instance[]): void {
		const current = this.#lists.at(-1);
		const changes = current === undefined ? undefined : compareLists(current.entries, entries);
		if (changes === undefined || changes.changed.length > 0 || changes.removedIds.length > 0) {
			this.#lists = [...this.#lists, {revision, entries: [...entries]}].slice(-keptListCount);
		}
	}

	/**
	 * Creates the part of a report for a VM that has a revision of the list, undefined if it has none.
	 * @param readsChanges - Whether the VM reads changes; otherwise it gets whole lists.
	 */
	createReport(revision: string | undefined, readsChanges: boolean): InstanceReport {
		const current = this.#lists.at(-1);
		if (current === undefined || revision === current.revision) {
			return {instances: undefined, instanceChanges: undefined};
		}

		const known = readsChanges ? this.#lists.find(list => list.revision === revision) : undefined;
		return known === undefined
			? {instances: {revision: current.revision, entries: createEntries(current.entries)}, instanceChanges: undefined}
			: {instances: undefined, instanceChanges: {base: known.revision, revision: current.revision, ...compareLists(known.entries, current.entries)}};
	}
}

/** Applies changes to a list. */
export function applyInstanceChanges(entries: Iterable<Instance>, {changed, removedIds}: NonNullable<CoordinatorReport['instanceChanges']>): Instance[] {
	const instances = new Map([...entries].map(instance => [instance.id, instance]));
	for (const id of removedIds) {
		instances.delete(id);
	}

	for (const instance of changed) {
		instances.set(instance.id, instance);
	}

	return [...instances.values()];
}

/** Creates the entries of a list as messages have them, where an absent field is the same as an undefined one. */
function createEntries(instances: readonly Instance[]): InstanceEntry[] {
	return instances as InstanceEntry[];
}

function compareLists(before: readonly Instance[], after: readonly Instance[]): {changed: InstanceEntry[]; removedIds: string[]} {
	const known = new Map(before.map(instance => [instance.id, instance]));
	const ids = new Set(after.map(instance => instance.id));
	return {
		changed: createEntries(after.filter(instance => {
			const previous = known.get(instance.id);
			return previous === undefined || !isInstanceUnchanged(previous, instance);
		})),
		removedIds: before.filter(instance => !ids.has(instance.id)).map(instance => instance.id),
	};
}
