/** Latest observations of a group's primary by one VM. */
export type PrimaryEvidence = {
	readonly vm: string;
	/** Instance that the evidence is about. */
	readonly instanceId: string;
	/** Monotonic time of the last response, in milliseconds; undefined if there was none. */
	readonly answeredAt: number | undefined;
	/** Monotonic time since which every attempt has failed, in milliseconds; undefined while the primary responds. */
	readonly failingSince: number | undefined;
	/** Whether the failures were connections that the host of the primary refused. */
	readonly isRefused: boolean;
};

/** Timeouts after which a primary counts as dead. */
export type PrimaryTimeouts = {
	/** Time of refused connections after which a primary counts as dead, in milliseconds. */
	readonly refusalTimeoutMs: number;
	/** Time without a response after which a primary counts as dead, in milliseconds. */
	readonly silenceTimeoutMs: number;
};

/** Default timeouts. A refused connection proves that the process is gone; silence has to last longer than a slow response. */
export const defaultPrimaryTimeouts: PrimaryTimeouts = {refusalTimeoutMs: 150, silenceTimeoutMs: 900};

/**
 * Returns whether a primary is dead according to the evidence of several VMs.
 * It is alive as long as one VM gets responses. Two VMs have to agree that it is dead, unless only one could have evidence.
 * @param instanceId - Primary to check.
 * @param evidence - Newest evidence of each VM, including this one.
 * @param members - Number of VMs that could have evidence.
 * @param now - Monotonic time in milliseconds.
 * @param timeouts - Timeouts after which a primary counts as dead.
 */
export function isPrimaryDead(instanceId: string, evidence: readonly PrimaryEvidence[], members: number, now: number, timeouts: PrimaryTimeouts = defaultPrimaryTimeouts): boolean {
	const relevant = evidence.filter(item => item.instanceId === instanceId);
	const failing = relevant.filter(item => item.failingSince !== undefined);
	const hasFailedLongEnough = (item: PrimaryEvidence) => now - item.failingSince! >= (item.isRefused ? timeouts.refusalTimeoutMs : timeouts.silenceTimeoutMs);
	const isAlive = relevant.some(item => item.failingSince === undefined && item.answeredAt !== undefined && now - item.answeredAt < timeouts.silenceTimeoutMs);
	return !isAlive && failing.filter(item => hasFailedLongEnough(item)).length >= Math.min(2, Math.max(1, members));
}
