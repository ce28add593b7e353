import {type ClockReading, PositionHistory, DualClockLease} from '@chicorysaddle/decisions';
import {type LogPosition} from '@chicorysaddle/model';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type Clock} from '../ports/index.js';

/** Who leads a group. `closing` means that its primary may no longer be used. */
export type GroupTerm = {
	readonly group: string;
	readonly term: number;
	readonly primaryId: string;
	readonly phase: 'open' | 'closing';
	/** Time for which writes that are under way may still end when the term closes, milliseconds. */
	readonly drainMs: number;
	/** Version of the row in the store; a higher one is newer. */
	readonly revision: number;
};

/** Time for which a confirmation that no term was closed holds, milliseconds: four heartbeats may be lost. */
export const termLeaseMs = 1500;

/** Time for which a statement waits for a lease that ended, milliseconds: a clock jump ends one until the next heartbeat. */
const leaseWaitTimeoutMs = 400;

/** Interval at which such a statement looks, milliseconds. */
const leasePollIntervalMs = 10;

/** Largest staleness for which positions are kept, milliseconds. */
const positionRetentionMs = 5000;

/** Knows who leads each group, and whether that may be relied on at this moment. */
export class TermRegistry {
	readonly #terms = new Map<string, GroupTerm>();
	readonly #closingSince = new Map<string, number>();
	readonly #positions = new Map<string, PositionHistory>();
	readonly #pendingWriteCounts = new Map<string, number>();
	readonly #drainedRevisions = new Map<string, number>();
	readonly #lease = new DualClockLease(termLeaseMs);
	readonly #changeListeners: Array<(term: GroupTerm) => void> = [];
	readonly #leaseRegainedListeners: Array<() => void> = [];
	#wasLeaseHeld = false;
	#leaseRenewedAt = Number.NEGATIVE_INFINITY;

	readonly #startedAt: number;

	constructor(private readonly clock: Clock, private readonly log: EventLog, private readonly metrics: GatewayMetrics) {
		this.#startedAt = clock.now();
	}

	onChanged(listener: (term: GroupTerm) => void): void {
		this.#changeListeners.push(listener);
	}

	/** Called whenever the lease was confirmed after it had ended. */
	onLeaseRegained(listener: () => void): void {
		this.#leaseRegainedListeners.push(listener);
	}

	getTerm(group: string): GroupTerm | undefined {
		return this.#terms.get(group);
	}

	getTerms(): GroupTerm[] {
		return [...this.#terms.values()];
	}

	/** Returns since when a group's term is closing, steady milliseconds. */
	getClosingSince(group: string): number | undefined {
		return this.#closingSince.get(group);
	}

	getClockReading(): ClockReading {
		return {monotonicMs: this.clock.now(), wallMs: this.clock.getWallTime()};
	}

	isLeaseHeld(): boolean {
		return this.#lease.isHeld(this.getClockReading());
	}

	/** Logs once that the lease ran out. */
	logLeaseLoss(): void {
		const isHeld = this.isLeaseHeld();
		if (this.#wasLeaseHeld && !isHeld) {
			this.log.logEvent('term-lease.lost', {ageMs: Math.round(this.clock.now() - this.#leaseRenewedAt)});
		}

		this.#wasLeaseHeld = isHeld;
	}

	/** Returns for how long the lease has not been held, milliseconds; from the start of the process where it never was. */
	getMsWithoutLease(): number {
		return this.isLeaseHeld() ? 0 : Math.max(0, this.clock.now() - Math.max(this.#startedAt, this.#leaseRenewedAt + termLeaseMs));
	}

	getLeaseRemainingMs(): number {
		return this.#lease.getRemainingMs(this.getClockReading());
	}

	/**
	 * Takes in that the terms known here were the newest ones at a moment.
	 * @param at - Moment at which that was asked for.
	 */
	renewLease(at: ClockReading): void {
		const wasHeld = this.isLeaseHeld();
		this.#lease.renew(at);
		this.#leaseRenewedAt = Math.max(this.#leaseRenewedAt, at.monotonicMs);
		if (!wasHeld && this.isLeaseHeld()) {
			this.log.logEvent('term-lease.taken', {ageMs: Math.round(this.clock.now() - at.monotonicMs)});
			for (const listener of this.#leaseRegainedListeners) {
				listener();
			}
		}
	}

	/** Takes in a group's term, unless a newer one is known. */
	applyTerm(term: GroupTerm): void {
		const known = this.#terms.get(term.group);
		if (known !== undefined && term.revision <= known.revision) {
			return;
		}

		this.#terms.set(term.group, term);
		if (term.phase === 'closing') {
			this.#closingSince.set(term.group, this.#closingSince.get(term.group) ?? this.clock.now());
		} else {
			this.#closingSince.delete(term.group);
		}

		if (known?.term !== term.term) {
			this.#positions.get(term.group)?.clear();
		}

		this.metrics.addCount(`term_${term.phase}`);
		this.log.logEvent('term.adopted', {
			group: term.group, term: term.term, primary: term.primaryId, phase: term.phase, revision: term.revision, before: known?.revision,
		});
		for (const listener of this.#changeListeners) {
			listener(term);
		}
	}

	/** Takes in that a write or a commit is sent to a group's primary. */
	beginWrite(group: string): void {
		this.#pendingWriteCounts.set(group, (this.#pendingWriteCounts.get(group) ?? 0) + 1);
	}

	/** Takes in that a write or a commit has its outcome. */
	endWrite(group: string): void {
		this.#pendingWriteCounts.set(group, (this.#pendingWriteCounts.get(group) ?? 0) - 1);
	}

	/** Says whether this VM no longer acts by the former term of a group that is closing. */
	isDrained(group: string): boolean {
		const term = this.#terms.get(group);
		const closedSince = this.#closingSince.get(group);
		return term === undefined || closedSince === undefined || (this.#pendingWriteCounts.get(group) ?? 0) === 0 || this.clock.now() >= closedSince + term.drainMs;
	}

	/** Returns the newest revision of a group's term by which this VM acts wholly. */
	getDrainedRevision(group: string): number {
		const term = this.#terms.get(group);
		if (term === undefined || this.isDrained(group)) {
			this.#drainedRevisions.set(group, term?.revision ?? 0);
		}

		return this.#drainedRevisions.get(group) ?? 0;
	}

	/**
	 * Waits until it is certain that a write which a primary acknowledged is not lost to a successor.
	 * @returns False when a successor may have been promoted before the write.
	 */
	async waitUntilWriteIsSafe(group: string, instanceId: string): Promise<boolean> {
		const term = this.#terms.get(group);
		const isDraining = term?.phase === 'closing' && term.primaryId === instanceId && this.getDrainedRevision(group) < term.revision;
		return (isDraining && this.isLeaseHeld()) || this.waitUntilPrimaryIsUsable(group, instanceId);
	}

	/** Returns the instance that leads a group, if that is certain now. */
	getUsablePrimary(group: string): string | undefined {
		const term = this.#terms.get(group);
		return term?.phase === 'open' && this.isLeaseHeld() ? term.primaryId : undefined;
	}

	/** Says whether an instance may be used as a group's primary now. */
	isUsablePrimary(group: string, instanceId: string): boolean {
		return this.getUsablePrimary(group) === instanceId;
	}

	/**
	 * Waits until an instance may be used as a group's primary.
	 * @returns False when it leads no more, or the lease was not regained in time.
	 */
	async waitUntilPrimaryIsUsable(group: string, instanceId: string): Promise<boolean> {
		const deadline = this.clock.now() + leaseWaitTimeoutMs;
		for (;;) {
			const term = this.#terms.get(group);
			if (term?.phase !== 'open' || term.primaryId !== instanceId) {
				return false;
			}

			if (this.isLeaseHeld()) {
				return true;
			}

			if (this.clock.now() >= deadline) {
				return false;
			}

			await new Promise(resolve => {
				setTimeout(resolve, leasePollIntervalMs);
			});
		}
	}

	/**
	 * Takes in a primary's position.
	 * @param observedAt - Steady time at which the statement was sent, under a lease.
	 */
	recordPosition(group: string, position: LogPosition, observedAt: number): void {
		if (position.term !== this.#terms.get(group)?.term) {
			return;
		}

		this.#getPositions(group).addSample({observedAt, position}, this.clock.now());
	}

	/** Returns the lowest position that covers every commit acknowledged before a time. */
	getPositionCovering(group: string, time: number): LogPosition | undefined {
		return this.#positions.get(group)?.getPositionCovering(time);
	}

	/** Returns a group's newest known position with its age. */
	getNewestPosition(group: string): {readonly position: LogPosition; readonly ageMs: number} | undefined {
		const sample = this.#positions.get(group)?.getNewestSample();
		return sample === undefined ? undefined : {position: sample.position, ageMs: this.clock.now() - sample.observedAt};
	}

	#getPositions(group: string): PositionHistory {
		let log = this.#positions.get(group);
		if (log === undefined) {
			log = new PositionHistory(positionRetentionMs);
			this.#positions.set(group, log);
		}

		return log;
	}
}
