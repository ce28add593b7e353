import {getMajority} from '../leases/lease-candidate.js';

/**
 * Knows how old this proxy's view of the configuration may be.
 * A view is as young as the newest word from the store, heard directly or through a peer,
 * or as the word of a majority of the voters, each of which knows every accepted change.
 */
export class FreshnessTracker {
	#storeSyncedAt = Number.NEGATIVE_INFINITY;
	readonly #peerSyncTimes = new Map<string, number>();
	#isSynchronized = false;

	/**
	 * @param name - Name of this VM.
	 * @param maxAgeMs - Longest age of a view that may be used.
	 * @param startedAt - Time at which this process started.
	 */
	constructor(private readonly name: string, private readonly maxAgeMs: number, private readonly startedAt: number) {}

	/** Whether this VM has known every accepted change since its start. */
	get isSynchronized(): boolean {
		return this.#isSynchronized;
	}

	/** Returns the age of the newest word from the store, undefined where none was heard. */
	getStoreSyncAgeMs(now: number): number | undefined {
		return Number.isFinite(this.#storeSyncedAt) ? now - this.#storeSyncedAt : undefined;
	}

	/** Takes in that the view held everything in the store at a time. */
	observeStoreSync(at: number): void {
		this.#storeSyncedAt = Math.max(this.#storeSyncedAt, at);
		// A former process of this VM may have vouched for changes up to the start of this one.
		this.#isSynchronized ||= at >= this.startedAt;
	}

	/** Takes in that the view held, at a time, everything that a synchronized peer knew. */
	observePeerSync(peer: string, at: number, voters: readonly string[]): void {
		this.#peerSyncTimes.set(peer, Math.max(this.#peerSyncTimes.get(peer) ?? Number.NEGATIVE_INFINITY, at));
		if (!this.#isSynchronized && this.#getMajoritySyncedAt(voters, at) >= at - this.maxAgeMs) {
			this.#isSynchronized = true;
		}
	}

	/** Forgets a peer that restarted: its new process has to be heard anew. */
	removePeer(peer: string): void {
		this.#peerSyncTimes.delete(peer);
	}

	/** Returns the age of the view, infinite where nothing vouches for it. */
	getAgeMs(voters: readonly string[], now: number): number {
		return now - Math.max(this.#storeSyncedAt, this.#getMajoritySyncedAt(voters, now));
	}

	/** Says whether the view may be used. */
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
