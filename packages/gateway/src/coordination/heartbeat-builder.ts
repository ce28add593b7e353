import {type AccountUsage, type ClockReading, type PrimaryEvidence} from '@chicorysaddle/decisions';
import {type LogPosition} from '@chicorysaddle/model';
import {
	type CompactPosition, type CoordinatorReport, type Heartbeat, type HeartbeatDelta,
} from '@chicorysaddle/protocol/coordination';
import {type ConfigurationView} from '../configuration/index.js';
import {type Dispatcher} from '../dispatch/index.js';
import {type EvacuationRegistry} from '../evacuation/index.js';
import {type Forwarding} from '../forwarding/index.js';
import {
	type AdjustableSettingsSource, type Clock, getVersionInEra, type PeerLink,
} from '../ports/index.js';
import {type TermRegistry} from '../terms/index.js';
import {type GatewayIdentity} from './gateway-identity.js';
import {announcedFeatures, type PeerFeature} from './peer-features.js';

/** Maximum number of sent heartbeats that are kept for matching with reports. */
const maxPendingHeartbeats = 8;

/** Capacity that a registration does not state. */
const fullCapacity = 1;

/** Resolution of the ages in messages, in milliseconds: a position is new only if it was observed later than the known one by more. */
const ageResolutionMs = 0.2;

/** Dependencies of a `HeartbeatBuilder`. */
export type HeartbeatBuilderDependencies = {
	readonly identity: GatewayIdentity;
	readonly terms: TermRegistry;
	readonly configuration: ConfigurationView;
	readonly dispatcher: Dispatcher;
	readonly evacuations?: EvacuationRegistry;
	readonly clock: Clock;
	readonly getSettings: AdjustableSettingsSource;
	/** Returns the state of a transfer of the configuration; undefined if there is none to state. */
	readonly getConfigurationTransfer: () => Heartbeat['configurationTransfer'];
	/** Returns the usage of accounts for a coordinator that may not know it. */
	readonly createUsageReport: () => readonly AccountUsage[];
	/** Absent where no operation is forwarded. */
	readonly forwarding?: Forwarding | undefined;
};

/** What the coordinator knows from the heartbeats on a link. */
type SentState = {
	/** Sequence number of the last heartbeat on the link; undefined if the next one has to be complete. */
	sequence: number | undefined;
	/** Monotonic time at which the position that the coordinator knows of a group was observed, in milliseconds. */
	readonly positionTimes: Map<string, number>;
	evidence: ReadonlyMap<string, PrimaryEvidence>;
	revisions: ReadonlyMap<string, number>;
	/** Registration in the last complete heartbeat, as text. */
	registration: string;
};

/** What a heartbeat may contain, at one moment. */
type HeartbeatContent = {
	readonly now: number;
	readonly evidence: ReadonlyMap<string, PrimaryEvidence>;
	readonly revisions: ReadonlyMap<string, number>;
};

/** Creates the heartbeats of this VM and records when each was created. */
export class HeartbeatBuilder {
	#sequence = 0;
	/** Newest heartbeats, which a report may still answer. */
	#pendingHeartbeats: Array<{readonly sequence: number; readonly at: ClockReading}> = [];
	/** Timestamp of the last report on the link, sent back in heartbeats so that the coordinator can convert times to its own clock. */
	#echo: {readonly stampMs: number; readonly receivedAt: number} | undefined;
	#link: PeerLink | undefined;
	#acceptsDeltas = false;
	#sent: SentState = createSentState();

	readonly #startedAt: number;

	constructor(private readonly dependencies: HeartbeatBuilderDependencies) {
		this.#startedAt = dependencies.clock.now();
	}

	/**
	 * Creates a heartbeat for a link: what changed since the last one on it, or a complete one if there is none or the coordinator reads no deltas.
	 * It has to be sent at once, since it contains ages as of now.
	 * @param instanceRevision - Revision of the instance list that this VM last received.
	 */
	createHeartbeat(link: PeerLink, instanceRevision: string | undefined): Heartbeat | HeartbeatDelta {
		this.#setLink(link);
		const content = this.#startHeartbeat();
		const base = this.#acceptsDeltas ? this.#sent.sequence : undefined;
		const hasRemovals = hasMissingKey(this.#sent.evidence, content.evidence) || hasMissingKey(this.#sent.revisions, content.revisions);
		const registration = JSON.stringify(this.#createRegistration());
		const heartbeat = base === undefined || hasRemovals || registration !== this.#sent.registration ? this.#createComplete(content, instanceRevision) : this.#createDelta(base, content, instanceRevision);
		this.#sent = {
			...this.#sent, sequence: heartbeat.sequence, evidence: content.evidence, revisions: content.revisions, registration,
		};
		return heartbeat;
	}

	/** Creates the heartbeat of the coordinator itself, which is complete. */
	createOwnHeartbeat(instanceRevision: string | undefined): Heartbeat {
		this.#setLink(undefined);
		return this.#createComplete(this.#startHeartbeat(), instanceRevision);
	}

	/** Makes the next heartbeat a complete one, after the coordinator requested it. */
	requireComplete(): void {
		this.#sent = createSentState();
	}

	/** Returns whether this VM is still draining the writes of a closing term. */
	isDraining(): boolean {
		return this.dependencies.terms.getTerms().some(term => this.dependencies.terms.getDrainedRevision(term.group) !== term.revision);
	}

	/** Records a report; returns the time of the heartbeat that it answers, undefined if it answers none of the last ones. */
	recordReport(report: CoordinatorReport): ClockReading | undefined {
		const at = this.#pendingHeartbeats.find(heartbeat => heartbeat.sequence === report.sequence)?.at;
		if (at === undefined) {
			// The positions of this report cannot be used, so its time stamp must not acknowledge them.
			return undefined;
		}

		this.#echo = {stampMs: report.stampMs, receivedAt: this.dependencies.clock.now()};
		this.#acceptsDeltas = report.acceptsDeltas === true;
		for (const {0: group, 3: ageMs} of report.compactPositions ?? []) {
			this.#recordKnownPosition(group, at.monotonicMs - ageMs);
		}

		return at;
	}

	#setLink(link: PeerLink | undefined): void {
		if (link !== this.#link) {
			// The clock of another coordinator differs, so its time stamps are not sent back to this one.
			this.#link = link;
			this.#echo = undefined;
			this.#acceptsDeltas = false;
			this.#sent = createSentState();
		}
	}

	/** Starts a heartbeat: takes the next sequence number and collects what it may contain. */
	#startHeartbeat(): HeartbeatContent {
		const {terms, clock} = this.dependencies;
		const now = clock.now();
		this.#sequence += 1;
		this.#pendingHeartbeats = [...this.#pendingHeartbeats, {sequence: this.#sequence, at: terms.getClockReading()}].slice(-maxPendingHeartbeats);
		return {
			now, evidence: this.#collectEvidence(now), revisions: new Map(terms.getTerms().map(({group}) => [group, terms.getDrainedRevision(group)])),
		};
	}

	#createComplete({now, evidence, revisions}: HeartbeatContent, instanceRevision: string | undefined): Heartbeat {
		const {identity, configuration} = this.dependencies;
		const usage = this.dependencies.createUsageReport();
		const positions = new Map<string, Heartbeat['positions'][string]>();
		for (const {group, position, observedAt} of this.#collectPositions(now)) {
			positions.set(group, {position, ageMs: now - observedAt});
			this.#recordSentPosition(group, observedAt);
		}

		return {
			kind: 'heartbeat',
			vm: identity.vm,
			incarnation: identity.incarnation,
			sequence: this.#sequence,
			positions: Object.fromEntries(positions),
			evidence: encodeEvidence(evidence, now),
			revisions: Object.fromEntries([...revisions].map(([group, revision]) => [group, getVersionInEra(revision)])),
			storeRevisions: Object.fromEntries(revisions),
			configurationVersion: configuration.version,
			evacuationVersion: getStatedVersion(this.dependencies.evacuations),
			instanceRevision,
			configurationTransfer: this.dependencies.getConfigurationTransfer(),
			echo: this.#createEcho(now),
			writesPerS: this.#collectWrites(now),
			loads: this.dependencies.dispatcher.admission.createLoads(),
			readsCompactReports: true,
			registration: this.#createRegistration(),
			memberRevision: this.dependencies.forwarding?.memberRevision,
			uptimeMs: now - this.#startedAt,
			accountUsage: usage.map(({account, admitted, counts}) => [account, [...admitted], [...counts]]),
			statedUsage: usage.flatMap(({account, stated}) => stated === undefined ? [] : [[account, stated.used, now - stated.at]]),
		};
	}

	#createRegistration(): NonNullable<Heartbeat['registration']> {
		const {identity, forwarding, getSettings} = this.dependencies;
		const {capacity} = getSettings();
		const gateway = forwarding?.getRegistration();
		const features: PeerFeature[] = [...announcedFeatures, ...(gateway === undefined ? [] : ['forwarding' as const])];
		return {
			zone: identity.zone, address: identity.peerAddress, region: identity.regions.get(identity.zone), features: features.length === 0 ? undefined : features,
			capacity: capacity === fullCapacity ? undefined : capacity, isDraining: gateway?.isDraining,
		};
	}

	#createDelta(base: number, {now, evidence, revisions}: HeartbeatContent, instanceRevision: string | undefined): HeartbeatDelta {
		const positions: CompactPosition[] = [];
		for (const {group, position, observedAt} of this.#collectPositions(now)) {
			if (observedAt > (this.#sent.positionTimes.get(group) ?? Number.NEGATIVE_INFINITY) + ageResolutionMs) {
				positions.push([group, position.term, position.offset, now - observedAt]);
				this.#recordSentPosition(group, observedAt);
			}
		}

		return {
			kind: 'heartbeat-delta',
			base,
			sequence: this.#sequence,
			positions,
			evidence: encodeEvidence(new Map([...evidence].filter(([group, item]) => !isSameEvidence(item, this.#sent.evidence.get(group)))), now),
			revisions: Object.fromEntries([...revisions].filter(([group, revision]) => revision !== this.#sent.revisions.get(group))),
			configurationVersion: this.dependencies.configuration.version,
			evacuationVersion: getStatedVersion(this.dependencies.evacuations),
			instanceRevision,
			configurationTransfer: this.dependencies.getConfigurationTransfer(),
			memberRevision: this.dependencies.forwarding?.memberRevision,
			echo: this.#createEcho(now),
			writesPerS: this.#collectWrites(now),
			loads: this.dependencies.dispatcher.admission.createLoads(),
		};
	}

	#createEcho(now: number): Heartbeat['echo'] {
		return this.#echo === undefined ? undefined : {stampMs: this.#echo.stampMs, ageMs: now - this.#echo.receivedAt};
	}

	#collectWrites(now: number): Heartbeat['writesPerS'] {
		return this.dependencies.identity.regions.size === 0 ? undefined : this.dependencies.terms.writeRates.getRates(now);
	}

	#recordSentPosition(group: string, observedAt: number): void {
		// Without an echo the coordinator cannot date the position and ignores it.
		if (this.#echo !== undefined) {
			this.#recordKnownPosition(group, observedAt);
		}
	}

	#recordKnownPosition(group: string, observedAt: number): void {
		this.#sent.positionTimes.set(group, Math.max(this.#sent.positionTimes.get(group) ?? Number.NEGATIVE_INFINITY, observedAt));
	}

	#collectPositions(now: number): Array<{readonly group: string; readonly position: LogPosition; readonly observedAt: number}> {
		const {terms} = this.dependencies;
		return terms.getTerms().flatMap(({group}) => {
			const newest = terms.getNewestPosition(group);
			return newest === undefined ? [] : [{group, position: newest.position, observedAt: now - newest.ageMs}];
		});
	}

	#collectEvidence(now: number): ReadonlyMap<string, PrimaryEvidence> {
		const {terms, dispatcher, identity} = this.dependencies;
		return new Map(terms.getTerms().flatMap(({group, primaryId}) => {
			const evidence = dispatcher.getTracker(primaryId)?.createEvidence(identity.vm, now);
			return evidence === undefined ? [] : [[group, evidence] as const];
		}));
	}
}

/** Returns the version of the evacuated zones that a heartbeat states, undefined if this VM never knew of an evacuation. */
function getStatedVersion(evacuations: EvacuationRegistry | undefined): number | undefined {
	return evacuations === undefined || evacuations.statedVersion === 0 ? undefined : evacuations.statedVersion;
}

function createSentState(): SentState {
	return {
		sequence: undefined, positionTimes: new Map(), evidence: new Map(), revisions: new Map(), registration: '',
	};
}

function hasMissingKey(before: ReadonlyMap<string, unknown>, after: ReadonlyMap<string, unknown>): boolean {
	return [...before.keys()].some(key => !after.has(key));
}

function isSameEvidence(item: PrimaryEvidence, other: PrimaryEvidence | undefined): boolean {
	return item.instanceId === other?.instanceId && item.answeredAt === other.answeredAt && item.failingSince === other.failingSince && item.isRefused === other.isRefused;
}

function encodeEvidence(evidence: ReadonlyMap<string, PrimaryEvidence>, now: number): Heartbeat['evidence'] {
	return Object.fromEntries([...evidence].map(([group, item]) => [group, {
		instanceId: item.instanceId,
		answeredAgoMs: item.answeredAt === undefined ? undefined : now - item.answeredAt,
		failingForMs: item.failingSince === undefined ? undefined : now - item.failingSince,
		isRefused: item.isRefused || undefined,
	}]));
}
