import {type SnapshotHolder, type SnapshotSource} from './snapshot-source-chooser.js';

/** Maximum number of concurrent transfers from one VM: more would share its link and all take longer. */
const maxTransfersPerSource = 2;

/** Time without progress after which a transfer counts as stalled and a reader of the store is replaced, in milliseconds. */
const stallMs = 800;

/** Time for which a VM whose read of the store stalled is not the preferred reader, and a failed source is not used, in milliseconds. */
const penaltyMs = 3000;

/** Number of VMs for which a source has to fail before no VM is sent to it for a while; a single failure may be due to the receiver's link. */
const minFailedReceivers = 2;

/** A VM as the distribution tree needs it. */
export type TreeMember = SnapshotHolder & {
	/** Region of the VM's zone; empty where there is only one region. */
	readonly region: string;
	/** Whether the VM sends and receives snapshots in parts. */
	readonly readsParts: boolean;
	/** Whether the VM polls the store anyway. */
	readonly isFollower: boolean;
	/** Bytes that the VM has received of a newer version; undefined while it receives none. */
	readonly receivedBytes: number | undefined;
	/** Peer address of the last source that stopped answering the VM; undefined if there is none. */
	readonly failedSource: string | undefined;
};

/** A transfer in progress; without an address it is a read of the store. */
type Assignment = {
	readonly receiver: TreeMember;
	readonly address: string | undefined;
	readonly version: number;
	readonly receivedBytes: number | undefined;
	readonly progressAt: number;
};

/**
 * Chooses where each VM gets a new version of a large snapshot: one VM in each region reads the store, then each VM that has the
 * version serves a few others at a time, first in its own availability zone and then in its own region.
 */
export class DistributionTree {
	readonly #assignments = new Map<string, Assignment>();
	/** Monotonic time at which a VM's read of the store stalled, in milliseconds. */
	readonly #stalledReaders = new Map<string, number>();
	/** Monotonic times at which a source failed, by address and receiver, in milliseconds. */
	readonly #sourceFailures = new Map<string, Map<string, number>>();

	/**
	 * Chooses the source for a VM that lacks a version; a VM whose transfer is in progress keeps its source.
	 * @param members - All live VMs.
	 * @param now - Monotonic time, in milliseconds.
	 */
	chooseSource(member: TreeMember, version: number, members: readonly TreeMember[], now: number): SnapshotSource {
		this.#updateAssignments(members, now);
		const assignment = this.#assignments.get(member.vm);
		if (assignment?.version === version) {
			return assignment.address === undefined ? {kind: 'store'} : {kind: 'peer', address: assignment.address};
		}

		const holders = members.filter(holder => holder.version >= version && holder.vm !== member.vm && holder.address !== '' && holder.address !== member.failedSource && !this.#isFailedSource(holder.address, now) && (holder.readsParts || !member.readsParts));
		const inRegion = holders.filter(holder => holder.region === member.region);
		const inZone = inRegion.filter(holder => holder.zone === member.zone);
		if (inZone.length > 0) {
			return this.#assignHolder(member, version, inZone, now);
		}

		if (inRegion.length > 0) {
			// The first VM of a zone that has the version serves the others, so that the zone's links carry one copy.
			return this.#hasInbound(member, receiver => receiver.zone === member.zone) ? {kind: 'wait'} : this.#assignHolder(member, version, inRegion, now);
		}

		return this.#chooseForRegion(member, version, members, holders, now);
	}

	/** Returns whether a VM was sent to a source for a version and its transfer was still in progress when the last source was chosen. */
	isAssigned(vm: string, version: number): boolean {
		return this.#assignments.get(vm)?.version === version;
	}

	/** Chooses the source of the first VM in a region: the store, or a VM of another region when a reader of the store has stalled. */
	#chooseForRegion(member: TreeMember, version: number, members: readonly TreeMember[], holders: readonly TreeMember[], now: number): SnapshotSource {
		if (this.#hasInbound(member, receiver => receiver.region === member.region)) {
			return {kind: 'wait'};
		}

		const peers = members.filter(other => other.region === member.region && other.version < version);
		const isPenalized = ({vm}: TreeMember) => now - (this.#stalledReaders.get(vm) ?? Number.NEGATIVE_INFINITY) < penaltyMs;
		if (holders.length > 0 && peers.some(other => isPenalized(other))) {
			return this.#assignHolder(member, version, holders, now);
		}

		const eligible = peers.filter(other => !isPenalized(other));
		const reader = eligible.find(other => other.isFollower) ?? (isPenalized(member) ? eligible[0] : undefined) ?? member;
		this.#setAssignment(reader, undefined, version, now);
		return reader.vm === member.vm ? {kind: 'store'} : {kind: 'wait'};
	}

	#assignHolder(member: TreeMember, version: number, holders: readonly TreeMember[], now: number): SnapshotSource {
		const counts = new Map(holders.map(({address}) => [address, this.#countTransfers(address)]));
		const [source] = holders.filter(({address}) => counts.get(address)! < maxTransfersPerSource).toSorted((a, b) => counts.get(a.address)! - counts.get(b.address)!);
		if (source === undefined) {
			return {kind: 'wait'};
		}

		this.#setAssignment(member, source.address, version, now);
		return {kind: 'peer', address: source.address};
	}

	#setAssignment(receiver: TreeMember, address: string | undefined, version: number, now: number): void {
		this.#assignments.set(receiver.vm, {
			receiver, address, version, receivedBytes: receiver.receivedBytes, progressAt: now,
		});
	}

	#countTransfers(address: string): number {
		return [...this.#assignments.values()].filter(assignment => assignment.address === address).length;
	}

	/** Returns whether one of the other VMs that are counted is receiving. */
	#hasInbound({vm}: TreeMember, isCounted: (receiver: TreeMember) => boolean): boolean {
		return [...this.#assignments.values()].some(({receiver}) => receiver.vm !== vm && isCounted(receiver));
	}

	/** Records progress, and removes the transfers that are complete, have failed or have stalled. */
	#updateAssignments(members: readonly TreeMember[], now: number): void {
		const membersByVm = new Map(members.map(member => [member.vm, member]));
		for (const [vm, assignment] of this.#assignments) {
			const member = membersByVm.get(vm);
			const hasProgressed = member?.receivedBytes !== undefined && member.receivedBytes !== assignment.receivedBytes;
			const progressAt = hasProgressed ? now : assignment.progressAt;
			const hasFailed = now - progressAt > stallMs || (assignment.address !== undefined && assignment.address === member?.failedSource);
			if (member === undefined || member.version >= assignment.version) {
				this.#assignments.delete(vm);
			} else if (hasFailed) {
				this.#assignments.delete(vm);
				this.#recordFailure(vm, assignment.address, now);
			} else if (hasProgressed) {
				this.#assignments.set(vm, {...assignment, receivedBytes: member.receivedBytes, progressAt});
			}
		}
	}

	#recordFailure(vm: string, address: string | undefined, now: number): void {
		if (address === undefined) {
			this.#stalledReaders.set(vm, now);
			return;
		}

		const failures = this.#sourceFailures.get(address) ?? new Map<string, number>();
		failures.set(vm, now);
		this.#sourceFailures.set(address, failures);
	}

	#isFailedSource(address: string, now: number): boolean {
		const failures = [...this.#sourceFailures.get(address)?.values() ?? []];
		return failures.filter(at => now - at < penaltyMs).length >= minFailedReceivers;
	}
}
