import {type PrimaryEvidence, ReplicaLagEstimator} from '@chicorysaddle/decisions';
import {isAtLeast, type LogPosition} from '@chicorysaddle/model';
import {type Instance} from '../instances/index.js';
import {type EventLog} from '../observability/index.js';
import {type StatementOutcome} from '../statements/index.js';

/** Service time that is assumed before the first measurement, in milliseconds. */
const initialLatencyMs = 10;

/** Weight of the newest measurement in the moving averages. */
const smoothingFactor = 0.1;

/** Half-life of the measured latency while an instance is not used, in milliseconds. */
const latencyHalfLifeMs = 2000;

/** Time for which a replica that had not reached a position gets no reads that need it, in milliseconds. */
const laggingBackoffMs = 150;

/** Delay between two attempts to reach a failing instance, in milliseconds. */
const failureBackoffMs = 150;

/** Time for which an instance is not used after it answered that it is not the primary, in milliseconds: the propagation time of a new term. */
const notPrimaryBackoffMs = 50;

/** Minimum backoff after an overload, in milliseconds: about one service time. */
const minBackoffMs = 15;

/** Maximum backoff after an overload, in milliseconds: long enough that all VMs together send no more requests than an instance with a few slots serves. */
const maxBackoffMs = 480;

/** Time for which an overload is reported in the log, in milliseconds: longer than the maximum backoff. */
const overloadReportMs = 1000;

/** Time without any answer after which an instance counts as silent, in milliseconds: longer than a full queue ahead of the request takes. */
const silenceThresholdMs = 300;

/** A request to an instance that was not answered yet. */
export type PendingRequest = {
	readonly kind: 'statement' | 'connection';
	/** Monotonic time, in milliseconds. */
	readonly sentAt: number;
};

/** Tracks latency, log position, overload and failures of one instance as this VM observes them. */
export class InstanceTracker {
	/** Replication lag of the instance as a replica. */
	readonly lag = new ReplicaLagEstimator();
	#latencyMs = initialLatencyMs;
	#measuredAt = Number.NEGATIVE_INFINITY;
	#position: LogPosition | undefined;
	#lagging: {readonly position: LogPosition; readonly until: number} | undefined;
	/** Moving average of the fraction of statements for which the instance lagged behind. */
	#laggingRate = 0;
	#answeredAt: number | undefined;
	#failingSince: number | undefined;
	#failedAt = Number.NEGATIVE_INFINITY;
	/** Whether the last failure was a refused connection. */
	#isRefused = false;
	#backoffUntil = 0;
	/** Monotonic time before which no connection is opened, in milliseconds; open ones stay in use. */
	#openBackoffUntil = 0;
	/** Exponent of the backoff: rises with each overload and falls with each completed statement. */
	#overloadLevel = 0;
	/** Requests that were not answered yet, oldest first. */
	readonly #pendingRequests = new Set<PendingRequest>();
	#overload: {readonly reason: 'busy' | 'connection-limit'; readonly at: number} | undefined;

	/** @param random - Returns a random number in [0, 1). */
	constructor(readonly instance: Instance, private readonly log: EventLog, private readonly random: () => number) {}

	/** Monotonic time since which the instance cannot be reached or does not answer, in milliseconds; undefined while it works. */
	get failingSince(): number | undefined {
		return this.#failingSince;
	}

	/** Monotonic time of the last answer, in milliseconds; undefined before the first one. */
	get answeredAt(): number | undefined {
		return this.#answeredAt;
	}

	/** Records an answer of any kind. */
	recordAnswer(now: number): void {
		if (this.#failingSince !== undefined) {
			this.log.logEvent('instance.regained', {instance: this.instance.id, group: this.instance.group, failedMs: Math.round(now - this.#failingSince)});
		}

		this.#answeredAt = now;
		this.#failingSince = undefined;
		this.#isRefused = false;
	}

	/** Records the outcome and the latency of a statement. */
	recordOutcome(outcome: StatementOutcome, sentAt: number, now: number): void {
		if (outcome.kind === 'broken') {
			// A single closed connection does not show that the instance failed; a failure to open the next one does.
			if (outcome.reason === 'timeout') {
				this.recordFailure('silent', sentAt, now);
			}

			return;
		}

		this.recordAnswer(now);
		this.#position = outcome.position ?? this.#position;
		if (outcome.kind === 'completed') {
			this.#latencyMs += smoothingFactor * (now - sentAt - this.#latencyMs);
			this.#measuredAt = now;
			this.#laggingRate *= 1 - smoothingFactor;
			this.#overloadLevel = Math.max(0, this.#overloadLevel - 1);
		} else if (outcome.error === 'busy') {
			this.recordOverload('busy', now);
		} else if (outcome.error === 'not-primary') {
			this.#backoffUntil = Math.max(this.#backoffUntil, now + notPrimaryBackoffMs);
		}
	}

	/** Records that the instance had not reached a log position. */
	recordLagging(position: LogPosition, now: number): void {
		this.#lagging = {position, until: now + laggingBackoffMs};
		this.#laggingRate += smoothingFactor * (1 - this.#laggingRate);
	}

	/**
	 * Records that the instance could not be reached or did not answer.
	 * @param sentAt - Monotonic time at which the request was sent, in milliseconds.
	 */
	recordFailure(kind: 'refused' | 'silent', sentAt: number, now: number): void {
		// An answer to another request after this one was sent shows that the instance is not silent.
		if (kind === 'silent' && this.#answeredAt !== undefined && this.#answeredAt > sentAt) {
			return;
		}

		if (this.#failingSince === undefined) {
			this.#failingSince = kind === 'silent' ? sentAt : now;
			this.log.logEvent('instance.lost', {
				instance: this.instance.id, group: this.instance.group, how: kind, answeredAgoMs: this.#answeredAt === undefined ? undefined : Math.round(now - this.#answeredAt),
			});
		}

		this.#isRefused = kind === 'refused';
		this.#failedAt = now;
	}

	/** Records an overload: the backoff doubles while the overload lasts, with jitter so that VMs do not retry together. */
	recordOverload(reason: 'busy' | 'connection-limit', now: number): void {
		this.#overload = {reason, at: now};
		const backoffMs = Math.min(maxBackoffMs, minBackoffMs * (2 ** this.#overloadLevel));
		this.#overloadLevel = Math.min(this.#overloadLevel + 1, 8);
		const until = now + (backoffMs * (0.5 + this.random()));
		if (reason === 'connection-limit') {
			this.#openBackoffUntil = Math.max(this.#openBackoffUntil, until);
		} else {
			this.#backoffUntil = Math.max(this.#backoffUntil, until);
		}
	}

	/** Returns the reason of the last overload, undefined if there was none recently. */
	getOverloadReason(now: number): 'busy' | 'connection-limit' | undefined {
		return this.#overload !== undefined && now - this.#overload.at < overloadReportMs ? this.#overload.reason : undefined;
	}

	/** Records that a request was sent; it has to be removed when its outcome is known. */
	addPendingRequest(kind: PendingRequest['kind'], now: number): PendingRequest {
		const request = {kind, sentAt: now};
		this.#pendingRequests.add(request);
		return request;
	}

	/** Removes a request whose outcome is known. */
	removePendingRequest(request: PendingRequest): void {
		this.#pendingRequests.delete(request);
	}

	/** Returns the monotonic time since which the instance has answered nothing, in milliseconds; undefined while it answers. */
	getSilentSince(now: number): number | undefined {
		for (const {sentAt} of this.#pendingRequests) {
			if (this.#answeredAt === undefined || sentAt >= this.#answeredAt) {
				return now - sentAt >= silenceThresholdMs ? sentAt : undefined;
			}
		}

		return undefined;
	}

	/** Returns whether the instance is overloaded and a statement of this VM still waits for its answer. */
	isSaturated(): boolean {
		return this.#overloadLevel > 1 && [...this.#pendingRequests].some(({kind}) => kind === 'statement');
	}

	/** Returns whether a request may be sent to the instance now. */
	isUsable(now: number): boolean {
		return now >= this.#backoffUntil && (this.#failingSince === undefined || now >= this.#failedAt + failureBackoffMs);
	}

	/** Returns whether a connection may be opened now to an instance that is usable. */
	canOpen(now: number): boolean {
		return now >= this.#openBackoffUntil;
	}

	/** Returns the remaining time of the backoff after an overload, in milliseconds; zero if there is none or the instance fails. */
	getBackoffMs(now: number): number {
		return this.#failingSince === undefined ? Math.max(0, this.#backoffUntil - now) : 0;
	}

	/** Returns whether an answer of the instance has shown that it has reached a log position. */
	hasReached(position: LogPosition): boolean {
		return this.#position !== undefined && isAtLeast(this.#position, position);
	}

	/** Returns whether the instance has probably reached a log position. */
	isLikelyCaughtUp(position: LogPosition | undefined, now: number): boolean {
		if (position === undefined || this.hasReached(position)) {
			return true;
		}

		return this.#lagging === undefined || now >= this.#lagging.until || !isAtLeast(position, this.#lagging.position);
	}

	/**
	 * Estimates the latency of a statement, in milliseconds.
	 * @param inFlight - Statements of this VM in flight at the instance.
	 * @param now - Monotonic time, in milliseconds.
	 */
	estimateLatencyMs(inFlight: number, now: number): number {
		const idleMs = Math.max(0, now - this.#measuredAt);
		const weight = Number.isFinite(idleMs) ? 0.5 ** (idleMs / latencyHalfLifeMs) : 0;
		const latency = initialLatencyMs + ((this.#latencyMs - initialLatencyMs) * weight);
		return (latency * (1 + (inFlight / Math.max(1, this.instance.slots)))) + (this.#laggingRate * 2 * latency);
	}

	/** Creates the evidence of this VM on whether the instance has failed as primary. */
	createEvidence(vm: string, now: number): PrimaryEvidence {
		return {
			vm, instanceId: this.instance.id, answeredAt: this.#answeredAt, failingSince: this.#failingSince ?? this.getSilentSince(now), isRefused: this.#isRefused,
		};
	}
}
