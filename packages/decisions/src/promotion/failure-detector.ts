import {type GroupState} from '../routing/group-state.js';
import {getMajority} from '../leases/lease-candidate.js';

/** Report of another VM on a group's primary. */
export type FailureReport = {
	readonly vm: string;
	/** Term that the report is about. */
	readonly term: number;
	/** Time for which the sender has seen failures, in milliseconds; zero for none. */
	readonly failingMs: number;
	/** Monotonic time at which this VM requested the report, in milliseconds. */
	readonly requestedAt: number;
};

/** Options of failure detection. */
export type FailureDetectorOptions = {
	/** Time for which a VM has to see failures before a promotion is due, in milliseconds. */
	readonly suspicionMs: number;
	/** Maximum age of another VM's report, in milliseconds. */
	readonly maxReportAgeMs: number;
	/** Minimum time between two promotions that one VM starts in a group, in milliseconds. */
	readonly minPromotionIntervalMs: number;
};

/** Default options of failure detection. */
export const defaultFailureDetectorOptions: FailureDetectorOptions = {suspicionMs: 800, maxReportAgeMs: 1500, minPromotionIntervalMs: 2000};

/** Detects the failure of a group's primary: a majority of the voters has to see failures for long enough. */
export class FailureDetector {
	#failingSince: number | undefined;
	#evaluatedTerm = 0;
	#lastPromotionAt = Number.NEGATIVE_INFINITY;
	readonly #reports = new Map<string, FailureReport>();

	constructor(private readonly group: GroupState, private readonly options: FailureDetectorOptions = defaultFailureDetectorOptions) {}

	/** Updates the time since which this VM sees failures from the current state of the group. */
	updateFailureStart(now: number): void {
		if (this.group.term !== this.#evaluatedTerm) {
			this.#evaluatedTerm = this.group.term;
			this.#failingSince = undefined;
		}

		const since = this.#findFailureStart(now);
		this.#failingSince = since === undefined ? undefined : Math.min(since, this.#failingSince ?? since);
	}

	/** Returns the time for which this VM has seen failures, in milliseconds; zero for none. */
	getFailingMs(now: number): number {
		return this.#failingSince === undefined ? 0 : Math.max(1, now - this.#failingSince);
	}

	recordReport(report: FailureReport): void {
		this.#reports.set(report.vm, report);
	}

	/** Returns whether this VM has seen failures for long enough to request the reports of the others at once. */
	isPrimarySuspected(now: number): boolean {
		return this.getFailingMs(now) >= this.options.suspicionMs / 2;
	}

	/**
	 * Returns whether a promotion is due.
	 * @param name - Name of this VM.
	 * @param voters - Names of the VMs that vote.
	 * @param now - Monotonic time in milliseconds.
	 */
	isPromotionDue(name: string, voters: readonly string[], now: number): boolean {
		if (this.getFailingMs(now) < this.options.suspicionMs || now < this.#lastPromotionAt + this.options.minPromotionIntervalMs) {
			return false;
		}

		const agreeing = voters.filter(voter => voter === name || this.#isAgreeing(this.#reports.get(voter), now));
		return voters.length > 0 && agreeing.length >= getMajority(voters.length);
	}

	recordPromotionStarted(now: number): void {
		this.#lastPromotionAt = now;
	}

	#isAgreeing(report: FailureReport | undefined, now: number): boolean {
		return report?.term === this.group.term
			&& report.failingMs + (now - report.requestedAt) >= this.options.suspicionMs
			&& report.failingMs > 0
			&& now - report.requestedAt <= this.options.maxReportAgeMs;
	}

	/** Returns the time since which the primary has been unknown, unreachable or silent towards its replicas; undefined if it is none of these. */
	#findFailureStart(now: number): number | undefined {
		const {primary} = this.group;
		if (primary === undefined) {
			return now;
		}

		return primary.unreachableSince ?? this.#findSilenceStart(now);
	}

	/** Returns the time since which the replicas have not heard from the primary, if those that this VM reaches are a majority of the group. */
	#findSilenceStart(now: number): number | undefined {
		const replicas = this.group.replicas.filter(replica => replica.isReachable);
		const silentMs = Math.min(...replicas.map(replica => replica.primarySilentMs));
		const isSilent = replicas.length >= getMajority(this.group.instances.length) && silentMs >= this.options.suspicionMs / 2;
		return isSilent ? now - silentMs : undefined;
	}
}
