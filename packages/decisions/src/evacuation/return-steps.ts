/** Fractions of the time in which a returning instance gets reads, by step: its caches and connections are not warm yet. */
const stepFractions = [0.25, 0.5, 0.75];

/** Duration of a step, in milliseconds. */
const stepMs = 1000;

/** Period in which a returning instance gets reads for a fraction of the time, in milliseconds: short compared with the deadlines of reads. */
const periodMs = 200;

/** Time after the end of an evacuation in which an instance may be cold without this VM knowing, in milliseconds: two intervals at which the instances are read. */
const coldnessDiscoveryMs = 2500;

/** Returns whether all steps of a return are over. */
export function isReturnComplete(returnedForMs: number): boolean {
	return returnedForMs >= stepFractions.length * stepMs;
}

/** Returns whether an instance that returned has to be treated as cold until a list that was read after its return tells otherwise. */
export function isColdnessUnknown(returnedForMs: number): boolean {
	return returnedForMs < coldnessDiscoveryMs;
}

/**
 * Returns whether an instance whose evacuation has ended may get a read now.
 * @param returnedForMs - Time since the end of the evacuation, in milliseconds.
 * @param phase - Fixed number of this VM from 0 (inclusive) to 1 (exclusive), by which the periods of the VMs differ.
 */
export function mayReadFromReturning(returnedForMs: number, phase: number): boolean {
	const fraction = stepFractions[Math.floor(returnedForMs / stepMs)] ?? 1;
	return ((returnedForMs / periodMs) + phase) % 1 < fraction;
}
