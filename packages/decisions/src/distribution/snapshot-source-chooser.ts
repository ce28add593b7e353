/** Minimum time between two VMs that are sent to the same source, in milliseconds: about one transfer of a large snapshot over a slow link. */
const sourceIntervalMs = 100;

/** Time after which another VM of a zone reads the store, if the one that was chosen has not obtained the snapshot, in milliseconds. */
const readerTimeoutMs = 800;

/** Minimum number of VMs in a zone for which sources are chosen; fewer all read the store. */
const minZoneSize = 8;

/** A VM, and the version of the snapshot that it has. */
export type SnapshotHolder = {
	readonly vm: string;
	readonly zone: string;
	readonly address: string;
	readonly version: number;
};

/** Where a VM gets a snapshot; with `wait` it asks again later. */
export type SnapshotSource = {readonly kind: 'store'} | {readonly kind: 'wait'} | {readonly kind: 'peer'; readonly address: string};

/**
 * Chooses where each of many VMs gets a new version of a snapshot: one VM in each availability zone reads the store, the others ask
 * one in their zone that has it, so that neither the store nor the links between zones carry a copy for each VM.
 */
export class SnapshotSourceChooser {
	/** Monotonic time at which a VM was last sent to a source, by address, in milliseconds. */
	readonly #usedAt = new Map<string, number>();
	readonly #readers = new Map<string, {readonly vm: string; readonly version: number; readonly chosenAt: number}>();

	/**
	 * Chooses the source for a VM that lacks a version.
	 * @param holders - All live VMs.
	 * @param now - Monotonic time, in milliseconds.
	 */
	chooseSource({vm, zone}: SnapshotHolder, version: number, holders: Iterable<SnapshotHolder>, now: number): SnapshotSource {
		const peers = [...holders].filter(holder => holder.zone === zone);
		if (peers.length < minZoneSize) {
			return {kind: 'store'};
		}

		const sources = peers.filter(holder => holder.version >= version && holder.vm !== vm);
		const [source] = sources.toSorted((a, b) => this.#getUsedAt(a) - this.#getUsedAt(b));
		if (source === undefined) {
			return this.#chooseReader(vm, zone, version, now);
		}

		if (now - this.#getUsedAt(source) < sourceIntervalMs) {
			return {kind: 'wait'};
		}

		this.#usedAt.set(source.address, now);
		return {kind: 'peer', address: source.address};
	}

	#chooseReader(vm: string, zone: string, version: number, now: number): SnapshotSource {
		const reader = this.#readers.get(zone);
		const isPending = reader?.version === version && now - reader.chosenAt < readerTimeoutMs;
		if (isPending && reader.vm !== vm) {
			return {kind: 'wait'};
		}

		this.#readers.set(zone, {vm, version, chosenAt: isPending ? reader.chosenAt : now});
		return {kind: 'store'};
	}

	#getUsedAt({address}: SnapshotHolder): number {
		return this.#usedAt.get(address) ?? Number.NEGATIVE_INFINITY;
	}
}
