import {getMajority} from '../leases/lease-candidate.js';

/**
 * Knows how old this proxy's view of the configuration may be.
 * A view is as young as the newest word from the store, heard directly or through a peer,
 * or as the word of a majority of the voters, each of which knows every accepted change.
 */
export class Freshness {
	#storeWordAt = Number.NEGATIVE_INFINITY;
	readonly #peerWords = new Map<string, number>();
	#isSynchronized = false;

	/**
	 * @param name - Name of this VM.
	 * @param windowMs - Longest age of a view that may be used.
	 * @param startedAt - Time at which this process started.
	 */
	constructor(private readonly name: string, private readonly windowMs: number, private readonly startedAt: number) {}

	/** Whether this VM has known every accepted change since its start. */
	get isSynchronized(): boolean {
		return this.#isSynchronized;
	}

	/** Returns the age of the newest word from the store, undefined where none was heard. */
	getStoreWordAgeMs(now: number): number | undefined {
		return Number.isFinite(this.#storeWordAt) ? now - this.#storeWordAt : undefined;
	}

	/** Takes in that the view held everything in the store at a time. */
	observeStoreWord(at: number): void {
		this.#storeWordAt = Math.max(this.#storeWordAt, at);
		// A former process of this VM may have vouched for changes up to the start of this one.
		this.#isSynchronized ||= at >= this.startedAt;
	}

	/** Takes in that the view held, at a time, everything that a synchronized peer knew. */
	observePeerWord(peer: string, at: number, voters: readonly string[]): void {
		this.#peerWords.set(peer, Math.max(this.#peerWords.get(peer) ?? Number.NEGATIVE_INFINITY, at));
		if (!this.#isSynchronized && this.#getMajorityWordAt(voters, at) >= at - this.windowMs) {
			this.#isSynchronized = true;
		}
	}

	/** Forgets a peer that restarted: its new process has to be heard anew. */
	removePeerWord(peer: string): void {
		this.#peerWords.delete(peer);
	}

	/** Returns the age of the view, infinite where nothing vouches for it. */
	getAgeMs(voters: readonly string[], now: number): number {
		return now - Math.max(this.#storeWordAt, this.#getMajorityWordAt(voters, now));
	}

	/** Says whether the view may be used. */
	isFresh(voters: readonly string[], now: number): boolean {
		return this.getAgeMs(voters, now) <= this.windowMs;
	}

	#getMajorityWordAt(voters: readonly string[], now: number): number {
		const words = voters
			.map(voter => (voter === this.name ? this.#getOwnWordAt(now) : this.#peerWords.get(voter) ?? Number.NEGATIVE_INFINITY))
			.toSorted((a, b) => b - a);
		return voters.length === 0 ? Number.NEGATIVE_INFINITY : words[getMajority(voters.length) - 1]!;
	}

	#getOwnWordAt(now: number): number {
		return this.#isSynchronized ? now : Number.NEGATIVE_INFINITY;
	}
}
