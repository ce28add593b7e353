import {getMajority} from '../leases/lease-candidate.js';

/**
 * Tracks an upper bound of the age of this proxy's view of the configuration: the time since its last sync
 * with the store, directly or through a peer, or with a majority of the voters, whichever is shorter.
 * A majority suffices because every accepted change is known to one.
 */
export class FreshnessTracker {
	#storeSyncedAt = Number.NEGATIVE_INFINITY;
	readonly #peerSyncTimes = new Map<string, number>();
	#isSynchronized = false;

	/**
	 * @param name - Name of this VM.
	 * @param maxAgeMs - Maximum age of a view that may be used, in milliseconds.
	 * @param startedAt - Monotonic time at which this process started, in milliseconds.
	 */
	constructor(private readonly name: string, private readonly maxAgeMs: number, private readonly startedAt: number) {}

	/** Whether this VM has known every accepted change since its start. */
	get isSynchronized(): boolean {
		return this.#isSynchronized;
	}

	/** Returns the time since the last sync with the store, in milliseconds; undefined before the first one. */
	getStoreSyncAgeMs(now: number): number | undefined {
		return Number.isFinite(this.#storeSyncedAt) ? now - this.#storeSyncedAt : undefined;
	}

	/** Records that the view contained everything that the store held at a time. */
	recordStoreSync(at: number): void {
		this.#storeSyncedAt = Math.max(this.#storeSyncedAt, at);
		// An earlier process of this VM may have confirmed changes until this one started.
		this.#isSynchronized ||= at >= this.startedAt;
	}

	/** Records that the view contained everything that a synchronized peer knew at a time. */
	recordPeerSync(peer: string, at: number, voters: readonly string[]): void {
		this.#peerSyncTimes.set(peer, Math.max(this.#peerSyncTimes.get(peer) ?? Number.NEGATIVE_INFINITY, at));
		if (!this.#isSynchronized && this.#getMajoritySyncedAt(voters, at) >= at - this.maxAgeMs) {
			this.#isSynchronized = true;
		}
	}

	/** Discards the syncs with a peer that restarted, as its new process may not know every change. */
	removePeerSync(peer: string): void {
		this.#peerSyncTimes.delete(peer);
	}

	/** Returns the age of the view, in milliseconds; infinite before the first sync. */
	getAgeMs(voters: readonly string[], now: number): number {
		return now - Math.max(this.#storeSyncedAt, this.#getMajoritySyncedAt(voters, now));
	}

	/** Returns whether the view is fresh enough to be used. */
	isFresh(voters: readonly string[], now: number): boolean {
		return this.getAgeMs(voters, now) <= this.maxAgeMs;
	}

	#getMajoritySyncedAt(voters: readonly string[], now: number): number {
		const syncTimes = voters
			.map(voter => (voter === this.name ? this.#getOwnSyncedAt(now) : this.#peerSyncTimes.get(voter) ?? Number.NEGATIVE_INFINITY))
			.toSorted((a, b) => b - a);
		return voters.length === 0 ? Number.NEGATIVE_INFINITY : syncTimes[getMajority(voters.length) - 1]!;
	}

	#getOwnSyncedAt(now: number): number {
		return this.#isSynchronized ? now : Number.NEGATIVE_INFINITY;
	}
}
