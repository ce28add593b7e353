import {type GroupState} from '../routing/group-state.js';
import {getMajority} from '../leases/lease-candidate.js';

/** What another VM says of a group's primary. */
export type FailureReport = {
	readonly vm: string;
	/** Term that the word is about. */
	readonly term: number;
	/** How long the sender has seen evidence of failure; zero for none. */
	readonly failingMs: number;
	/** Time at which the word was asked for. */
	readonly requestedAt: number;
};

/** Timing of failure detection. */
export type FailureDetectorOptions = {
	/** Time for which a VM has to see evidence of failure. */
	readonly suspicionMs: number;
	/** Longest age of another VM's word. */
	readonly maxReportAgeMs: number;
	/** Least time between two promotions that one VM starts in a group. */
	readonly minPromotionIntervalMs: number;
};

export const defaultFailureDetectorOptions: FailureDetectorOptions = {suspicionMs: 800, maxReportAgeMs: 1500, minPromotionIntervalMs: 2000};

/** Judges the primary of one group, by time and by the word of a majority. */
export class FailureDetector {
	#failingSince: number | undefined;
	#evaluatedTerm = 0;
	#lastPromotionAt = Number.NEGATIVE_INFINITY;
	readonly #reports = new Map<string, FailureReport>();

	constructor(private readonly group: GroupState, private readonly options: FailureDetectorOptions = defaultFailureDetectorOptions) {}

	/** Re-evaluates the evidence of this VM. */
	observe(now: number): void {
		if (this.group.term !== this.#evaluatedTerm) {
			this.#evaluatedTerm = this.group.term;
			this.#failingSince = undefined;
		}

		const since = this.#findFailureStart(now);
		this.#failingSince = since === undefined ? undefined : Math.min(since, this.#failingSince ?? since);
	}

	/** Returns how long this VM has seen evidence of failure; zero for none. */
	getFailingMs(now: number): number {
		return this.#failingSince === undefined ? 0 : Math.max(1, now - this.#failingSince);
	}

	observeReport(word: FailureReport): void {
		this.#reports.set(word.vm, word);
	}

	/** Says whether this VM alone has seen enough to ask the others at once. */
	isPrimarySuspected(now: number): boolean {
		return this.getFailingMs(now) >= this.options.suspicionMs / 2;
	}

	/**
	 * Says whether a promotion is due.
	 * @param name - Name of this VM.
	 * @param voters - VMs whose word counts.
	 * @param now - Monotonic time in milliseconds.
	 */
	isPromotionDue(name: string, voters: readonly string[], now: number): boolean {
		if (this.getFailingMs(now) < this.options.suspicionMs || now < this.#lastPromotionAt + this.options.minPromotionIntervalMs) {
			return false;
		}

		const agreeing = voters.filter(voter => voter === name || this.#isAgreeing(this.#reports.get(voter), now));
		return voters.length > 0 && agreeing.length >= getMajority(voters.length);
	}

	observePromotionStarted(now: number): void {
		this.#lastPromotionAt = now;
	}

	#isAgreeing(word: FailureReport | undefined, now: number): boolean {
		return word?.term === this.group.term
			&& word.failingMs + (now - word.requestedAt) >= this.options.suspicionMs
			&& word.failingMs > 0
			&& now - word.requestedAt <= this.options.maxReportAgeMs;
	}

	/** Returns since when the primary is unknown or out of reach, or lost to its replicas; undefined where it is not. */
	#findFailureStart(now: number): number | undefined {
		const {primary} = this.group;
		if (primary === undefined) {
			return now;
		}

		return primary.unreachableSince ?? this.#findSilenceStart(now);
	}

	/** Replicas that have not heard their primary speak for themselves, where a majority of the group does so. */
	#findSilenceStart(now: number): number | undefined {
		const replicas = this.group.replicas.filter(replica => replica.isReachable);
		const silentMs = Math.min(...replicas.map(replica => replica.primarySilentMs));
		const isSilent = replicas.length >= getMajority(this.group.instances.length) && silentMs >= this.options.suspicionMs / 2;
		return isSilent ? now - silentMs : undefined;
	}
}
