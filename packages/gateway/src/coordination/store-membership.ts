import {type ClockReading} from '@chicorysaddle/decisions';
import {type EventLog} from '../observability/index.js';
import {
	type AdjustableSettingsSource, type Clock, type CoordinationStore, getEra,
} from '../ports/index.js';
import {type BackgroundTasks} from '../tasks/index.js';
import {type TermRegistry} from '../terms/index.js';
import {type CoordinatorLease} from './coordinator-lease.js';
import {type GatewayIdentity} from './gateway-identity.js';
import {
	createMemberWrite, createUnreadableTerms, getMemberKey, parseSharedRows, type SharedState,
} from './shared-rows.js';

/** Interval between reads while this VM has no term lease, in milliseconds. */
const pollIntervalMs = 400;

/** Interval between reads while this VM has a term lease, in milliseconds: after a lost answer, the next one still arrives in time to renew it. */
const leasedPollIntervalMs = 600;

/** Interval between reads while the store does not answer, in milliseconds; equals the timeout of a call. */
const unavailablePollIntervalMs = 800;

/** Maximum time after the start for which this VM waits for the coordinator to answer before it registers itself and reads on, in milliseconds. */
const maxStartupWaitMs = 600;

/** Part of that time for each registered VM, in milliseconds: where few VMs register themselves, the store takes no longer for all of them than the coordinator needs to answer. */
const startupWaitPerVmMs = 3;

/** Maximum delay before a VM acquires a vacant lease, in milliseconds: for a VM without any capacity; one at full capacity does not wait. */
const maxElectionDelayMs = 1000;

/** Additional delay before a VM whose duties as the coordinator failed acquires a vacant lease, in milliseconds: the others have learned of the vacancy by then. */
const deferredElectionDelayMs = 3000;

/** Timeout of a call to the store, in milliseconds. */
const callTimeoutMs = 800;

/** Dependencies of a `StoreMembership`. */
export type StoreMembershipDependencies = {
	readonly identity: GatewayIdentity;
	readonly coordinatorLease: CoordinatorLease;
	readonly terms: TermRegistry;
	readonly store: CoordinationStore;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly getSettings: AdjustableSettingsSource;
	readonly tasks: BackgroundTasks;
};

/** Handlers of what a `StoreMembership` learns. */
export type StoreMembershipHandlers = {
	/** Called with each state that was read, after its terms were applied. */
	readonly onRead: (state: SharedState, at: ClockReading) => void;
	/** Called when a read that began at a time failed. */
	readonly onReadFailed: (at: ClockReading) => void;
	/** Called when this VM has acquired the coordinator lease. */
	readonly onLeaseAcquired: (state: SharedState) => void;
};

/** Membership of this VM according to the store: reads the shared rows while no coordinator answers, registers the VM, renews its term lease and acquires a vacant coordinator lease. */
export class StoreMembership {
	readonly #startedAt: number;
	/** Time after the start for which this VM waits for the coordinator to answer, in milliseconds; the longest until the first read shows how many VMs there are. */
	#startupWaitMs = maxStartupWaitMs;
	/** Version of the row of this process, as of the last read; undefined if there is none. */
	#registeredVersion: number | undefined;
	#polledAt = Number.NEGATIVE_INFINITY;
	#pollDelayMs = 0;
	#isPolling = false;
	#isStoreUnavailable = false;
	#isLeaving = false;
	/** Monotonic time since which the lease has been vacant, in milliseconds; undefined while it is held. */
	#vacantSince: number | undefined;
	/** Monotonic time before which this VM does not acquire the lease, in milliseconds. */
	#ineligibleUntil = 0;

	/** Monotonic time before which this VM acquires the lease only if no other VM does, in milliseconds. */
	#deferredUntil = Number.NEGATIVE_INFINITY;

	constructor(private readonly dependencies: StoreMembershipDependencies, private readonly handlers: StoreMembershipHandlers) {
		this.#startedAt = dependencies.clock.now();
	}

	/** Whether this VM no longer waits for the coordinator to answer after the start. */
	get isStartupOver(): boolean {
		return this.dependencies.clock.now() - this.#startedAt >= this.#startupWaitMs;
	}

	/** Reads the rows if that is due; the first time also when a coordinator may answer. */
	pollIfDue(isCoordinatorSilent: boolean): void {
		if (!isCoordinatorSilent && this.#isDeferred()) {
			// A vacancy that this VM has seen before has ended.
			this.#vacantSince = undefined;
		}

		const isFirstPoll = this.#polledAt === Number.NEGATIVE_INFINITY;
		if ((isCoordinatorSilent || isFirstPoll) && !this.#isPolling && this.dependencies.clock.now() - this.#polledAt > this.#pollDelayMs) {
			this.dependencies.tasks.run('shared rows', async () => this.#poll());
		}
	}

	/** Keeps this VM from acquiring the lease for a while. */
	suspendCandidacy(durationMs: number): void {
		this.#ineligibleUntil = this.dependencies.clock.now() + durationMs;
	}

	/** Lets this VM acquire the lease only if no other VM does, for a while. */
	setDeferred(durationMs: number): void {
		this.#deferredUntil = this.dependencies.clock.now() + durationMs;
		this.#vacantSince = undefined;
	}

	/** Keeps this VM from acquiring the lease for good. */
	beginLeaving(): void {
		this.#isLeaving = true;
	}

	/**
	 * Reads the rows after an offer of the coordinator role.
	 * @returns The state; undefined if the store does not answer, or this VM is not registered, is leaving or leaves the role to others.
	 */
	async readForOffer(timeoutMs: number): Promise<SharedState | undefined> {
		const result = await this.dependencies.store.readSharedRows(timeoutMs);
		if (result.kind === 'failed' || this.#isLeaving || this.#isDeferred()) {
			return undefined;
		}

		const state = parseSharedRows(result.value, this.dependencies.log);
		this.#recordRegistration(state);
		return this.#registeredVersion === undefined ? undefined : state;
	}

	/** Applies the terms of a state and renews the term lease if the state may be relied on. */
	applyTerms(state: SharedState, at: ClockReading): void {
		const {terms, store} = this.dependencies;
		for (const {promotion, ...term} of state.terms.values()) {
			terms.applyTerm(term);
		}

		for (const term of createUnreadableTerms(state, terms.getTerms())) {
			terms.applyTerm(term);
		}

		// Of terms from an older copy of the store, later ones may have been lost.
		const areTermsCurrent = state.restoredTerms.size === 0 && terms.getTerms().every(({revision}) => getEra(revision) === store.era);
		// Only a registered VM may rely on the terms that it read, since the closing of a term waits for no others.
		if (this.#registeredVersion !== undefined && areTermsCurrent) {
			terms.renewLease(at);
		}
	}

	/** Removes the row of this VM, so that no VM waits for it. */
	async removeRow(): Promise<void> {
		const {store, identity, log} = this.dependencies;
		if (this.#registeredVersion === undefined) {
			const result = await store.readSharedRows(callTimeoutMs);
			if (result.kind === 'ok') {
				this.#recordRegistration(parseSharedRows(result.value, log));
			}
		}

		if (this.#registeredVersion !== undefined) {
			await store.writeSharedRows([{key: getMemberKey(identity.vm), expectedVersion: this.#registeredVersion, value: undefined}], callTimeoutMs);
		}
	}

	async #poll(): Promise<void> {
		const {terms, store, log} = this.dependencies;
		this.#isPolling = true;
		this.#polledAt = this.dependencies.clock.now();
		// Also holds after an error.
		this.#pollDelayMs = unavailablePollIntervalMs;
		try {
			let at = terms.getClockReading();
			let result = await store.readSharedRows(callTimeoutMs);
			if (result.kind === 'ok' && await this.#registerIfDue(parseSharedRows(result.value, log))) {
				// Only what was read after the registration may be relied on.
				at = terms.getClockReading();
				result = await store.readSharedRows(callTimeoutMs);
			}

			if (result.kind === 'ok') {
				await this.#applyState(parseSharedRows(result.value, log), at);
				this.#pollDelayMs = this.#getNextPollDelayMs();
			} else {
				this.handlers.onReadFailed(at);
			}

			this.#recordStoreAvailability(result.kind === 'ok', result.kind === 'ok' ? '' : `${result.failure.reason}: ${result.failure.message}`);
		} finally {
			this.#isPolling = false;
		}
	}

	async #applyState(state: SharedState, at: ClockReading): Promise<void> {
		const {coordinatorLease} = this.dependencies;
		this.#recordRegistration(state);
		this.applyTerms(state, at);
		this.#vacantSince = coordinatorLease.isVacant(state.coordinator, state.unreadable.coordinator) ? this.#vacantSince : undefined;
		if (state.coordinator !== undefined) {
			coordinatorLease.resume(state.coordinator);
		}

		this.handlers.onRead(state, at);
		if (this.#registeredVersion !== undefined && this.#canAcquireLease(state) && await coordinatorLease.tryAcquire(state.coordinator, state.unreadable.coordinator)) {
			this.handlers.onLeaseAcquired(state);
		}
	}

	/** Registers this VM if its row is missing, unless the coordinator may still answer and do it; returns whether it wrote the row. */
	async #registerIfDue(state: SharedState): Promise<boolean> {
		const {members, coordinator} = state;
		const {identity: {vm, peerAddress, zone, incarnation}, store, log} = this.dependencies;
		// Without a coordinator's row all VMs are starting for the first time.
		this.#startupWaitMs = coordinator === undefined ? maxStartupWaitMs : Math.min(this.#startupWaitMs, members.size * startupWaitPerVmMs);
		const row = members.get(vm);
		if (row?.incarnation === incarnation || !(this.isStartupOver || this.#canAcquireLease(state))) {
			return false;
		}

		const written = await store.writeSharedRows([createMemberWrite(vm, {address: peerAddress, zone, incarnation}, row?.version ?? state.unreadable.members.get(vm) ?? 0)], callTimeoutMs);
		if (written.kind === 'failed' || !written.value.isApplied) {
			return false;
		}

		log.logEvent('member.registered', {version: written.value.version});
		return true;
	}

	/** Records whether the store lists the process of this VM. */
	#recordRegistration({members}: SharedState): void {
		const {vm, incarnation} = this.dependencies.identity;
		const row = members.get(vm);
		this.#registeredVersion = row?.incarnation === incarnation ? row.version : undefined;
	}

	#canAcquireLease({coordinator: row, unreadable}: SharedState): boolean {
		const {coordinatorLease, clock} = this.dependencies;
		return !this.#isLeaving && clock.now() >= this.#ineligibleUntil && !coordinatorLease.isHeld() && coordinatorLease.isVacant(row, unreadable.coordinator) && (coordinatorLease.isHeldByPredecessor(row) || this.#hasElectionDelayPassed());
	}

	/** Returns whether this VM has waited long enough to acquire the vacant lease; VMs with more capacity wait less, since the coordinator serves all others. */
	#hasElectionDelayPassed(): boolean {
		const now = this.dependencies.clock.now();
		this.#vacantSince ??= now;
		return now - this.#vacantSince >= ((1 - this.dependencies.getSettings().capacity) * maxElectionDelayMs) + (this.#isDeferred() ? deferredElectionDelayMs : 0);
	}

	#isDeferred(): boolean {
		return this.dependencies.clock.now() < this.#deferredUntil;
	}

	/** Returns the time until the next read, if no coordinator answers, in milliseconds. */
	#getNextPollDelayMs(): number {
		if (this.dependencies.terms.isLeaseHeld()) {
			return leasedPollIntervalMs;
		}

		const remainingWaitMs = this.#startedAt + this.#startupWaitMs - this.dependencies.clock.now();
		return remainingWaitMs > 0 ? remainingWaitMs : pollIntervalMs;
	}

	/** Logs when the store becomes unavailable or available again. */
	#recordStoreAvailability(isAvailable: boolean, reason: string): void {
		if (this.#isStoreUnavailable === isAvailable) {
			this.#isStoreUnavailable = !isAvailable;
			this.dependencies.log.logEvent(isAvailable ? 'store.regained' : 'store.lost', {call: 'shared rows', why: reason});
		}
	}
}
