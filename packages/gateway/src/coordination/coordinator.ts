import {
	chooseFollowers, chooseOfferedMembers, isMuchLarger, LoadCollector, type OfferedMember, type PrimaryEvidence, type SilentMembers,
} from '@chicorysaddle/decisions';
import {
	type CoordinatorReport, type GroupTermMessage, type Heartbeat, type HeartbeatDelta, type IssuedUsageMessage, type PositionReport, type TokenDemands, type TokenGrants,
} from '@chicorysaddle/protocol/coordination';
import {createSummedLoadMessages, parseQueueLoads} from '../admission/index.js';
import {type ConfigurationView} from '../configuration/index.js';
import {createEvacuationReport, type EvacuationRegistry} from '../evacuation/index.js';
import {MemberFeed, type MemberReport} from '../forwarding/member-feed.js';
import {type Instance, isCold} from '../instances/index.js';
import {type EventLog} from '../observability/index.js';
import {
	type Clock, createStoreVersion, getEra, getVersionInEra, type PeerLink,
} from '../ports/index.js';
import {type GroupTerm, termLeaseMs, type TermRegistry} from '../terms/index.js';
import {AccountTokens} from './account-tokens.js';
import {type ConfigurationAssigner, type ConfigurationAssignment, noAssignment} from './configuration-assigner.js';
import {type CoordinatorLease} from './coordinator-lease.js';
import {InstanceFeed} from './instance-feed.js';
import {MemberState} from './member-state.js';
import {PositionFeed} from './position-feed.js';
import {type MemberContent, type Registration} from './shared-rows.js';

/** Time without a heartbeat after which a VM counts as silent and its evidence is ignored, in milliseconds. */
const heartbeatTimeoutMs = 1500;

/** Time without a heartbeat or a request for tokens of any other VM after which this one counts as cut off, in milliseconds: two heartbeats of each are late. */
const cutOffTimeoutMs = 900;

/** Number of followers: VMs besides the coordinator that read the store, so that a coordinator whose calls the store rejects still learns of changes. */
const followerCount = 2;

/** Number of VMs that are asked at once to take over as the coordinator: enough that one of them reaches the store when it turns away a third of the VMs. */
const offeredMemberCount = 8;

/** Safety margin when waiting for a lease to expire, in milliseconds. */
const leaseMarginMs = 50;

/** Time for which the sets of silent VMs and of followers are kept before they are computed again, in milliseconds: a tick of the main loop. */
const memberSetTtlMs = 50;

/** Sets of VMs that many messages need. */
type MemberSets = {
	readonly computedAt: number;
	readonly followers: ReadonlySet<string>;
	/** VMs that may use tokens without being heard. */
	readonly silent: readonly string[];
	readonly count: number;
};

/** A VM that could take over as the coordinator. */
type OfferableMember = OfferedMember & {readonly vm: string; readonly link: PeerLink};

/** Dependencies of a `Coordinator`. */
export type CoordinatorDependencies = {
	readonly vm: string;
	readonly coordinatorLease: CoordinatorLease;
	readonly terms: TermRegistry;
	readonly configuration: ConfigurationView;
	readonly configurationAssigner: ConfigurationAssigner;
	readonly evacuations?: EvacuationRegistry;
	readonly clock: Clock;
	readonly log: EventLog;
	/** Window over which the limits of client accounts apply, in milliseconds. */
	readonly limitWindowMs: number;
	/** Whether reports list the VMs that can be gateways; absent means false. */
	readonly isForwardingEnabled?: boolean;
};

/** Tracks the VMs of the cluster, answers their heartbeats and divides the shared limits between them. */
export class Coordinator {
	readonly #members = new Map<string, MemberState>();
	readonly #membersByLink = new WeakMap<PeerLink, MemberState>();
	#tokens: AccountTokens;
	/** Monotonic time at which this VM became the coordinator for the members and the tokens that it has, in milliseconds. */
	#tenureStartedAt: number;
	readonly #positions: PositionFeed;
	#memberSets: MemberSets | undefined;
	#nextOfferIndex = 0;
	/** Monotonic time at which this VM learned that the store returned from an older copy, in milliseconds. */
	#storeRestoredAt = Number.NEGATIVE_INFINITY;
	/** Incarnations of the VMs that are registered in the store, by name. */
	#registeredIncarnations: ReadonlyMap<string, string> = new Map();
	readonly #instances = new InstanceFeed();
	/** Whether VMs may be waiting for a source of the configuration that has become available. */
	#isConfigurationPushDue = false;
	#hasColdInstance = false;
	readonly #memberFeed = new MemberFeed();
	readonly #loads = new LoadCollector();

	constructor(private readonly dependencies: CoordinatorDependencies) {
		this.#tenureStartedAt = dependencies.coordinatorLease.acquiredAt;
		this.#tokens = new AccountTokens(dependencies, this.#tenureStartedAt);
		this.#positions = new PositionFeed(dependencies.terms, dependencies.clock);
	}

	/** Number of VMs that may hold a term lease or tokens, including this one. */
	get memberCount(): number {
		return this.#getVms().size;
	}

	/** Records that the store returned from an older copy, which may lack the rows of VMs that hold term leases. */
	recordStoreRestored(): void {
		this.#storeRestoredAt = this.dependencies.clock.now();
	}

	/** Sets the VMs that are registered in the store. */
	setRegisteredMembers(rows: ReadonlyMap<string, Registration>): void {
		this.#beginTenureIfNew();
		this.#registeredIncarnations = new Map([...rows].map(([vm, {incarnation}]) => [vm, incarnation]));
	}

	/** Returns the connected VMs that are not registered in the store with their current process and leave that to the coordinator. */
	getUnregisteredMembers(): Array<{readonly vm: string; readonly content: MemberContent}> {
		return [...this.#members.values()].flatMap(({vm, incarnation, registration, link}) =>
			registration === undefined || link?.isOpen === false || this.#registeredIncarnations.get(vm) === incarnation ? [] : [{vm, content: {...registration, incarnation}}]);
	}

	/**
	 * Returns the other VMs, registered or once connected, that have sent no heartbeat for longer than a given time.
	 * @param silentMs - Time without a heartbeat, in milliseconds; it counts at the earliest from when this VM became the coordinator.
	 */
	getSilentVms(silentMs: number): string[] {
		return this.#filterSilentVms(silentMs, member => member.heartbeatAt);
	}

	/** Removes the state of a VM that has left the cluster. */
	removeMember(vm: string): void {
		this.#members.delete(vm);
		this.#loads.removeVm(vm);
		this.#tokens.removeVm(vm);
	}

	/**
	 * Records a complete heartbeat and returns the report that answers it.
	 * @param link - Link to the sender, undefined for the coordinator's own heartbeat.
	 */
	handleHeartbeat(heartbeat: Heartbeat, link: PeerLink | undefined): CoordinatorReport {
		this.#beginTenureIfNew();
		const known = this.#members.get(heartbeat.vm);
		const isDelayed = heartbeat.incarnation === known?.incarnation && heartbeat.sequence < known.sequence;
		if (!isDelayed) {
			if (known !== undefined && heartbeat.incarnation !== known.incarnation) {
				this.#tokens.recordRestart(heartbeat.vm, known.closedAt === undefined ? undefined : known.closedAt - known.heartbeatAt);
			}

			this.#tokens.recordUsage(heartbeat);

			this.#isConfigurationPushDue ||= heartbeat.configurationVersion !== known?.configurationVersion;
			const member = new MemberState(heartbeat, link, revision => createStoreVersion(getEra(this.dependencies.coordinatorLease.version), revision), this.dependencies.clock.now());
			this.#members.set(heartbeat.vm, member);
			this.#loads.recordLoads(heartbeat.vm, parseQueueLoads(heartbeat.loads), this.dependencies.clock.now());
			if (link !== undefined) {
				this.#membersByLink.set(link, member);
			}
		}

		this.#recordPositions(heartbeat, Object.entries(heartbeat.positions));
		return this.createReport(heartbeat.vm, heartbeat.sequence);
	}

	/**
	 * Records the changes since the last heartbeat on a link.
	 * @returns The report that answers it; undefined if a complete heartbeat is needed, because the last one is not known.
	 */
	handleHeartbeatDelta(delta: HeartbeatDelta, link: PeerLink): CoordinatorReport | undefined {
		this.#beginTenureIfNew();
		const member = this.#membersByLink.get(link);
		this.#isConfigurationPushDue ||= delta.configurationVersion !== member?.configurationVersion || delta.configurationTransfer?.failedSource !== undefined;
		if (member === undefined || this.#members.get(member.vm) !== member || !member.applyDelta(delta, this.dependencies.clock.now())) {
			return undefined;
		}

		this.#loads.recordLoads(member.vm, parseQueueLoads(delta.loads), this.dependencies.clock.now());
		this.#recordPositions(delta, delta.positions.map(([group, term, offset, ageMs]) => [group, {position: {term, offset}, ageMs}]));
		return this.createReport(member.vm, delta.sequence);
	}

	/** Records that a link was closed by the VM at its other end. */
	handleClosed(link: PeerLink): void {
		this.#membersByLink.get(link)?.recordClosed(this.dependencies.clock.now());
	}

	/** Returns the VMs that could take over as the coordinator and have much more capacity than this one. */
	getLargerMembers(capacity: number): ReadonlySet<string> {
		return new Set(this.#getOfferableMembers().filter(member => isMuchLarger(member, {capacity})).map(({vm}) => vm));
	}

	/** Asks some of the other VMs whether one of them can take over as the coordinator, those with the most capacity first, and others the next time; each that is asked reads the store. */
	offerHandOver(): void {
		const asked = chooseOfferedMembers(this.#getOfferableMembers(), this.#nextOfferIndex, offeredMemberCount);
		for (const {link} of asked) {
			link.send({kind: 'offer', step: 'ask', usage: undefined});
		}

		this.#nextOfferIndex += asked.length;
	}

	/** Asks the VMs that have much more capacity than this one whether one of them can take over as the coordinator. */
	offerToLargerMembers(capacity: number): void {
		const larger = this.getLargerMembers(capacity);
		for (const {link} of this.#getOfferableMembers().filter(({vm}) => larger.has(vm)).slice(0, offeredMemberCount)) {
			link.send({kind: 'offer', step: 'ask', usage: undefined});
		}
	}

	/** Sends every connected VM the peer address of the new coordinator. */
	announceSuccessor(address: string): void {
		for (const member of this.#members.values()) {
			member.link?.send({kind: 'not-coordinator', coordinator: address});
		}
	}

	/** Sends every connected VM a report of the current state. */
	pushReports(): void {
		for (const [vm, member] of this.#members) {
			member.link?.send(this.createReport(vm, undefined));
		}
	}

	/** Sends a report to each VM that waited for a source of the configuration, if a VM has obtained it or has lost its source since the last call. */
	pushConfigurationSources(): void {
		if (!this.#isConfigurationPushDue) {
			return;
		}

		this.#isConfigurationPushDue = false;
		const {configurationAssigner} = this.dependencies;
		for (const [vm, member] of this.#members) {
			if (configurationAssigner.isTree && configurationAssigner.isWaiting(member) && member.link?.isOpen === true && this.#createConfigurationAssignment(member).configurationSource !== '') {
				member.link.send(this.createReport(vm, undefined));
			}
		}
	}

	/**
	 * Creates a report of the current state for a VM, without the terms and instances that the VM already has.
	 * @param sequence - Sequence number of the heartbeat that the report answers, undefined if it answers none.
	 */
	createReport(vm: string, sequence: number | undefined): CoordinatorReport {
		const terms = this.dependencies.terms.getTerms();
		const member = this.#members.get(vm);
		const isCompact = member?.readsCompactReports === true;
		const areTermsKnown = terms.every(term => member?.getRevision(term.group) === term.revision);
		return {
			kind: 'report',
			sequence,
			stampMs: this.dependencies.clock.now(),
			token: this.dependencies.coordinatorLease.token,
			dutyRevision: isCompact ? this.dependencies.coordinatorLease.version : getVersionInEra(this.dependencies.coordinatorLease.version),
			terms: areTermsKnown ? undefined : terms.map(term => createTermMessage(term, isCompact)),
			isFollower: this.#getMemberSets().followers.has(vm),
			...this.#instances.createReport(member?.instanceRevision, isCompact),
			positions: isCompact ? {} : this.#createPositions(),
			compactPositions: isCompact ? this.#positions.getPositionsSince(member.acknowledgedStampMs) : undefined,
			configurationVersion: this.dependencies.configuration.version,
			...(isCompact ? this.#createConfigurationAssignment(member) : noAssignment),
			members: this.#getMemberSets().count,
			...createEvacuationReport(this.dependencies.evacuations, member, sequence !== undefined),
			memberRank: this.#hasColdInstance ? this.#getRank(vm) : undefined,
			loads: isCompact ? createSummedLoadMessages(this.#loads.getSums(this.#getMemberSets().count, this.dependencies.clock.now())) : undefined,
			acceptsDeltas: isCompact || undefined,
			...this.#createMemberReport(member),
		};
	}

	/** Creates the part of a report that lists the VMs that can be gateways; empty for a VM that has not announced that it reads it. */
	#createMemberReport(member: MemberState | undefined): MemberReport {
		if (member?.canForward !== true || this.dependencies.isForwardingEnabled !== true) {
			return {memberRevision: undefined, memberList: undefined, memberChanges: undefined};
		}

		this.#getMemberSets();
		return this.#memberFeed.createReport(`${this.dependencies.vm}.${this.dependencies.coordinatorLease.token}`, member.memberRevision);
	}

	#updateMemberFeed(now: number): void {
		this.#memberFeed.updateList([...this.#members.values()].flatMap(({vm, canForward, registration, link, heartbeatAt}) =>
			canForward && registration !== undefined && link?.isOpen !== false && now - heartbeatAt <= heartbeatTimeoutMs
				? [{
					vm, zone: registration.zone, region: registration.region, address: registration.address, capacity: registration.capacity ?? 1, isDraining: registration.isDraining,
				}]
				: []));
	}

	/**
	 * Sets the instances that reports contain.
	 * @param now - Monotonic time, in milliseconds.
	 */
	setInstances(entries: readonly Instance[], now: number): void {
		this.#hasColdInstance = entries.some(entry => isCold(entry));
		this.#instances.addList(`${this.dependencies.coordinatorLease.token}.${Math.round(now)}`, entries);
	}

	/** Grants a VM tokens of the accounts in its demands. */
	issueTokens(vm: string, demands: TokenDemands): TokenGrants {
		this.#beginTenureIfNew();
		this.#members.get(vm)?.recordTokenRequest(this.dependencies.clock.now());
		return this.#tokens.issueTokens(vm, demands, this.#getSilentMembers());
	}

	/** Returns what this VM knows of the usage of accounts, for the VM that takes over as the coordinator. */
	exportUsage(): IssuedUsageMessage {
		this.#beginTenureIfNew();
		return this.#tokens.exportUsage(this.#getSilentMembers());
	}

	/** Starts from the usage of accounts that the VM knew from which this one takes over. */
	importUsage(usage: IssuedUsageMessage): void {
		this.#beginTenureIfNew();
		this.#tokens.importUsage(usage);
	}

	#getOfferableMembers(): OfferableMember[] {
		return [...this.#members.values()].flatMap(({vm, link, registration}) => link?.isOpen === true && registration?.isDraining !== true ? [{vm, link, capacity: registration?.capacity}] : []);
	}

	#getSilentMembers(): SilentMembers {
		const {silent, count} = this.#getMemberSets();
		return {silent, members: count};
	}

	/** Discards the members and the tokens of an earlier tenure as the coordinator: VMs may have left since, and other coordinators have granted tokens. */
	#beginTenureIfNew(): void {
		const {acquiredAt} = this.dependencies.coordinatorLease;
		if (this.#tenureStartedAt !== acquiredAt) {
			this.#tenureStartedAt = acquiredAt;
			this.#tokens = new AccountTokens(this.dependencies, acquiredAt);
			this.#members.clear();
			this.#memberSets = undefined;
		}
	}

	/** Returns the recent evidence of the other VMs on a group's primary, with times converted to this VM's clock. */
	getPrimaryEvidence(group: string): PrimaryEvidence[] {
		const now = this.dependencies.clock.now();
		return [...this.#members].flatMap(([vm, member]) => {
			const evidence = member.getEvidence(group);
			return vm === this.dependencies.vm || evidence === undefined || now - member.heartbeatAt > heartbeatTimeoutMs ? [] : [evidence];
		});
	}

	/** Sums the writes per second that VMs with a recent heartbeat send to a group's primary, by region of the VM; empty where there is one region. */
	sumWritesByRegion(group: string): ReadonlyMap<string, number> {
		const now = this.dependencies.clock.now();
		const sums = new Map<string, number>();
		for (const member of this.#members.values()) {
			const region = member.registration?.region;
			if (region !== undefined && now - member.heartbeatAt <= heartbeatTimeoutMs) {
				sums.set(region, (sums.get(region) ?? 0) + member.getWritesPerS(group));
			}
		}

		return sums;
	}

	/** Returns the number of VMs with a recent heartbeat, including this one. */
	countLiveVms(): number {
		const now = this.dependencies.clock.now();
		return [...this.#members].filter(([vm, member]) => vm !== this.dependencies.vm && now - member.heartbeatAt <= heartbeatTimeoutMs).length + 1;
	}

	/**
	 * Returns whether no VM still acts on a revision of a group's term older than the given one: all VMs have acknowledged it, or every term lease from before it has expired.
	 * @param closedAt - Monotonic time by which the store had acknowledged the revision, in milliseconds.
	 * @param registeredVms - VMs that the store listed after that.
	 */
	isTermClosed(group: string, revision: number, closedAt: number, registeredVms: ReadonlySet<string>): boolean {
		const now = this.dependencies.clock.now();
		if (now < Math.max(this.dependencies.coordinatorLease.acquiredAt, this.#storeRestoredAt) + termLeaseMs + leaseMarginMs) {
			return false;
		}

		const others = new Set([...registeredVms, ...this.#members.keys()]);
		others.delete(this.dependencies.vm);
		const isAcknowledged = [...others].every(vm => (this.#members.get(vm)?.getRevision(group) ?? 0) >= revision);
		return (isAcknowledged && this.dependencies.terms.isDrained(group)) || now >= closedAt + termLeaseMs + leaseMarginMs;
	}

	#recordPositions({echo}: Heartbeat | HeartbeatDelta, positions: ReadonlyArray<readonly [string, PositionReport]>): void {
		if (echo === undefined) {
			return;
		}

		// The sender created the heartbeat `ageMs` after it received this timestamp of the coordinator, so not before this time.
		const sentAt = echo.stampMs + echo.ageMs;
		for (const [group, {position, ageMs}] of positions) {
			this.dependencies.terms.recordPosition(group, position, Math.min(sentAt, this.dependencies.clock.now()) - ageMs);
		}
	}

	#createPositions(): CoordinatorReport['positions'] {
		return Object.fromEntries(this.#positions.getPositionsSince(undefined).map(([group, term, offset, ageMs]) => [group, {position: {term, offset}, ageMs}]));
	}

	#createConfigurationAssignment(member: MemberState): ConfigurationAssignment {
		if (member.configurationVersion >= this.dependencies.configuration.version) {
			return noAssignment;
		}

		const now = this.dependencies.clock.now();
		const members = [...this.#members.values()].filter(other => other.registration !== undefined && other.link?.isOpen !== false && now - other.heartbeatAt <= heartbeatTimeoutMs);
		return this.dependencies.configurationAssigner.createAssignment(member, members, this.#getMemberSets().followers);
	}

	/** Chooses the followers, in other zones if there are others; fewer where the configuration is distributed in parts. */
	#chooseFollowers(liveVms: readonly string[]): string[] {
		const {configurationAssigner, vm} = this.dependencies;
		const zone = this.#members.get(vm)?.registration?.zone;
		return configurationAssigner.isTree
			? configurationAssigner.chooseFollowers(liveVms.map(name => this.#members.get(name)!), zone)
			: chooseFollowers(liveVms.map(name => ({vm: name, zone: this.#members.get(name)?.registration?.zone ?? ''})), zone, followerCount);
	}

	/** Returns the rank of a VM among all VMs, by name. */
	#getRank(vm: string): number {
		return [...this.#getVms()].toSorted().indexOf(vm);
	}

	/** Returns the VMs that may hold a term lease or tokens, including this one. */
	#getVms(): Set<string> {
		return new Set([...this.#registeredIncarnations.keys(), ...this.#members.keys(), this.dependencies.vm]);
	}

	/** Returns the VMs that may use tokens without being heard; all at once if this VM is the one that is cut off. */
	#getUnheardVms(): string[] {
		const unheard = this.#filterSilentVms(cutOffTimeoutMs, member => member.heardAt);
		return unheard.length === this.memberCount - 1 ? unheard : this.getSilentVms(heartbeatTimeoutMs);
	}

	#filterSilentVms(silentMs: number, getHeardAt: (member: MemberState) => number): string[] {
		const now = this.dependencies.clock.now();
		const known = new Set([...this.#registeredIncarnations.keys(), ...this.#members.keys()]);
		return [...known].filter(vm => {
			const member = this.#members.get(vm);
			return vm !== this.dependencies.vm && now - Math.max(member === undefined ? 0 : getHeardAt(member), this.dependencies.coordinatorLease.acquiredAt) > silentMs;
		});
	}

	#getMemberSets(): MemberSets {
		const now = this.dependencies.clock.now();
		if (this.#memberSets === undefined || now - this.#memberSets.computedAt >= memberSetTtlMs) {
			const liveVms = [...this.#members].filter(([name, member]) => name !== this.dependencies.vm && now - member.heartbeatAt <= heartbeatTimeoutMs).map(([name]) => name).toSorted();
			this.#memberSets = {
				computedAt: now,
				followers: new Set(this.#chooseFollowers(liveVms)),
				// A closed link means that the process of the VM has ended; a VM that is only silent may still be running and using its tokens.
				silent: this.#getUnheardVms().filter(name => this.#members.get(name)?.link?.isOpen !== false),
				count: this.memberCount,
			};
			this.#updateMemberFeed(now);
		}

		return this.#memberSets;
	}
}

/** @param isCompact - Whether the receiver reads versions with the store's era. */
function createTermMessage({pendingOrders = [], ...term}: GroupTerm, isCompact: boolean): GroupTermMessage {
	return {...term, revision: isCompact ? term.revision : getVersionInEra(term.revision), pendingOrders: pendingOrders.length === 0 ? undefined : [...pendingOrders]};
}
