import {type Clock, type EvacuationRows, type StoreVersion} from '../ports/index.js';

/** Called when an evacuation began or ended, with the zones concerned. */
export type EvacuationListener = (change: EvacuationChange) => void;

/** Zones whose evacuation began or ended, and where this VM learned of it. */
export type EvacuationChange = {readonly begun: readonly string[]; readonly ended: readonly string[]; readonly source: 'store' | 'coordinator'; readonly version: StoreVersion};

/** An evacuated zone as sent between VMs: its name, and the time since the sender learned of its evacuation, in milliseconds. */
export type EvacuatedZoneAge = readonly [zone: string, ageMs: number];

/** Age of an evacuation that may have begun at any earlier time, in milliseconds: longer than every bound. */
const unknownAgeMs = 3_600_000;

/** Maximum time since the last reading for which a change that a poll returns counts as just made, in milliseconds: longer than a poll waits. */
const maxPollGapMs = 6000;

/** Time for which the end of an evacuation is remembered, in milliseconds: longer than a return takes. */
const returnRetentionMs = 60_000;

/** Availability zones that are evacuated as far as this VM knows, from the store or from the coordinator's reports. */
export class EvacuationRegistry {
	/** Monotonic time since which each evacuated zone is known or assumed to be evacuated, in milliseconds. */
	readonly #since = new Map<string, number>();
	readonly #endedAt = new Map<string, number>();
	readonly #listeners: EvacuationListener[] = [];
	#version: StoreVersion = 0;
	#readVersion: StoreVersion = 0;
	#readAt = Number.NEGATIVE_INFINITY;
	#receivedVersion: StoreVersion | undefined;

	constructor(private readonly clock: Clock) {}

	/** Version of the store at which the zones were read; 0 while no evacuation was ever known. */
	get version(): StoreVersion {
		return this.#version;
	}

	/** Version that this VM states in heartbeats: that of the last report with zones, so that a report that is older than what this VM read itself is not repeated. */
	get statedVersion(): StoreVersion {
		return this.#receivedVersion ?? this.#version;
	}

	/** Names of the evacuated zones. */
	get zones(): Iterable<string> {
		return this.#since.keys();
	}

	/** Number of evacuated zones. */
	get count(): number {
		return this.#since.size;
	}

	/** Returns whether a zone is evacuated. */
	isEvacuated(zone: string): boolean {
		return this.#since.has(zone);
	}

	/** Returns the time since which a zone is evacuated, in milliseconds; undefined if it is not. */
	getEvacuatedForMs(zone: string): number | undefined {
		const since = this.#since.get(zone);
		return since === undefined ? undefined : this.clock.now() - since;
	}

	/** Returns the time since the last evacuation of a zone ended, in milliseconds; undefined if it is evacuated, or was not lately. */
	getReturnedForMs(zone: string): number | undefined {
		const endedAt = this.#endedAt.get(zone);
		return endedAt === undefined ? undefined : this.clock.now() - endedAt;
	}

	/** Returns the evacuated zones with their ages, for other VMs. */
	createZoneAges(): EvacuatedZoneAge[] {
		const now = this.clock.now();
		return [...this.#since].map(([zone, since]) => [zone, Math.min(unknownAgeMs, now - since)]);
	}

	/** Adds a listener for evacuations that begin or end. */
	onChanged(listener: EvacuationListener): void {
		this.#listeners.push(listener);
	}

	/** Applies rows that were read from the store at a version; ignores an older reading than the known one. */
	applyRows(rows: EvacuationRows, version: StoreVersion): void {
		const now = this.clock.now();
		if (version < this.#readVersion || version < this.#version) {
			return;
		}

		const zones = new Set(rows.isWhole ? rows.evacuated : [...this.#since.keys(), ...rows.evacuated]);
		for (const zone of rows.ended) {
			zones.delete(zone);
		}

		// A poll returns a change at once. A whole reading shows an evacuation that may have begun right after the last one; without one, at any time.
		const hasGap = rows.isWhole || now - this.#readAt > maxPollGapMs;
		const begunAt = hasGap ? Math.max(this.#readAt, now - unknownAgeMs) : now;
		const isStated = rows.isWhole || rows.evacuated.length > 0 || rows.ended.length > 0;
		this.#readVersion = version;
		this.#readAt = now;
		if (isStated && (zones.size > 0 || this.#version > 0)) {
			this.#apply(new Map([...zones].map(zone => [zone, begunAt])), version, 'store');
		}
	}

	/** Applies the zones of a coordinator's report; ignores an older version than the known one. */
	applyReport(zones: readonly EvacuatedZoneAge[], version: StoreVersion): void {
		this.#receivedVersion = version;
		this.recordConfirmation();
		if (version >= this.#version) {
			const now = this.clock.now();
			this.#apply(new Map(zones.map(([zone, ageMs]) => [zone, now - ageMs])), version, 'coordinator');
		}
	}

	/** Records that the coordinator, which reports evacuations, reported none that this VM does not know. */
	recordConfirmation(): void {
		this.#readAt = this.clock.now();
	}

	/** Gives the known state a version, if it has none, because another VM knows of an evacuation that this one does not. */
	requireVersion(): void {
		this.#version = Math.max(this.#version, this.#readVersion);
	}

	#apply(zones: ReadonlyMap<string, number>, version: StoreVersion, source: EvacuationChange['source']): void {
		const begun = [...zones.keys()].filter(zone => !this.#since.has(zone));
		const ended = [...this.#since.keys()].filter(zone => !zones.has(zone));
		this.#version = version;
		for (const [zone, since] of zones) {
			this.#since.set(zone, Math.min(since, this.#since.get(zone) ?? since));
			this.#endedAt.delete(zone);
		}

		const now = this.clock.now();
		for (const [zone, endedAt] of ended.length === 0 ? [] : this.#endedAt) {
			if (now - endedAt > returnRetentionMs) {
				this.#endedAt.delete(zone);
			}
		}

		for (const zone of ended) {
			this.#since.delete(zone);
			this.#endedAt.set(zone, now);
		}

		if (begun.length > 0 || ended.length > 0) {
			for (const listener of this.#listeners) {
				listener({
					begun, ended, source, version,
				});
			}
		}
	}
}
