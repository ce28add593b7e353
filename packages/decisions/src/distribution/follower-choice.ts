/** A VM that may follow the store. */
export type FollowerCandidate = {
	readonly vm: string;
	readonly zone: string;
};

/**
 * Chooses the VMs that read the store besides the coordinator. They are in other availability zones than the coordinator and than each other, as far as there are
 * others, so that a cut between one zone and the store leaves a reader.
 * @param candidates - Live VMs besides the coordinator, in order of preference.
 * @param coordinatorZone - Availability zone of the coordinator, undefined if it is not known.
 */
export function chooseFollowers(candidates: readonly FollowerCandidate[], coordinatorZone: string | undefined, count: number): string[] {
	const chosen: string[] = [];
	const usedZones = new Set<string | undefined>([coordinatorZone]);
	let remaining = [...candidates];
	while (chosen.length < count && remaining.length > 0) {
		const next = remaining.find(({zone}) => !usedZones.has(zone));
		if (next === undefined) {
			usedZones.clear();
			continue;
		}

		chosen.push(next.vm);
		usedZones.add(next.zone);
		remaining = remaining.filter(candidate => candidate !== next);
	}

	return chosen;
}
