import {type PrimaryEvidence} from '@chicorysaddle/decisions';
import {isAtLeast, type LogPosition} from '@chicorysaddle/model';
import {type Instance} from '../instances/index.js';
import {type EventLog} from '../observability/index.js';
import {type StatementOutcome} from '../statements/index.js';

/** Service time that is assumed of an instance before one was measured, milliseconds. */
const initialLatencyMs = 10;

/** Weight of the newest measurement in the averages. */
const smoothingFactor = 0.1;

/** Time of no use in which half of what was learnt of an instance's speed is forgotten, milliseconds. */
const latencyHalfLifeMs = 2000;

/** Time for which a replica that lacked a position is not asked for it again, milliseconds. */
const laggingBackoffMs = 150;

/** Time between two attempts at an instance that cannot be reached, milliseconds. */
const failureBackoffMs = 150;

/** Time for which an instance is left alone that says it does not lead, milliseconds: the spread of a new term. */
const notPrimaryBackoffMs = 50;

/** Shortest pause after an instance had no room, milliseconds: about a service time. */
const minBackoffMs = 15;

/** Longest such pause, milliseconds: all VMs together then ask no more often than an instance of a few slots serves. */
const maxBackoffMs = 480;

/** Time for which a want of room is told in the log, milliseconds: longer than the longest pause. */
const overloadReportMs = 1000;

/** Time without any answer after which an instance is doubted, milliseconds: longer than a full queue before it takes. */
const silenceThresholdMs = 300;

/** Something that an instance was asked. */
export type PendingRequest = {
	readonly kind: 'statement' | 'connection';
	/** Steady time in milliseconds. */
	readonly at: number;
};

/** What this VM has learnt of one instance. */
export class InstanceTracker {
	#latencyMs = initialLatencyMs;
	#measuredAt = Number.NEGATIVE_INFINITY;
	#position: LogPosition | undefined;
	#lagging: {readonly position: LogPosition; readonly until: number} | undefined;
	#laggingRate = 0;
	#answeredAt: number | undefined;
	#failingSince: number | undefined;
	#failedAt = Number.NEGATIVE_INFINITY;
	#isRefused = false;
	#backoffUntil = 0;
	#overloadLevel = 0;
	/** Questions without an answer yet, the oldest first. */
	readonly #pendingRequests = new Set<PendingRequest>();
	#overload: {readonly reason: 'busy' | 'connection-limit'; readonly at: number} | undefined;

	/** @param random - Returns numbers from zero up to one. */
	constructor(readonly instance: Instance, private readonly log: EventLog, private readonly random: () => number) {}

	get failingSince(): number | undefined {
		return this.#failingSince;
	}

	get answeredAt(): number | undefined {
		return this.#answeredAt;
	}

	/** Takes in any answer. */
	observeAnswer(now: number): void {
		if (this.#failingSince !== undefined) {
			this.log.logEvent('instance.regained', {instance: this.instance.id, group: this.instance.group, failedMs: Math.round(now - this.#failingSince)});
		}

		this.#answeredAt = now;
		this.#failingSince = undefined;
		this.#isRefused = false;
	}

	/** Takes in a statement's outcome and the time that it took. */
	observeOutcome(outcome: StatementOutcome, sentAt: number, now: number): void {
		if (outcome.kind === 'broken') {
			// One connection that was closed tells nothing of the instance: the next one does.
			if (outcome.reason === 'timeout') {
				this.observeFailure('silent', sentAt, now);
			}

			return;
		}

		this.observeAnswer(now);
		this.#position = outcome.position ?? this.#position;
		if (outcome.kind === 'completed') {
			this.#latencyMs += smoothingFactor * (now - sentAt - this.#latencyMs);
			this.#measuredAt = now;
			this.#laggingRate *= 1 - smoothingFactor;
			this.#overloadLevel = Math.max(0, this.#overloadLevel - 1);
		} else if (outcome.error === 'busy') {
			this.observeOverload('busy', now);
		} else if (outcome.error === 'not-primary') {
			this.#backoffUntil = Math.max(this.#backoffUntil, now + notPrimaryBackoffMs);
		}
	}

	/** Takes in that the instance lacked a position. */
	observeLagging(position: LogPosition, now: number): void {
		this.#lagging = {position, until: now + laggingBackoffMs};
		this.#laggingRate += smoothingFactor * (1 - this.#laggingRate);
	}

	/**
	 * Takes in that the instance could not be reached or did not answer.
	 * @param since - Time at which it was asked.
	 */
	observeFailure(kind: 'refused' | 'silent', since: number, now: number): void {
		// Whatever was answered after the question was asked speaks against silence.
		if (kind === 'silent' && this.#answeredAt !== undefined && this.#answeredAt > since) {
			return;
		}

		if (this.#failingSince === undefined) {
			this.#failingSince = kind === 'silent' ? since : now;
			this.log.logEvent('instance.lost', {
				instance: this.instance.id, group: this.instance.group, how: kind, answeredAgoMs: this.#answeredAt === undefined ? undefined : Math.round(now - this.#answeredAt),
			});
		}

		this.#isRefused = kind === 'refused';
		this.#failedAt = now;
	}

	/** Takes in that the instance had no room: pauses double while that goes on, and differ between VMs. */
	observeOverload(reason: 'busy' | 'connection-limit', now: number): void {
		this.#overload = {reason, at: now};
		const pauseMs = Math.min(maxBackoffMs, minBackoffMs * (2 ** this.#overloadLevel));
		this.#overloadLevel = Math.min(this.#overloadLevel + 1, 8);
		this.#backoffUntil = Math.max(this.#backoffUntil, now + (pauseMs * (0.5 + this.random())));
	}

	/** Returns why the instance lately had no room. */
	getOverloadReason(now: number): 'busy' | 'connection-limit' | undefined {
		return this.#overload !== undefined && now - this.#overload.at < overloadReportMs ? this.#overload.reason : undefined;
	}

	/** Takes in that the instance is asked something; the question is to be ended when there is an outcome. */
	addPendingRequest(kind: PendingRequest['kind'], now: number): PendingRequest {
		const question = {kind, at: now};
		this.#pendingRequests.add(question);
		return question;
	}

	removePendingRequest(question: PendingRequest): void {
		this.#pendingRequests.delete(question);
	}

	/** Returns since when the instance has left this VM without any answer, steady milliseconds; undefined while it answers. */
	getSilentSince(now: number): number | undefined {
		for (const {at} of this.#pendingRequests) {
			if (this.#answeredAt === undefined || at >= this.#answeredAt) {
				return now - at >= silenceThresholdMs ? at : undefined;
			}
		}

		return undefined;
	}

	/** Says whether the instance had no room lately, and has a statement of this VM to answer first. */
	isSaturated(): boolean {
		return this.#overloadLevel > 1 && [...this.#pendingRequests].some(({kind}) => kind === 'statement');
	}

	/** Says whether the instance may be tried now. */
	isUsable(now: number): boolean {
		return now >= this.#backoffUntil && (this.#failingSince === undefined || now >= this.#failedAt + failureBackoffMs);
	}

	/** Says whether the instance is likely to hold a position. */
	isLikelyCaughtUp(since: LogPosition | undefined, now: number): boolean {
		if (since === undefined || (this.#position !== undefined && isAtLeast(this.#position, since))) {
			return true;
		}

		return this.#lagging === undefined || now >= this.#lagging.until || !isAtLeast(since, this.#lagging.position);
	}

	/**
	 * Estimates how long a statement takes here.
	 * @param inFlight - Statements of this VM at the instance.
	 * @param now - Steady time in milliseconds.
	 */
	estimateLatencyMs(inFlight: number, now: number): number {
		const idleMs = Math.max(0, now - this.#measuredAt);
		const kept = Number.isFinite(idleMs) ? 0.5 ** (idleMs / latencyHalfLifeMs) : 0;
		const latency = initialLatencyMs + ((this.#latencyMs - initialLatencyMs) * kept);
		return (latency * (1 + (inFlight / Math.max(1, this.instance.slots)))) + (this.#laggingRate * 2 * latency);
	}

	createEvidence(vm: string, now: number): PrimaryEvidence {
		return {
			vm, instanceId: this.instance.id, answeredAt: this.#answeredAt, failingSince: this.#failingSince ?? this.getSilentSince(now), isRefused: this.#isRefused,
		};
	}
}
