import {DualClockLease, type ClockReading} from '@chicorysaddle/decisions';
import {type EventLog} from '../observability/index.js';
import {type Clock, type CoordinationStore, type SharedRowWrite} from '../ports/index.js';
import {type GatewayIdentity} from './gateway-identity.js';
import {coordinatorKey, type CoordinatorRow, parseSharedRows} from './shared-rows.js';

/** Time after its last renewal for which the holder may act, milliseconds: a store that is away for that long stops nothing. */
const leaseMs = 6000;

/** Time by which another VM waits longer than the holder acts, milliseconds. */
const takeOverMarginMs = 500;

/** Interval of renewals, milliseconds. */
const renewalIntervalMs = 1000;

/** Holder of a duty that was given up. */
const vacantHolder = '';

/** Pause before a renewal that failed is tried again, milliseconds. */
const renewalRetryMs = 250;

/** Time for a call to the store, milliseconds. */
const callTimeoutMs = 800;

/** Holds, or takes over, the row that names the coordinator. */
export class CoordinatorLease {
	readonly #lease = new DualClockLease(leaseMs);
	#heldRow: CoordinatorRow | undefined;
	#observedVersion: {readonly version: number; readonly at: number} | undefined;
	#renewedAt = Number.NEGATIVE_INFINITY;
	#uncertainSince: ClockReading | undefined;
	#queue: Promise<unknown> = Promise.resolve();
	#acquiredAt = 0;
	/** Newest token under which this process coordinates no more. */
	#lastEndedToken = 0;
	/** Times that the duty was taken or ended here. */
	#transitionCount = 0;

	constructor(private readonly store: CoordinationStore, private readonly identity: GatewayIdentity, private readonly clock: Clock, private readonly log: EventLog) {}

	/** Fencing token, while this VM holds the duty. */
	get token(): number {
		return this.#heldRow?.token ?? 0;
	}

	/** Version of the held row. */
	get version(): number {
		return this.#heldRow?.version ?? 0;
	}

	/** Steady time at which the duty was taken. */
	get acquiredAt(): number {
		return this.#acquiredAt;
	}

	/** Returns for how long the store has not renewed the duty. */
	getMsSinceRenewal(): number {
		return this.#heldRow === undefined ? 0 : leaseMs - this.getRemainingMs();
	}

	/** Says whether this VM may act as the coordinator now. */
	isHeld(): boolean {
		return this.#heldRow !== undefined && this.#lease.isHeld(this.#getMoment());
	}

	/** Returns for how much longer this VM may act. */
	getRemainingMs(): number {
		return this.#heldRow === undefined ? 0 : this.#lease.getRemainingMs(this.#getMoment());
	}

	/** Takes in the row's version, as read or as the holder reported it. */
	observeVersion(version: number): void {
		if (this.#observedVersion === undefined || version > this.#observedVersion.version) {
			this.#observedVersion = {version, at: this.clock.now()};
		}
	}

	/** Says whether the duty may be taken from its holder. */
	isVacant(duty: CoordinatorRow | undefined): boolean {
		if (duty === undefined) {
			return true;
		}

		this.observeVersion(duty.version);
		if (duty.holder === vacantHolder) {
			return true;
		}

		const isPredecessor = duty.holder === this.identity.vm && duty.incarnation !== this.identity.incarnation;
		return isPredecessor || (this.#observedVersion!.version === duty.version && this.clock.now() - this.#observedVersion!.at > leaseMs + takeOverMarginMs);
	}

	/** Tries to become the coordinator. */
	async tryAcquire(duty: CoordinatorRow | undefined): Promise<boolean> {
		const content = {
			holder: this.identity.vm, incarnation: this.identity.incarnation, address: this.identity.peerAddress, token: (duty?.token ?? 0) + 1,
		};
		const at = this.#getMoment();
		const changes = this.#transitionCount;
		const result = await this.store.writeSharedRows([{key: coordinatorKey, expectedVersion: duty?.version ?? 0, value: JSON.stringify(content)}], callTimeoutMs);
		// A late answer tells nothing when the duty was found in the row, and perhaps given up again, meanwhile.
		if (result.kind === 'failed' || !result.value.isApplied || changes !== this.#transitionCount) {
			return false;
		}

		this.#setHeldRow({...content, version: result.value.version}, at);
		this.#acquiredAt = this.clock.now();
		this.log.logEvent('coordinator.taken', {token: content.token, version: result.value.version, before: duty?.holder});
		return true;
	}

	/** Takes up a duty that a lost answer had left open: the row names this process already. */
	resume(duty: CoordinatorRow, at: ClockReading): void {
		const isOwn = duty.holder === this.identity.vm && duty.incarnation === this.identity.incarnation;
		// A duty that was given up may still stand in the row: its successor is about to write.
		if (this.#heldRow === undefined && isOwn && duty.token > this.#lastEndedToken) {
			this.#setHeldRow(duty, at);
			this.#acquiredAt = this.clock.now();
			this.log.logEvent('coordinator.resumed', {token: duty.token, version: duty.version});
		}
	}

	/** Stops coordinating without telling the store, which does not answer: another VM has agreed to take over. */
	stepDown(): void {
		this.end('handed over');
	}

	/** Renews the row when that is due. */
	async renewIfDue(): Promise<void> {
		if (this.#heldRow === undefined || this.clock.now() < this.#renewedAt + renewalIntervalMs) {
			return;
		}

		await this.renew();
	}

	/** Renews the row. */
	async renew(): Promise<void> {
		this.#renewedAt = this.clock.now();
		await this.#runExclusively(async () => this.#writeAndRenew([]));
	}

	/**
	 * Writes rows on condition that this VM still holds the duty.
	 * @returns The version of the written rows, undefined when nothing was written as far as is known.
	 */
	async writeRowsIfHeld(writes: readonly SharedRowWrite[]): Promise<number | undefined> {
		return this.#runExclusively(async () => this.#writeAndRenew(writes));
	}

	/** Gives the duty up, so that another VM takes it at once. */
	async resign(): Promise<void> {
		const held = this.#heldRow;
		if (held === undefined) {
			return;
		}

		await this.#runExclusively(async () => {
			const {version, ...content} = this.#heldRow ?? held;
			this.end('resigned');
			await this.store.writeSharedRows([{key: coordinatorKey, expectedVersion: version, value: JSON.stringify({...content, holder: vacantHolder})}], callTimeoutMs);
		});
	}

	/** Ends the duty: another VM holds it. */
	end(reason: string): void {
		if (this.#heldRow !== undefined) {
			this.log.logEvent('coordinator.lost', {token: this.#heldRow.token, reason});
			this.#lastEndedToken = this.#heldRow.token;
			this.#heldRow = undefined;
			this.#transitionCount += 1;
			this.#lease.release();
		}
	}

	async #writeAndRenew(writes: readonly SharedRowWrite[]): Promise<number | undefined> {
		const held = this.#heldRow;
		if (held === undefined) {
			return undefined;
		}

		const {version, ...content} = held;
		const at = this.#getMoment();
		const result = await this.store.writeSharedRows([{key: coordinatorKey, expectedVersion: version, value: JSON.stringify(content)}, ...writes], callTimeoutMs);
		if (result.kind === 'ok' && result.value.isApplied) {
			this.#setHeldRow({...held, version: result.value.version}, at);
			return result.value.version;
		}

		this.#renewedAt = this.clock.now() - renewalIntervalMs + renewalRetryMs;
		this.#uncertainSince ??= at;
		const settled = await this.#readBackOutcome(held);
		const isWritten = settled !== undefined && writes.length > 0 && writes.every(write => settled.rows.get(write.key) === write.value);
		return isWritten ? settled.version : undefined;
	}

	/** Reads back what became of a write without a usable answer. */
	async #readBackOutcome(held: CoordinatorRow): Promise<{readonly version: number; readonly rows: ReadonlyMap<string, string>} | undefined> {
		const result = await this.store.readSharedRows(callTimeoutMs);
		if (result.kind === 'failed') {
			return undefined;
		}

		const {coordinator: duty} = parseSharedRows(result.value, this.log);
		if (duty?.incarnation !== this.identity.incarnation || duty.token !== held.token) {
			this.end('another VM holds it');
			return undefined;
		}

		if (duty.version !== held.version) {
			this.#setHeldRow(duty, this.#uncertainSince!);
		}

		return {version: duty.version, rows: new Map(result.value.map(row => [row.key, row.value]))};
	}

	#setHeldRow(duty: CoordinatorRow, at: ClockReading): void {
		this.#transitionCount += this.#heldRow === undefined ? 1 : 0;
		this.#heldRow = duty;
		this.#uncertainSince = undefined;
		this.#lease.renew(at);
		this.#renewedAt = this.clock.now();
		this.observeVersion(duty.version);
	}

	async #runExclusively<T>(work: () => Promise<T>): Promise<T> {
		const result = this.#queue.then(work);
		this.#queue = result.catch(() => undefined).then(() => undefined);
		return result;
	}

	#getMoment(): ClockReading {
		return {monotonicMs: this.clock.now(), wallMs: this.clock.getWallTime()};
	}
}
