import {
	type ClockReading, PositionHistory, DualClockLease, SuspensionDetector,
} from '@chicorysaddle/decisions';
import {type LogPosition} from '@chicorysaddle/model';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type Clock} from '../ports/index.js';
import {WriteRates} from './write-rates.js';

/** An order of a promotion of which no answer is known. */
export type PendingOrder = {
	readonly instanceId: string;
	/** Last known address of the instance, empty if none is known. */
	readonly address: string;
};

/** Term of a group and its primary; in phase `closing`, no new statement may use the primary. */
export type GroupTerm = {
	readonly group: string;
	/** Number of the term; a promotion increases it. */
	readonly term: number;
	readonly primaryId: string;
	readonly phase: 'open' | 'closing';
	/** How long pending writes may still complete once the term closes, in milliseconds. */
	readonly drainMs: number;
	/** Version of the row in the store; higher is newer. */
	readonly revision: number;
	/** Orders of promotions without a known answer, which may still take effect; absent if there are none. */
	readonly pendingOrders?: readonly PendingOrder[] | undefined;
};

/** Duration of the term lease, in milliseconds: almost four heartbeat intervals. While a VM holds it, no term that the VM knows has been replaced. */
export const termLeaseMs = 1500;

/** Maximum time for which a statement waits until a lost lease is regained, in milliseconds: a clock jump ends the lease until the next heartbeat. */
const leaseWaitTimeoutMs = 400;

/** Interval at which a waiting statement checks the lease, in milliseconds. */
const leasePollIntervalMs = 10;

/** Maximum age of the positions that are kept, in milliseconds. */
const positionRetentionMs = 5000;

/** Tracks the term of each group, and the lease under which this VM may rely on the known terms. */
export class TermRegistry {
	readonly writeRates = new WriteRates();
	readonly #terms = new Map<string, GroupTerm>();
	readonly #closingSince = new Map<string, number>();
	readonly #positions = new Map<string, PositionHistory>();
	readonly #pendingWriteCounts = new Map<string, number>();
	readonly #drainedRevisions = new Map<string, number>();
	readonly #lease = new DualClockLease(termLeaseMs);
	readonly #changeListeners: Array<(term: GroupTerm) => void> = [];
	readonly #leaseAcquiredListeners: Array<() => void> = [];
	readonly #suspensionDetector = new SuspensionDetector();
	/** Monotonic time from which the ages of observations are known, in milliseconds: the end of the last suspension of this VM. */
	#agesKnownFrom = Number.NEGATIVE_INFINITY;
	#wasLeaseHeld = false;
	#leaseRenewedAt = Number.NEGATIVE_INFINITY;

	readonly #startedAt: number;

	constructor(private readonly clock: Clock, private readonly log: EventLog, private readonly metrics: GatewayMetrics) {
		this.#startedAt = clock.now();
	}

	/** Adds a listener that is called with each term that is applied. */
	onChanged(listener: (term: GroupTerm) => void): void {
		this.#changeListeners.push(listener);
	}

	/** Adds a listener that is called whenever the lease is acquired, at first or again after it had ended. */
	onLeaseAcquired(listener: () => void): void {
		this.#leaseAcquiredListeners.push(listener);
	}

	/** Returns the newest known term of a group, undefined if none is known. */
	getTerm(group: string): GroupTerm | undefined {
		return this.#terms.get(group);
	}

	/** Returns the newest known term of every group. */
	getTerms(): GroupTerm[] {
		return [...this.#terms.values()];
	}

	/** Returns the monotonic time at which a group's term began to close, in milliseconds; undefined if it is open. */
	getClosingSince(group: string): number | undefined {
		return this.#closingSince.get(group);
	}

	/** Returns the current time of both clocks. */
	getClockReading(): ClockReading {
		return {monotonicMs: this.clock.now(), wallMs: this.clock.getWallTime()};
	}

	/** Returns whether this VM holds the term lease now. */
	isLeaseHeld(): boolean {
		return this.#lease.isHeld(this.getClockReading());
	}

	/** Logs that the lease has ended, if it was held at the previous call. */
	logLeaseLoss(): void {
		const isHeld = this.isLeaseHeld();
		if (this.#wasLeaseHeld && !isHeld) {
			this.log.logEvent('term-lease.lost', {ageMs: Math.round(this.clock.now() - this.#leaseRenewedAt)});
		}

		this.#wasLeaseHeld = isHeld;
	}

	/** Returns the time for which the lease has not been held, in milliseconds; 0 while it is held, the age of this registry if it never was. */
	getMsWithoutLease(): number {
		return this.isLeaseHeld() ? 0 : Math.max(0, this.clock.now() - Math.max(this.#startedAt, this.#leaseRenewedAt + termLeaseMs));
	}

	/** Returns the remaining time of the lease, in milliseconds; 0 if it is not held. */
	getLeaseRemainingMs(): number {
		return this.#lease.getRemainingMs(this.getClockReading());
	}

	/**
	 * Renews the lease, after a confirmation that the known terms are the newest ones.
	 * @param at - Time at which the confirmation was requested.
	 */
	renewLease(at: ClockReading): void {
		const wasHeld = this.isLeaseHeld();
		this.#lease.renew(at);
		this.#leaseRenewedAt = Math.max(this.#leaseRenewedAt, at.monotonicMs);
		if (!wasHeld && this.isLeaseHeld()) {
			this.log.logEvent('term-lease.taken', {ageMs: Math.round(this.clock.now() - at.monotonicMs)});
			for (const listener of this.#leaseAcquiredListeners) {
				listener();
			}
		}
	}

	/** Applies a group's term if it is newer than the known one. */
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

	/**
	 * Counts a write or a commit that is sent to a group's primary as pending.
	 * @param isForwarded - Whether another VM forwarded it, which counts it in the write rates of its own region.
	 */
	beginWrite(group: string, isForwarded = false): void {
		if (!isForwarded) {
			this.writeRates.recordWrite(group, this.clock.now());
		}

		this.#pendingWriteCounts.set(group, (this.#pendingWriteCounts.get(group) ?? 0) + 1);
	}

	/** Counts a write or a commit as done, once its outcome is known. */
	endWrite(group: string): void {
		this.#pendingWriteCounts.set(group, (this.#pendingWriteCounts.get(group) ?? 0) - 1);
	}

	/** Returns whether this VM has stopped writing under a group's closing term: its pending writes are done, or the drain time has passed; true if no term is closing. */
	isDrained(group: string): boolean {
		const term = this.#terms.get(group);
		const closingSince = this.#closingSince.get(group);
		return term === undefined || closingSince === undefined || (this.#pendingWriteCounts.get(group) ?? 0) === 0 || this.clock.now() >= closingSince + term.drainMs;
	}

	/** Returns the newest revision of a group's term at which this VM had drained its writes, 0 if there is none. */
	getDrainedRevision(group: string): number {
		const term = this.#terms.get(group);
		if (term === undefined || this.isDrained(group)) {
			this.#drainedRevisions.set(group, term?.revision ?? 0);
		}

		return this.#drainedRevisions.get(group) ?? 0;
	}

	/**
	 * Waits until a write that the primary acknowledged cannot be missing from a successor.
	 * @returns Whether that is certain; false if a successor may have been promoted without the write.
	 */
	async waitUntilWriteIsSafe(group: string, instanceId: string): Promise<boolean> {
		const term = this.#terms.get(group);
		const isDraining = term?.phase === 'closing' && term.primaryId === instanceId && this.getDrainedRevision(group) < term.revision;
		return (isDraining && this.isLeaseHeld()) || this.waitUntilPrimaryIsUsable(group, instanceId);
	}

	/** Returns the id of a group's primary; undefined unless the term is open and the lease is held. */
	getUsablePrimary(group: string): string | undefined {
		const term = this.#terms.get(group);
		return term?.phase === 'open' && this.isLeaseHeld() ? term.primaryId : undefined;
	}

	/** Returns whether an instance may be used as a group's primary now. */
	isUsablePrimary(group: string, instanceId: string): boolean {
		return this.getUsablePrimary(group) === instanceId;
	}

	/**
	 * Waits until an instance may be used as a group's primary.
	 * @returns Whether it may; false if it is no longer the primary, or the lease was not regained in time.
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
	 * Records the log position of a group's primary; ignores a position of another term, or from before the last suspension of this VM.
	 * @param observedAt - Monotonic time at which the statement was sent under a held lease, in milliseconds.
	 */
	recordPosition(group: string, position: LogPosition, observedAt: number): void {
		this.#clearPositionsAfterSuspension();
		if (position.term !== this.#terms.get(group)?.term || observedAt < this.#agesKnownFrom) {
			return;
		}

		this.#getPositions(group).addSample({observedAt, position}, this.clock.now());
	}

	/**
	 * Returns the lowest known position of a group that covers every commit acknowledged before a given time, undefined if none is known.
	 * @param time - Monotonic time, in milliseconds.
	 */
	getPositionCovering(group: string, time: number): LogPosition | undefined {
		this.#clearPositionsAfterSuspension();
		return this.#positions.get(group)?.getPositionCovering(time);
	}

	/** Returns a group's newest known position and its age, undefined if none is known. */
	getNewestPosition(group: string): {readonly position: LogPosition; readonly ageMs: number} | undefined {
		this.#clearPositionsAfterSuspension();
		const sample = this.#positions.get(group)?.getNewestSample();
		return sample === undefined ? undefined : {position: sample.position, ageMs: this.clock.now() - sample.observedAt};
	}

	/** Removes all positions if this VM was suspended: they are older than the monotonic clock shows. */
	#clearPositionsAfterSuspension(): void {
		const reading = this.getClockReading();
		if (this.#suspensionDetector.checkSuspension(reading)) {
			this.#agesKnownFrom = reading.monotonicMs;
			this.#positions.clear();
			this.metrics.addCount('suspensions');
		}
	}

	#getPositions(group: string): PositionHistory {
		let history = this.#positions.get(group);
		if (history === undefined) {
			history = new PositionHistory(positionRetentionMs);
			this.#positions.set(group, history);
		}

		return history;
	}
}
