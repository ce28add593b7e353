import {DualClockLease, type ClockReading} from '@chicorysaddle/decisions';
import {type EventLog} from '../observability/index.js';
import {type Clock, type CoordinationStore, type SharedRowWrite} from '../ports/index.js';
import {type GatewayIdentity} from './gateway-identity.js';
import {coordinatorKey, type CoordinatorRow, parseSharedRows} from './shared-rows.js';

/** Duration of the lease after its last renewal, in milliseconds: a store outage of that length interrupts nothing. */
const leaseMs = 6000;

/** How much longer than the lease another VM waits before it takes over, in milliseconds. */
const takeOverMarginMs = 500;

/** Interval between renewals, in milliseconds. */
const renewalIntervalMs = 1000;

/** Value of the holder field after the lease was released. */
const vacantHolder = '';

/** Delay before a failed renewal is retried, in milliseconds. */
const renewalRetryMs = 250;

/** Timeout of a call to the store, in milliseconds. */
const callTimeoutMs = 800;

/** Lease on the row that names the coordinator: acquires, renews and releases it for this VM. */
export class CoordinatorLease {
	readonly #lease = new DualClockLease(leaseMs);
	#heldRow: CoordinatorRow | undefined;
	#observedVersion: {readonly version: number; readonly at: number} | undefined;
	#renewedAt = Number.NEGATIVE_INFINITY;
	#uncertainSince: ClockReading | undefined;
	#queue: Promise<unknown> = Promise.resolve();
	#acquiredAt = 0;
	/** Highest fencing token of a lease that this process has ended. */
	#lastEndedToken = 0;
	/** Number of times this process gained or ended the lease. */
	#transitionCount = 0;

	constructor(private readonly store: CoordinationStore, private readonly identity: GatewayIdentity, private readonly clock: Clock, private readonly log: EventLog) {}

	/** Fencing token of the held lease, 0 when this VM does not hold it. */
	get token(): number {
		return this.#heldRow?.token ?? 0;
	}

	/** Version of the held row, 0 when this VM does not hold the lease. */
	get version(): number {
		return this.#heldRow?.version ?? 0;
	}

	/** Monotonic time at which this VM last gained the lease, in milliseconds. */
	get acquiredAt(): number {
		return this.#acquiredAt;
	}

	/** Returns the time since the last renewal in milliseconds, 0 when this VM does not hold the lease. */
	getMsSinceRenewal(): number {
		return this.#heldRow === undefined ? 0 : leaseMs - this.getRemainingMs();
	}

	/** Returns whether this VM may act as the coordinator now. */
	isHeld(): boolean {
		return this.#heldRow !== undefined && this.#lease.isHeld(this.#getClockReading());
	}

	/** Returns the remaining time of the lease in milliseconds, 0 when this VM does not hold it. */
	getRemainingMs(): number {
		return this.#heldRow === undefined ? 0 : this.#lease.getRemainingMs(this.#getClockReading());
	}

	/** Records the version of the row, as read from the store or reported by the holder. */
	observeVersion(version: number): void {
		if (this.#observedVersion === undefined || version > this.#observedVersion.version) {
			this.#observedVersion = {version, at: this.clock.now()};
		}
	}

	/** Returns whether the lease is free: released, expired, or held by an earlier process of this VM. */
	isVacant(row: CoordinatorRow | undefined): boolean {
		if (row === undefined) {
			return true;
		}

		this.observeVersion(row.version);
		if (row.holder === vacantHolder) {
			return true;
		}

		const isPredecessor = row.holder === this.identity.vm && row.incarnation !== this.identity.incarnation;
		return isPredecessor || (this.#observedVersion!.version === row.version && this.clock.now() - this.#observedVersion!.at > leaseMs + takeOverMarginMs);
	}

	/** Tries to acquire the lease with the next fencing token; returns whether it succeeded. */
	async tryAcquire(row: CoordinatorRow | undefined): Promise<boolean> {
		const content = {
			holder: this.identity.vm, incarnation: this.identity.incarnation, address: this.identity.peerAddress, token: (row?.token ?? 0) + 1,
		};
		const at = this.#getClockReading();
		const transitionCount = this.#transitionCount;
		const result = await this.store.writeSharedRows([{key: coordinatorKey, expectedVersion: row?.version ?? 0, value: JSON.stringify(content)}], callTimeoutMs);
		// A late response is void if the lease was meanwhile resumed from the row, and perhaps ended again.
		if (result.kind === 'failed' || !result.value.isApplied || transitionCount !== this.#transitionCount) {
			return false;
		}

		this.#setHeldRow({...content, version: result.value.version}, at);
		this.#acquiredAt = this.clock.now();
		this.log.logEvent('coordinator.taken', {token: content.token, version: result.value.version, before: row?.holder});
		return true;
	}

	/** Resumes a lease whose acquisition got no response, if the row already names this process. */
	resume(row: CoordinatorRow, at: ClockReading): void {
		const isOwn = row.holder === this.identity.vm && row.incarnation === this.identity.incarnation;
		// The row may still show a lease that this process has ended, until the successor writes it.
		if (this.#heldRow === undefined && isOwn && row.token > this.#lastEndedToken) {
			this.#setHeldRow(row, at);
			this.#acquiredAt = this.clock.now();
			this.log.logEvent('coordinator.resumed', {token: row.token, version: row.version});
		}
	}

	/** Ends the lease without writing to the store, which does not answer; another VM has agreed to take over. */
	stepDown(): void {
		this.end('handed over');
	}

	/** Renews the lease if the renewal interval has passed. */
	async renewIfDue(): Promise<void> {
		if (this.#heldRow === undefined || this.clock.now() < this.#renewedAt + renewalIntervalMs) {
			return;
		}

		await this.renew();
	}

	/** Renews the lease now. */
	async renew(): Promise<void> {
		this.#renewedAt = this.clock.now();
		await this.#runExclusively(async () => this.#writeAndRenew([]));
	}

	/**
	 * Writes rows on condition that this VM still holds the lease; the write also renews it.
	 * @returns The version of the written rows, undefined if no write is known to have succeeded.
	 */
	async writeRowsIfHeld(writes: readonly SharedRowWrite[]): Promise<number | undefined> {
		return this.#runExclusively(async () => this.#writeAndRenew(writes));
	}

	/** Releases the lease in the store, so that another VM can acquire it at once. */
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

	/** Ends the lease in this process only, and logs the reason. */
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
		const at = this.#getClockReading();
		const result = await this.store.writeSharedRows([{key: coordinatorKey, expectedVersion: version, value: JSON.stringify(content)}, ...writes], callTimeoutMs);
		if (result.kind === 'ok' && result.value.isApplied) {
			this.#setHeldRow({...held, version: result.value.version}, at);
			return result.value.version;
		}

		this.#renewedAt = this.clock.now() - renewalIntervalMs + renewalRetryMs;
		this.#uncertainSince ??= at;
		const outcome = await this.#readBackOutcome(held);
		const isWritten = outcome !== undefined && writes.length > 0 && writes.every(write => outcome.rows.get(write.key) === write.value);
		return isWritten ? outcome.version : undefined;
	}

	/** Reads the rows back to find out whether a write without a usable response was applied; ends the lease if another VM holds it. */
	async #readBackOutcome(held: CoordinatorRow): Promise<{readonly version: number; readonly rows: ReadonlyMap<string, string>} | undefined> {
		const result = await this.store.readSharedRows(callTimeoutMs);
		if (result.kind === 'failed') {
			return undefined;
		}

		const {coordinator: currentRow} = parseSharedRows(result.value, this.log);
		if (currentRow?.incarnation !== this.identity.incarnation || currentRow.token !== held.token) {
			this.end('another VM holds it');
			return undefined;
		}

		if (currentRow.version !== held.version) {
			this.#setHeldRow(currentRow, this.#uncertainSince!);
		}

		return {version: currentRow.version, rows: new Map(result.value.map(row => [row.key, row.value]))};
	}

	#setHeldRow(row: CoordinatorRow, at: ClockReading): void {
		this.#transitionCount += this.#heldRow === undefined ? 1 : 0;
		this.#heldRow = row;
		this.#uncertainSince = undefined;
		this.#lease.renew(at);
		this.#renewedAt = this.clock.now();
		this.observeVersion(row.version);
	}

	async #runExclusively<T>(operation: () => Promise<T>): Promise<T> {
		const result = this.#queue.then(operation);
		this.#queue = result.catch(() => undefined).then(() => undefined);
		return result;
	}

	#getClockReading(): ClockReading {
		return {monotonicMs: this.clock.now(), wallMs: this.clock.getWallTime()};
	}
}
