import {getLaterPosition, logStart, type LogPosition} from '@chicorysaddle/model';

/** Status of an instance, as reported by itself. */
export type InstanceReport = {
	readonly term: number;
	/** Promoter that the instance accepted the term from. */
	readonly promoter: string;
	readonly primary: boolean;
	readonly position: LogPosition;
	readonly stalenessMs: number;
	readonly primarySilentMs: number;
};

/** State of an instance of a database group as known to this proxy. */
export class InstanceView {
	/** Latest position that the instance is known to hold. */
	position: LogPosition = logStart;
	/** Highest term that the instance has accepted. */
	term = 0;
	isPrimary = false;
	isLeaving = false;
	/** Whether its availability zone is evacuated. */
	isEvacuated = false;
	/** Whether nothing may be sent to it, because its availability zone has been evacuated for long enough. */
	isCutOff = false;
	/** Monotonic time at which the evacuation of its zone ended, in milliseconds; undefined if there was none. */
	returnedAt: number | undefined;
	/** Monotonic time since which every attempt to reach it has failed, in milliseconds; undefined while it is reachable. */
	unreachableSince: number | undefined;
	/** Number of requests of this proxy that are running on it. */
	inUse = 0;
	/** Maximum number of requests of this proxy that run on it at once. */
	limit = 1;
	/** Smoothed duration of a request, in milliseconds. */
	latencyMs = 0;
	/** Time since the instance last heard from the primary, as it reported, in milliseconds. */
	primarySilentMs = 0;
	#stalenessMs = Number.POSITIVE_INFINITY;
	#reportedAt = Number.NEGATIVE_INFINITY;

	constructor(readonly name: string, readonly zone: string) {}

	get isReachable(): boolean {
		return this.unreachableSince === undefined;
	}

	get hasCapacity(): boolean {
		return this.inUse < this.limit;
	}

	/** Lag behind the primary when it last reported, in milliseconds. */
	get reportedLagMs(): number {
		return this.#stalenessMs;
	}

	/** Returns an upper bound of the age of the data it holds, in milliseconds. */
	getStalenessMs(now: number): number {
		return this.isPrimary ? 0 : this.#stalenessMs + (now - this.#reportedAt);
	}

	/** Records the response to a status request that was sent at `sentAt`. */
	recordReport(report: InstanceReport, sentAt: number): void {
		this.recordReachable();
		this.term = Math.max(this.term, report.term);
		this.isPrimary = report.primary && report.term === this.term;
		this.primarySilentMs = report.primarySilentMs;
		this.recordPosition(report.position, report.stalenessMs, sentAt);
	}

	/** Records the position and staleness from a response to a request that was sent at `sentAt`. */
	recordPosition(position: LogPosition, stalenessMs: number, sentAt: number): void {
		this.position = getLaterPosition(this.position, position);
		if (sentAt >= this.#reportedAt) {
			this.#stalenessMs = stalenessMs;
			this.#reportedAt = sentAt;
		}
	}

	recordReachable(): void {
		this.unreachableSince = undefined;
	}

	recordUnreachable(now: number): void {
		this.unreachableSince ??= now;
	}

	/** Records the duration of a request, in milliseconds. */
	recordLatency(durationMs: number): void {
		const smoothingFactor = 0.1;
		this.latencyMs = this.latencyMs === 0 ? durationMs : this.latencyMs + (smoothingFactor * (durationMs - this.latencyMs));
	}
}
