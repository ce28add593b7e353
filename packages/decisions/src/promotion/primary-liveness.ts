/** What one VM last saw of a group's primary. */
export type PrimaryEvidence = {
	readonly vm: string;
	/** Instance that the evidence is about. */
	readonly instanceId: string;
	/** Time of the last answer, if there was any. */
	readonly answeredAt: number | undefined;
	/** Time since which nothing but failures was seen, undefined while all is well. */
	readonly failingSince: number | undefined;
	/** Whether the failures were refusals by the machine itself. */
	readonly isRefused: boolean;
};

/** Timing of the judgement. */
export type PrimaryTimeouts = {
	/** Time of refusals after which a primary counts as dead, milliseconds. */
	readonly refusalTimeoutMs: number;
	/** Time of silence after which a primary counts as dead, milliseconds. */
	readonly silenceTimeoutMs: number;
};

/** A refusal proves that the process is gone; silence has to outlast a slow answer. */
export const defaultPrimaryTimeouts: PrimaryTimeouts = {refusalTimeoutMs: 150, silenceTimeoutMs: 900};

/**
 * Says whether a primary is dead by the evidence of several VMs.
 * Any VM that still gets answers speaks for its life; one VM alone is believed only when no other can be heard.
 * @param instanceId - Primary that is judged.
 * @param evidence - Newest evidence of each VM, the judge's own included.
 * @param members - VMs that could have evidence.
 */
export function isPrimaryDead(instanceId: string, evidence: readonly PrimaryEvidence[], members: number, now: number, timeouts: PrimaryTimeouts = defaultPrimaryTimeouts): boolean {
	const relevant = evidence.filter(item => item.instanceId === instanceId);
	const failing = relevant.filter(item => item.failingSince !== undefined);
	const isLongEnough = (item: PrimaryEvidence) => now - item.failingSince! >= (item.isRefused ? timeouts.refusalTimeoutMs : timeouts.silenceTimeoutMs);
	const isAlive = relevant.some(item => item.failingSince === undefined && item.answeredAt !== undefined && now - item.answeredAt < timeouts.silenceTimeoutMs);
	return !isAlive && failing.filter(item => isLongEnough(item)).length >= Math.min(2, Math.max(1, members));
}
