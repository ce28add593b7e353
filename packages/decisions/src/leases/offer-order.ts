/** A VM that may take over a role. */
export type OfferedMember = {
	/** Capacity relative to the largest VMs, from 0 to 1; undefined if it is not known. */
	readonly capacity: number | undefined;
};

/** Fraction of the largest capacity in a round of offers below which a VM waits for a later round. */
const minCapacityFraction = 0.5;

/** Capacity of a VM that states none: that of a former build. */
const defaultCapacity = 1;

/**
 * Chooses the VMs to which a role is offered in one round: those with the most capacity that were not asked yet, since the first one that accepts
 * serves all others; VMs of much less capacity are asked in later rounds, and all of them again after the last.
 * @param startIndex - Number of VMs that were asked in earlier rounds.
 */
export function chooseOfferedMembers<Member extends OfferedMember>(members: readonly Member[], startIndex: number, maxCount: number): Member[] {
	const ordered = members.toSorted((a, b) => getCapacity(b) - getCapacity(a));
	const rotated = ordered.map((_, index) => ordered[(startIndex + index) % ordered.length]!);
	const minCapacity = rotated.length === 0 ? 0 : getCapacity(rotated[0]!) * minCapacityFraction;
	const end = rotated.findIndex(member => getCapacity(member) < minCapacity);
	return rotated.slice(0, Math.min(maxCount, end === -1 ? rotated.length : end));
}

/** Returns whether a VM has so much more capacity than the holder of a role that the role is better moved to it. */
export function isMuchLarger(member: OfferedMember, holder: OfferedMember): boolean {
	return getCapacity(member) * minCapacityFraction > getCapacity(holder);
}

function getCapacity({capacity}: OfferedMember): number {
	return capacity ?? defaultCapacity;
}
