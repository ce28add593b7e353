import {DualClockLease, type ClockReading} from '@chicorysaddle/decisions';
import {type EventLog} from '../observability/index.js';
import {
	type Clock, type CoordinationStore, getEra, getVersionInEra, type SharedRow, type SharedRowWrite, type StoreVersion,
} from '../ports/index.js';
import {type GatewayIdentity} from './gateway-identity.js';
import {
	coordinatorKey, type CoordinatorRow, isRestored, parseSharedRows, type SharedState,
} from './shared-rows.js';

/** Duration of the lease after its last renewal, in milliseconds: a shorter store outage interrupts nothing. */
const leaseDurationMs = 6000;

/** Time beyond the duration of the lease that another VM waits before it takes over, in milliseconds. */
const takeOverMarginMs = 500;

/** Interval between renewals, in milliseconds. */
const renewalIntervalMs = 1000;

/** Holder in the row of a released lease. */
const noHolder = '';

/** Number of fencing tokens in an era of the store: a restored copy may lack the row with the highest token, so a later era starts above all that an earlier one can have used. */
const tokensPerEra = 1_000_000;

/** Delay before a failed renewal is retried, in milliseconds. */
const renewalRetryMs = 250;

/** Timeout of a call to the store, in milliseconds. */
const callTimeoutMs = 800;

/** Versions of rows after a write, by key; 0 for a deleted row. */
export type WrittenVersions = ReadonlyMap<string, StoreVersion>;

/** Lease on the row that names the coordinator: acquires, renews and releases it for this VM. */
export class CoordinatorLease {
	readonly #lease = new DualClockLease(leaseDurationMs);
	#heldRow: CoordinatorRow | undefined;
	/** Highest known version of the row, and the monotonic time at which it was first observed, in milliseconds. */
	#observedVersion: {readonly version: number; readonly at: number} | undefined;
	/** Monotonic time from which the next renewal interval counts, in milliseconds. */
	#renewalIntervalStartedAt = Number.NEGATIVE_INFINITY;
	/** Monotonic time since which the row has been absent, in milliseconds; undefined while it is there. */
	#absentSince: number | undefined;
	/** The last fencing token with which this process tried to acquire the lease, and the time of the first attempt. */
	#attempt: {readonly token: number; readonly at: ClockReading} | undefined;
	/** Time of the first write since the last renewal whose outcome is unknown. */
	#unconfirmedWriteAt: ClockReading | undefined;
	#queue: Promise<unknown> = Promise.resolve();
	#acquiredAt = 0;
	/** Era of the store in which the lease was acquired. */
	#acquiredEra = 0;
	/** Highest fencing token that this process knows of. */
	#highestToken = 0;
	/** Highest fencing token of a lease that this process has ended. */
	#lastEndedToken = 0;
	/** Number of times this process acquired, resumed or ended the lease. */
	#transitionCount = 0;
	/** Whether this VM gives the lease up as soon as the running writes are done. */
	#isReleasing = false;
	readonly #readBackListeners: Array<(state: SharedState) => void> = [];
	readonly #endListeners: Array<() => void> = [];

	constructor(private readonly store: CoordinationStore, private readonly identity: GatewayIdentity, private readonly clock: Clock, private readonly log: EventLog) {}

	/** Adds a listener that is called with the rows that are read after a write of this VM without a known outcome: the store may have performed an earlier one late. */
	onReadBack(listener: (state: SharedState) => void): void {
		this.#readBackListeners.push(listener);
	}

	/** Adds a listener that is called when this VM gives the lease up or learns that it has lost it. */
	onEnded(listener: () => void): void {
		this.#endListeners.push(listener);
	}

	/** Fencing token of the held lease, 0 when this VM does not hold it. */
	get token(): number {
		return this.#heldRow?.token ?? 0;
	}

	/** Version of the held row, 0 when this VM does not hold the lease. */
	get version(): number {
		return this.#heldRow?.version ?? 0;
	}

	/** Monotonic time at which this VM last acquired or resumed the lease, in milliseconds; 0 if it never did. */
	get acquiredAt(): number {
		return this.#acquiredAt;
	}

	/** Era of the store in which this VM last acquired or resumed the lease. */
	get acquiredEra(): number {
		return this.#acquiredEra;
	}

	/** Returns the time since the last successful renewal, in milliseconds; at most the duration of the lease, 0 when this VM does not hold it. */
	getMsSinceRenewal(): number {
		return this.#heldRow === undefined ? 0 : leaseDurationMs - this.#lease.getRemainingMs(this.#getClockReading());
	}

	/** Returns whether this VM may act as the coordinator now. */
	isHeld(): boolean {
		return this.#heldRow !== undefined && !this.#isReleasing && this.#lease.isHeld(this.#getClockReading());
	}

	/** Returns the remaining time of the lease, in milliseconds; 0 when this VM does not hold it. */
	getRemainingMs(): number {
		return this.#heldRow === undefined || this.#isReleasing ? 0 : this.#lease.getRemainingMs(this.#getClockReading());
	}

	/** Records the version of the row, as read from the store or reported by the holder; a new version shows that the holder is alive. */
	recordVersion(version: StoreVersion): void {
		if (this.#observedVersion === undefined || version > this.#observedVersion.version) {
			this.#observedVersion = {version, at: this.clock.now()};
		}
	}

	/** Records the fencing token of a coordinator. */
	recordToken(token: number): void {
		this.#highestToken = Math.max(this.#highestToken, token);
	}

	/**
	 * Returns whether this VM may acquire the lease: it is released, expired, or held by an earlier process of this VM.
	 * @param unreadableVersion - Version of a row that cannot be read, so that its holder is not known.
	 */
	isVacant(row: CoordinatorRow | undefined, unreadableVersion?: StoreVersion): boolean {
		if (row === undefined && unreadableVersion !== undefined) {
			this.#absentSince = undefined;
			this.recordVersion(unreadableVersion);
			return this.#isExpired(unreadableVersion);
		}

		if (row === undefined) {
			// A store that was restored may have lost the row, while its holder still acts.
			this.#absentSince ??= this.clock.now();
			return this.store.era === 0 || this.clock.now() - this.#absentSince > leaseDurationMs + takeOverMarginMs;
		}

		this.#absentSince = undefined;
		this.recordVersion(row.version);
		this.recordToken(row.token);
		// A row from an older copy of the store may name a former holder.
		const isCurrent = !isRestored(row);
		if (isCurrent && row.holder === noHolder) {
			return true;
		}

		return this.isHeldByPredecessor(row) || this.#isExpired(row.version);
	}

	/** Returns whether the row names an earlier process of this VM, so that no other VM may acquire the lease before it expires. */
	isHeldByPredecessor(row: CoordinatorRow | undefined): boolean {
		return row !== undefined && !isRestored(row) && row.holder === this.identity.vm && row.incarnation !== this.identity.incarnation;
	}

	/**
	 * Tries to acquire the lease with the next fencing token; returns whether it succeeded.
	 * @param unreadableVersion - Version of a row that cannot be read, which is replaced.
	 */
	async tryAcquire(row: CoordinatorRow | undefined, unreadableVersion: StoreVersion = 0): Promise<boolean> {
		const content = {
			holder: this.identity.vm, incarnation: this.identity.incarnation, address: this.identity.peerAddress, token: this.#getNextToken(row, unreadableVersion), era: this.#getRowEra(),
		};
		const at = this.#getClockReading();
		// Any attempt with the same token may be the one that the store performed.
		this.#attempt = this.#attempt?.token === content.token ? this.#attempt : {token: content.token, at};
		const transitionCount = this.#transitionCount;
		const result = await this.store.writeSharedRows([{key: coordinatorKey, expectedVersion: row?.version ?? unreadableVersion, value: JSON.stringify(content)}], callTimeoutMs);
		// A late response is ignored if the lease was resumed from the row in the meantime, even if it has ended since.
		if (result.kind === 'failed' || !result.value.isApplied || transitionCount !== this.#transitionCount) {
			return false;
		}

		this.#setHeldRow({...content, version: result.value.version}, at);
		this.#acquiredAt = this.clock.now();
		this.#acquiredEra = getEra(result.value.version);
		this.log.logEvent('coordinator.taken', {token: content.token, version: result.value.version, before: row?.holder});
		return true;
	}

	/** Resumes a lease whose acquisition got no response, if the row names this process; it counts from the first attempt. */
	resume(row: CoordinatorRow): void {
		const isOwn = row.holder === this.identity.vm && row.incarnation === this.identity.incarnation && !isRestored(row);
		// The row may still show a lease that this process has ended, until the successor writes it.
		if (this.#heldRow === undefined && isOwn && row.token > this.#lastEndedToken && row.token === this.#attempt?.token) {
			this.#setHeldRow(row, this.#attempt.at);
			// Little of the lease may be left.
			this.#renewalIntervalStartedAt = Number.NEGATIVE_INFINITY;
			this.#acquiredAt = this.clock.now();
			this.#acquiredEra = getEra(row.version);
			this.log.logEvent('coordinator.resumed', {token: row.token, version: row.version});
		}
	}

	/** Ends the lease without a write to the store, which may not answer; another VM has agreed to take over. */
	stepDown(): void {
		this.end('handed over');
	}

	/** Renews the lease if the renewal interval has passed. */
	async renewIfDue(): Promise<void> {
		if (this.#heldRow === undefined || this.clock.now() < this.#renewalIntervalStartedAt + renewalIntervalMs) {
			return;
		}

		await this.renew();
	}

	/** Renews the lease now. */
	async renew(): Promise<void> {
		this.#renewalIntervalStartedAt = this.clock.now();
		await this.#runExclusively(async () => this.#writeAndRenew([]));
	}

	/**
	 * Writes rows only if this VM still holds the lease; the same write renews the lease.
	 * @returns The versions that the rows have now, undefined if the writes are not known to have succeeded.
	 */
	async writeRowsIfHeld(writes: readonly SharedRowWrite[]): Promise<WrittenVersions | undefined> {
		return this.#runExclusively(async () => this.#writeAndRenew(writes));
	}

	/** Releases the lease in the store, so that another VM can acquire it at once. */
	async release(): Promise<void> {
		const held = this.#heldRow;
		if (held === undefined) {
			return;
		}

		this.#isReleasing = true;
		this.#notifyEnded();
		await this.#runExclusively(async () => {
			const {version, ...content} = this.#heldRow ?? held;
			this.end('resigned');
			await this.store.writeSharedRows([{key: coordinatorKey, expectedVersion: version, value: JSON.stringify({...content, holder: noHolder, era: this.#getRowEra()})}], callTimeoutMs);
		});
	}

	/** Ends the lease in this process only, and logs the reason. */
	end(reason: string): void {
		if (this.#heldRow !== undefined) {
			this.log.logEvent('coordinator.lost', {token: this.#heldRow.token, reason});
			this.#lastEndedToken = this.#heldRow.token;
			this.#heldRow = undefined;
			this.#transitionCount += 1;
			this.#isReleasing = false;
			this.#lease.release();
			this.#notifyEnded();
		}
	}

	#notifyEnded(): void {
		for (const listener of this.#endListeners) {
			listener();
		}
	}

	/** Writes rows together with the row of the lease; returns their versions, undefined if the writes are not known to have succeeded. */
	async #writeAndRenew(writes: readonly SharedRowWrite[]): Promise<WrittenVersions | undefined> {
		const held = this.#heldRow;
		if (held === undefined) {
			return undefined;
		}

		const {version, ...content} = held;
		const at = this.#getClockReading();
		const result = await this.store.writeSharedRows([{key: coordinatorKey, expectedVersion: version, value: JSON.stringify({...content, era: this.#getRowEra()})}, ...writes], callTimeoutMs);
		if (result.kind === 'ok' && result.value.isApplied) {
			const {version: writtenVersion} = result.value;
			this.#setHeldRow({...held, version: writtenVersion}, at);
			return new Map(writes.map(({key, value}) => [key, value === undefined ? 0 : writtenVersion]));
		}

		this.#renewalIntervalStartedAt = this.clock.now() - renewalIntervalMs + renewalRetryMs;
		this.#unconfirmedWriteAt ??= at;
		const rows = await this.#readBackRows(held);
		const isWritten = rows !== undefined && writes.every(({key, value}) => rows.get(key)?.value === value);
		// The rows may be older than that of the lease, which is renewed alone too.
		return isWritten ? new Map(writes.map(({key}) => [key, rows.get(key)?.version ?? 0])) : undefined;
	}

	/** Reads the rows back after a write that may have been applied; returns undefined if the read fails, or if another VM holds the lease, and then ends it here. */
	async #readBackRows(held: CoordinatorRow): Promise<ReadonlyMap<string, SharedRow> | undefined> {
		const result = await this.store.readSharedRows(callTimeoutMs);
		if (result.kind === 'failed') {
			return undefined;
		}

		const state = parseSharedRows(result.value, this.log);
		const isHeld = await this.#reconcileHeldRow(held, state);
		for (const listener of this.#readBackListeners) {
			listener(state);
		}

		return isHeld ? new Map(result.value.map(row => [row.key, row])) : undefined;
	}

	/** Brings the held row in line with the row in the store; returns whether this VM still holds the lease, and ends it here otherwise. */
	async #reconcileHeldRow(held: CoordinatorRow, {coordinator: currentRow, unreadable}: SharedState): Promise<boolean> {
		if (this.isHeld() && this.store.era > getEra(held.version) && (currentRow?.token ?? 0) <= held.token) {
			// The store lost the row or its renewals; while the lease lasts, no other VM can have acquired it.
			return this.#rewriteRow(held, currentRow?.version ?? unreadable.coordinator ?? 0);
		}

		if (currentRow?.incarnation !== this.identity.incarnation || currentRow.token !== held.token) {
			this.end(currentRow === undefined && unreadable.coordinator !== undefined ? 'its row is unreadable' : 'another VM holds it');
			return false;
		}

		if (currentRow.version !== held.version) {
			this.#setHeldRow(currentRow, this.#unconfirmedWriteAt!);
		}

		return true;
	}

	/** Writes the row again after the store returned from an older copy; returns whether that succeeded. */
	async #rewriteRow(held: CoordinatorRow, currentVersion: StoreVersion): Promise<boolean> {
		const at = this.#getClockReading();
		const {version, ...content} = {...held, era: this.#getRowEra()};
		const result = await this.store.writeSharedRows([{key: coordinatorKey, expectedVersion: currentVersion, value: JSON.stringify(content)}], callTimeoutMs);
		if (result.kind === 'failed' || !result.value.isApplied) {
			return false;
		}

		this.#setHeldRow({...content, version: result.value.version}, at);
		this.log.logEvent('coordinator.restored', {token: held.token, before: version, version: result.value.version});
		return true;
	}

	/** Returns whether a version of the row has been the newest for so long that the lease of its writer has ended. */
	#isExpired(version: StoreVersion): boolean {
		return this.#observedVersion!.version === version && this.clock.now() - this.#observedVersion!.at > leaseDurationMs + takeOverMarginMs;
	}

	#getNextToken(row: CoordinatorRow | undefined, unreadableVersion: StoreVersion): number {
		// Each token in an era took a write of the row, and each write a version of its own.
		const maxUsedCount = row === undefined ? getVersionInEra(unreadableVersion) : 0;
		return Math.max(row?.token ?? 0, this.#highestToken, (this.store.era * tokensPerEra) + maxUsedCount) + 1;
	}

	/** Returns the era for a row that is written now; undefined in era 0, so that the row reads as a former build writes it. */
	#getRowEra(): number | undefined {
		return this.store.era === 0 ? undefined : this.store.era;
	}

	#setHeldRow(row: CoordinatorRow, at: ClockReading): void {
		this.#transitionCount += this.#heldRow === undefined ? 1 : 0;
		this.#heldRow = row;
		this.#unconfirmedWriteAt = undefined;
		this.#lease.renew(at);
		this.#renewalIntervalStartedAt = this.clock.now();
		this.recordVersion(row.version);
	}

	/** Runs an operation after all earlier ones have ended. */
	async #runExclusively<T>(operation: () => Promise<T>): Promise<T> {
		const result = this.#queue.then(operation);
		this.#queue = result.catch(() => undefined).then(() => undefined);
		return result;
	}

	#getClockReading(): ClockReading {
		return {monotonicMs: this.clock.now(), wallMs: this.clock.getWallTime()};
	}
}
