import {type GroupState} from '../routing/group-state.js';
import {getMajority} from '../leases/lease-candidate.js';

/** What another VM says of a group's primary. */
export type FailureWord = {
	readonly vm: string;
	/** Term that the word is about. */
	readonly term: number;
	/** How long the sender has seen evidence of failure; zero for none. */
	readonly failingMs: number;
	/** Time at which the word was asked for. */
	readonly heardAt: number;
};

/** Timing of failure detection. */
export type DetectionTiming = {
	/** Time for which a VM has to see evidence of failure. */
	readonly suspicionMs: number;
	/** Longest age of another VM's word. */
	readonly wordMs: number;
	/** Least time between two promotions that one VM starts in a group. */
	readonly holdOffMs: number;
};

export const defaultDetectionTiming: DetectionTiming = {suspicionMs: 800, wordMs: 1500, holdOffMs: 2000};

/** Judges the primary of one group, by time and by the word of a majority. */
export class FailureDetector {
	#failingSince: number | undefined;
	#judgedTerm = 0;
	#lastPromotionAt = Number.NEGATIVE_INFINITY;
	readonly #words = new Map<string, FailureWord>();

	constructor(private readonly group: GroupState, private readonly timing: DetectionTiming = defaultDetectionTiming) {}

	/** Re-evaluates the evidence of this VM. */
	observe(now: number): void {
		if (this.group.term !== this.#judgedTerm) {
			this.#judgedTerm = this.group.term;
			this.#failingSince = undefined;
		}

		const since = this.#findEvidence(now);
		this.#failingSince = since === undefined ? undefined : Math.min(since, this.#failingSince ?? since);
	}

	/** Returns how long this VM has seen evidence of failure; zero for none. */
	getFailingMs(now: number): number {
		return this.#failingSince === undefined ? 0 : Math.max(1, now - this.#failingSince);
	}

	observeWord(word: FailureWord): void {
		this.#words.set(word.vm, word);
	}

	/** Says whether this VM alone has seen enough to ask the others at once. */
	isSuspicious(now: number): boolean {
		return this.getFailingMs(now) >= this.timing.suspicionMs / 2;
	}

	/**
	 * Says whether a promotion is due.
	 * @param name - Name of this VM.
	 * @param voters - VMs whose word counts.
	 * @param now - Monotonic time in milliseconds.
	 */
	isPromotionDue(name: string, voters: readonly string[], now: number): boolean {
		if (this.getFailingMs(now) < this.timing.suspicionMs || now < this.#lastPromotionAt + this.timing.holdOffMs) {
			return false;
		}

		const agreeing = voters.filter(voter => voter === name || this.#isAgreeing(this.#words.get(voter), now));
		return voters.length > 0 && agreeing.length >= getMajority(voters.length);
	}

	observePromotionStarted(now: number): void {
		this.#lastPromotionAt = now;
	}

	#isAgreeing(word: FailureWord | undefined, now: number): boolean {
		return word?.term === this.group.term
			&& word.failingMs + (now - word.heardAt) >= this.timing.suspicionMs
			&& word.failingMs > 0
			&& now - word.heardAt <= this.timing.wordMs;
	}

	/** Returns since when the primary is unknown or out of reach, or lost to its replicas; undefined where it is not. */
	#findEvidence(now: number): number | undefined {
		const {primary} = this.group;
		if (primary === undefined) {
			return now;
		}

		return primary.unreachableSince ?? this.#findSilence(now);
	}

	/** Replicas that have not heard their primary speak for themselves, where a majority of the group does so. */
	#findSilence(now: number): number | undefined {
		const replicas = this.group.replicas.filter(replica => replica.isReachable);
		const silentMs = Math.min(...replicas.map(replica => replica.primarySilentMs));
		const isSilent = replicas.length >= getMajority(this.group.instances.length) && silentMs >= this.timing.suspicionMs / 2;
		return isSilent ? now - silentMs : undefined;
	}
}
