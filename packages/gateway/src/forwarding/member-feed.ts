import {type CoordinatorReport, type MemberEntry} from '@chicorysaddle/protocol/coordination';

/** Number of removed members that are remembered; a VM that lacks more gets the whole list. */
const keptRemovalCount = 64;

/** Part of a report that concerns the members. */
export type MemberReport = Pick<CoordinatorReport, 'memberRevision' | 'memberList' | 'memberChanges'>;

/** Member list that the coordinator reports, with its changes by revision. */
export class MemberFeed {
	/** Number of changes of the list. */
	#number = 0;
	/** Oldest number of changes since which all removals are remembered. */
	#oldestNumber = 0;
	readonly #entries = new Map<string, {readonly entry: MemberEntry; readonly number: number}>();
	readonly #removals = new Map<string, number>();

	/** Brings the list in line with the current members. */
	updateList(members: readonly MemberEntry[]): void {
		const changed = members.filter(member => !isSameEntry(this.#entries.get(member.vm)?.entry, member));
		const vms = new Set(members.map(({vm}) => vm));
		const removed = [...this.#entries.keys()].filter(vm => !vms.has(vm));
		if (changed.length === 0 && removed.length === 0) {
			return;
		}

		this.#number += 1;
		for (const entry of changed) {
			this.#entries.set(entry.vm, {entry, number: this.#number});
			this.#removals.delete(entry.vm);
		}

		for (const vm of removed) {
			this.#entries.delete(vm);
			// Set again, so that the map is in the order of the removals.
			this.#removals.delete(vm);
			this.#removals.set(vm, this.#number);
		}

		this.#removeOldRemovals();
	}

	/**
	 * Creates the part of a report for a VM.
	 * @param source - Identifies the coordinator and its term, since revisions of others are not comparable.
	 * @param revision - Revision that the VM has, undefined if it has none.
	 */
	createReport(source: string, revision: string | undefined): MemberReport {
		const memberRevision = formatRevision(source, this.#number);
		if (revision === memberRevision) {
			return {memberRevision, memberList: undefined, memberChanges: undefined};
		}

		const number = parseNumber(source, revision);
		const entries = [...this.#entries.values()];
		return number === undefined || number < this.#oldestNumber || number > this.#number
			? {memberRevision, memberList: entries.map(({entry}) => entry), memberChanges: undefined}
			: {
				memberRevision, memberList: undefined, memberChanges: {
					base: revision!,
					changed: entries.filter(item => item.number > number).map(({entry}) => entry),
					removedVms: [...this.#removals].filter(([, removedAt]) => removedAt > number).map(([vm]) => vm),
				},
			};
	}

	#removeOldRemovals(): void {
		for (const [vm, number] of this.#removals) {
			if (this.#removals.size <= keptRemovalCount) {
				return;
			}

			this.#removals.delete(vm);
			this.#oldestNumber = number;
		}
	}
}

/** Applies changes to a list of members. */
export function applyMemberChanges(entries: Iterable<MemberEntry>, {changed, removedVms}: NonNullable<CoordinatorReport['memberChanges']>): MemberEntry[] {
	const members = new Map([...entries].map(entry => [entry.vm, entry]));
	for (const vm of removedVms) {
		members.delete(vm);
	}

	for (const entry of changed) {
		members.set(entry.vm, entry);
	}

	return [...members.values()];
}

function formatRevision(source: string, number: number): string {
	return `${source}.${number}`;
}

function parseNumber(source: string, revision: string | undefined): number | undefined {
	const prefix = `${source}.`;
	const number = revision?.startsWith(prefix) === true ? Number(revision.slice(prefix.length)) : Number.NaN;
	return Number.isInteger(number) ? number : undefined;
}

function isSameEntry(before: MemberEntry | undefined, after: MemberEntry): boolean {
	return before?.vm === after.vm && before.zone === after.zone && before.region === after.region && before.address === after.address
		&& before.capacity === after.capacity && (before.isDraining === true) === (after.isDraining === true);
}
