import {type ClockReading} from '@chicorysaddle/decisions';
import {
	type Heartbeat, type parsePeerMessage, type CoordinatorReport, type TokenGrants, type TokenDemands,
} from '@chicorysaddle/protocol/coordination';
import {type ConfigurationKeeper, type ConfigurationView} from '../configuration/index.js';
import {type Dispatcher} from '../dispatch/index.js';
import {type InstanceKeeper, type InstanceRegistry} from '../instances/index.js';
import {type AccountLimiter} from '../limits/index.js';
import {type DecisionLog} from '../observability/index.js';
import {
	type AdjustableSettingsSource, type Clock, type CoordinationTable, type PeerLink, type PeerListening, type PeerNetwork,
} from '../ports/index.js';
import {type TermRegistry} from '../terms/index.js';
import {type Coordinator} from './coordinator.js';
import {type DutyKeeper} from './duty-keeper.js';
import {type GatewayIdentity} from './gateway-identity.js';
import {HeartbeatWriter} from './heartbeat-writer.js';
import {LagMonitor} from './lag-monitor.js';
import {type Promoter} from './promoter.js';
import {
	type DutyRow, getMemberKey, parseSharedRows, type SharedState,
} from './shared-rows.js';
import {TokenChannel} from './token-channel.js';

/** Interval of the loop, milliseconds. */
const tickMs = 50;

/** Interval of heartbeats, milliseconds: a term lease spans several. */
const heartbeatMs = 400;

/** Least time between two heartbeats, milliseconds. */
const hastyHeartbeatMs = 20;

/** Time without an answer after which the store is asked instead, milliseconds. */
const coordinatorSilentMs = 900;

/** Interval at which the store is asked while no coordinator answers, milliseconds. */
const storePollMs = 400;

/** Interval at which it is asked while it does not answer, milliseconds: as long as a call may take. */
const storeAwayPollMs = 800;

/** Time by which the VM of least capacity waits longer to coordinate, milliseconds. */
const weakestWaitMs = 1000;

/** Time without renewal after which a coordinator looks for a VM that reaches the store, milliseconds. */
const offerAfterMs = 2200;

/** Time within which a VM that may take over has to reach the store, milliseconds. */
const offerTimeoutMs = 400;

/** Interval of such offers, milliseconds. */
const offerIntervalMs = 500;

/** Least time for which a coordinator stays, milliseconds. */
const leastHoldMs = 3000;

/** Time for which a VM that was too slow does not coordinate again, milliseconds. */
const restMs = 15_000;

/** Time for which a VM that follows the store waits for a version that another has, milliseconds. */
const followerPatienceMs = 300;

/** Time for which a VM that leaves goes on with a change of primary, milliseconds: a promotion with its preparation. */
const handOverMs = 2500;

/** Least time between two readings of the configuration, milliseconds: versions that follow each other quickly are read as one. */
const refreshIntervalMs = 500;

/** Time for a call to the store, milliseconds. */
const callTimeoutMs = 800;

/** Time without a heartbeat after which the coordinator drops a VM's row, milliseconds. */
const memberGoneMs = 20_000;

/** Interval at which the coordinator looks at the members, milliseconds. */
const memberCheckMs = 5000;

/** What a VM keeps its place among the others with. */
export type ClusterMemberParts = {
	readonly identity: GatewayIdentity;
	readonly duty: DutyKeeper;
	readonly coordinator: Coordinator;
	readonly promoter: Promoter;
	readonly terms: TermRegistry;
	readonly configuration: ConfigurationView;
	readonly keeper: ConfigurationKeeper;
	readonly instances: InstanceRegistry;
	readonly instanceKeeper: InstanceKeeper;
	readonly dispatcher: Dispatcher;
	readonly limiter: AccountLimiter;
	readonly table: CoordinationTable;
	readonly network: PeerNetwork;
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly getSettings: AdjustableSettingsSource;
};

/** Keeps this VM's place among the others: its leases, shares, and what it tells of itself. */
export class ClusterMember {
	#server: PeerListening | undefined;
	#timer: NodeJS.Timeout | undefined;
	#link: PeerLink | undefined;
	#linkAddress = '';
	/** Address of the coordinator as another VM told it. */
	#hint: string | undefined;
	/** Time at which such an address was last followed at once. */
	#hintedAt = Number.NEGATIVE_INFINITY;
	#linkOpenedAt = Number.NEGATIVE_INFINITY;
	#coordinator: DutyRow | undefined;
	#registeredVersion = 0;
	#isRegistered = false;
	#sentAt = Number.NEGATIVE_INFINITY;
	#answeredAt = Number.NEGATIVE_INFINITY;
	#polledAt = Number.NEGATIVE_INFINITY;
	#isPolling = false;
	/** Time at which a newer configuration was last asked for. */
	#refreshedAt = Number.NEGATIVE_INFINITY;
	#isStoreAway = false;
	/** Pause until the store is asked again. */
	#pollPauseMs = storePollMs;
	#checkedMembersAt = 0;
	#isUrgent = false;
	#isPushDue = false;
	#isLeaving = false;
	#vacantSince: number | undefined;
	#restUntil = 0;
	#offeredAt = 0;
	#isFollower = false;
	#instanceRevision: string | undefined;

	readonly #lag = new LagMonitor(tickMs);
	readonly #heartbeats: HeartbeatWriter;
	readonly #tokens: TokenChannel;

	constructor(private readonly parts: ClusterMemberParts) {
		this.#heartbeats = new HeartbeatWriter(parts);
		this.#tokens = new TokenChannel(parts.identity.vm);
		parts.terms.onChanged(() => {
			this.#isUrgent = true;
			setImmediate(() => {
				if (!parts.duty.isHeld()) {
					this.#sendHeartbeat(parts.clock.now());
				}
			});
		});
		parts.limiter.setChannel(async wants => this.#requestTokens(wants));
		parts.keeper.onApplied(() => {
			if (parts.duty.isHeld()) {
				parts.coordinator.pushReports();
			}
		});
		parts.instances.onChanged(() => {
			if (parts.duty.isHeld()) {
				this.#tellInstances();
				this.#isPushDue = true;
			}
		});
	}

	async start(): Promise<void> {
		this.#server = await this.parts.network.listen(this.parts.identity.peerAddress, link => ({
			onMessage: message => {
				this.#receiveFromPeer(link, message);
			},
			onClosed() {
				// The next heartbeat comes on another link.
			},
		}));
		this.#schedule();
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#link?.close();
		this.#server?.close();
	}

	/** Hands the coordination to another VM, unless a change of primary is under way. */
	async handOver(): Promise<void> {
		this.#isLeaving = true;
		const deadline = this.parts.clock.now() + handOverMs;
		while (this.parts.duty.isHeld() && this.parts.clock.now() < deadline) {
			// Whoever accepts goes on where this VM stops.
			this.parts.coordinator.offerDuty();
			await new Promise(resolve => {
				setTimeout(resolve, offerIntervalMs);
			});
		}

		await this.parts.duty.resign();
	}

	/** Removes this VM from the members, so that nobody waits for it. */
	async leave(): Promise<void> {
		await this.parts.duty.resign();
		if (this.#isRegistered) {
			await this.parts.table.writeSharedRows([{key: getMemberKey(this.parts.identity.vm), expectedVersion: this.#registeredVersion, value: undefined}], callTimeoutMs);
		}
	}

	#schedule(): void {
		this.#timer = setTimeout(() => {
			this.#tick();
			this.#schedule();
		}, tickMs);
	}

	#tick(): void {
		const now = this.parts.clock.now();
		this.#watchLag(now);
		this.parts.terms.watchLease();
		if (this.parts.duty.isHeld()) {
			this.#coordinate(now);
			return;
		}

		this.#sendHeartbeat(now);
		const isAlone = now - this.#answeredAt > coordinatorSilentMs;
		this.parts.instanceKeeper.setReading(isAlone);
		if (isAlone) {
			this.#instanceRevision = undefined;
			// A VM that another one named and that does not answer is forgotten.
			this.#hint = now - this.#linkOpenedAt > coordinatorSilentMs ? undefined : this.#hint;
			this.parts.keeper.setFollowing(true);
		}

		if (isAlone && now - this.#polledAt > this.#pollPauseMs && !this.#isPolling) {
			void this.#pollStore();
		}
	}

	#coordinate(now: number): void {
		this.#link?.close();
		this.#link = undefined;
		this.parts.instanceKeeper.setReading(true);
		this.parts.keeper.setFollowing(true);
		this.parts.terms.confirm(this.parts.terms.getMoment());
		if (now - this.#sentAt >= heartbeatMs) {
			this.#sentAt = now;
			this.#applyReport(this.parts.coordinator.receiveHeartbeat(this.#heartbeats.createHeartbeat(this.#instanceRevision), undefined));
		}

		if (this.#isPushDue) {
			this.#isPushDue = false;
			this.parts.coordinator.pushReports();
		}

		void this.parts.duty.renew();
		if (this.parts.duty.getUnrenewedMs() > offerAfterMs && now - this.#offeredAt > offerIntervalMs && !this.parts.promoter.isBusy) {
			this.#offeredAt = now;
			this.parts.coordinator.offerDuty();
		}

		this.parts.promoter.sweep();
		if (now - this.#checkedMembersAt > memberCheckMs) {
			this.#checkedMembersAt = now;
			void this.#checkMembers();
		}
	}

	async #checkMembers(): Promise<void> {
		const result = await this.parts.table.readSharedRows(callTimeoutMs);
		if (result.kind === 'failed') {
			return;
		}

		const {members} = parseSharedRows(result.value, this.parts.log);
		this.parts.coordinator.setRegistered(new Set(members.keys()));
		for (const vm of this.parts.coordinator.getSilent(memberGoneMs)) {
			const row = members.get(vm);
			if (row !== undefined && await this.parts.duty.writeRows([{key: getMemberKey(vm), expectedVersion: row.version, value: undefined}]) !== undefined) {
				this.parts.log.logEvent('member.removed', {member: vm, silentMs: memberGoneMs});
				this.parts.coordinator.removeMember(vm);
			}
		}
	}

	#sendHeartbeat(now: number): void {
		const address = this.#hint ?? this.#coordinator?.address ?? this.#chooseSeed(now);
		if (address === undefined || address === this.parts.identity.peerAddress) {
			return;
		}

		const interval = this.#isUrgent ? hastyHeartbeatMs : heartbeatMs;
		if (now - this.#sentAt < interval) {
			return;
		}

		this.#sentAt = now;
		if (this.#link?.isOpen !== true || this.#linkAddress !== address || now - Math.max(this.#answeredAt, this.#linkOpenedAt) > coordinatorSilentMs) {
			this.#openLink(address, now);
		}

		this.#link?.send(this.#heartbeats.createHeartbeat(this.#instanceRevision));
		// A closing term waits for this VM: it tells soon that its writes are done.
		this.#isUrgent = this.#heartbeats.isDraining();
	}

	/** Returns a VM that may know the coordinator, while the store tells nothing. */
	#chooseSeed(now: number): string | undefined {
		const seeds = this.parts.getSettings().seeds.filter(seed => seed !== this.parts.identity.peerAddress);
		return seeds.length === 0 ? undefined : seeds[Math.floor(now / coordinatorSilentMs) % seeds.length];
	}

	#openLink(address: string, now: number): void {
		this.#link?.close();
		this.#linkAddress = address;
		this.#linkOpenedAt = now;
		const link = this.parts.network.connect(address, {
			onMessage: message => {
				this.#receiveFromCoordinator(message);
			},
			onClosed() {
				// The next heartbeat opens another link.
			},
		});
		this.#link = link;
	}

	#receiveFromPeer(link: PeerLink, message: ReturnType<typeof parsePeerMessage>): void {
		switch (message.kind) {
			case 'heartbeat': {
				this.#receiveHeartbeat(link, message);
				return;
			}

			case 'token-request': {
				link.send(this.parts.duty.isHeld()
					? {kind: 'token-grant', sequence: message.sequence, grants: this.parts.coordinator.issueTokens(message.vm, message.wants)}
					: {kind: 'not-coordinator', coordinator: this.#coordinator?.address});
				return;
			}

			case 'acceptance': {
				void this.#handOverTo(link, message.vm, message.address);
				return;
			}

			case 'configuration-reply': {
				this.parts.keeper.applyEncoded(message.encoded, 'peer');
				return;
			}

			case 'configuration-request': {
				this.#sendConfiguration(link);
				return;
			}

			case 'invalid': {
				this.parts.log.logEvent('peer.invalid', {reason: message.reason});
				link.close();
				return;
			}

			case 'not-coordinator':
			case 'offer':
			case 'report':
			case 'token-grant': {
				this.parts.log.logEvent('peer.unexpected', {message: message.kind});
			}
		}
	}

	#receiveHeartbeat(link: PeerLink, heartbeat: Heartbeat): void {
		if (!this.parts.duty.isHeld()) {
			link.send({kind: 'not-coordinator', coordinator: this.#coordinator?.address});
			return;
		}

		link.send(this.parts.coordinator.receiveHeartbeat(heartbeat, link));
		if (heartbeat.configurationVersion > this.parts.configuration.version) {
			link.send({kind: 'configuration-request'});
		}
	}

	/** Stops coordinating and lets another VM go on, which has just reached the store. */
	async #handOverTo(link: PeerLink, vm: string, address: string): Promise<void> {
		if (!this.#isLeaving) {
			// The store may be back for this VM as well.
			await this.parts.duty.renewNow();
		}

		if (this.parts.duty.isHeld() && (this.#isLeaving || this.parts.duty.getUnrenewedMs() > offerAfterMs) && !this.parts.promoter.isBusy) {
			this.parts.log.logEvent('coordinator.handed-over', {to: vm, unrenewedMs: Math.round(this.parts.duty.getUnrenewedMs())});
			this.parts.duty.yieldDuty();
			link.send({kind: 'offer', step: 'take-over'});
			this.#hint = address;
			this.parts.coordinator.announceSuccessor(address);
		}
	}

	/** Answers a coordinator that the store turns away. */
	async #receiveOffer(step: 'ask' | 'take-over'): Promise<void> {
		const at = this.parts.terms.getMoment();
		const result = await this.parts.table.readSharedRows(offerTimeoutMs);
		if (result.kind === 'failed' || !this.#isRegistered || this.#isLeaving) {
			return;
		}

		const state = parseSharedRows(result.value, this.parts.log);
		if (step === 'ask') {
			this.#link?.send({kind: 'acceptance', vm: this.parts.identity.vm, address: this.parts.identity.peerAddress});
		} else if (state.duty?.address === this.#linkAddress && await this.parts.duty.takeOver(state.duty)) {
			this.parts.coordinator.setRegistered(new Set(state.members.keys()));
			this.#tellInstances();
			for (const term of state.terms.values()) {
				this.parts.terms.applyTerm(term);
			}

			this.parts.terms.confirm(at);
		}
	}

	#sendConfiguration(link: PeerLink | undefined): void {
		const {encoded} = this.parts.keeper;
		if (encoded !== undefined) {
			link?.send({kind: 'configuration-reply', version: this.parts.configuration.version, encoded});
		}
	}

	#receiveFromCoordinator(message: ReturnType<typeof parsePeerMessage>): void {
		switch (message.kind) {
			case 'report': {
				this.#receiveReport(message);
				return;
			}

			case 'configuration-reply': {
				this.parts.keeper.applyEncoded(message.encoded, 'peer');
				return;
			}

			case 'not-coordinator': {
				this.#answeredAt = Number.NEGATIVE_INFINITY;
				this.#hint = message.coordinator === this.#linkAddress ? undefined : message.coordinator;
				// VMs that name each other are not asked in turns without a pause.
				this.#isUrgent = this.#hint !== undefined && this.parts.clock.now() - this.#hintedAt > heartbeatMs;
				this.#hintedAt = this.#isUrgent ? this.parts.clock.now() : this.#hintedAt;
				return;
			}

			case 'token-grant': {
				this.#tokens.receive(message.sequence, message.grants);
				return;
			}

			case 'configuration-request': {
				this.#sendConfiguration(this.#link);
				return;
			}

			case 'offer': {
				void this.#receiveOffer(message.step);
				return;
			}

			case 'acceptance':
			case 'heartbeat':
			case 'invalid':
			case 'token-request': {
				this.parts.log.logEvent('peer.unexpected', {message: message.kind});
			}
		}
	}

	#receiveReport(report: CoordinatorReport): void {
		const now = this.parts.clock.now();
		for (const term of report.terms ?? []) {
			this.parts.terms.applyTerm(term);
		}

		this.parts.duty.observeVersion(report.dutyRevision);
		const sentAt = this.#heartbeats.observeReport(report);
		// What is left out here the next report tells again.
		if (report.configurationVersion > this.parts.configuration.version && now - this.#refreshedAt >= refreshIntervalMs) {
			this.#refreshedAt = now;
			void this.#refreshConfiguration(report.configurationVersion);
		}

		this.#applyReport(report);
		if (sentAt === undefined) {
			return;
		}

		this.#answeredAt = now;
		// Whoever answers coordinates, however this VM came to ask it.
		this.#hint = this.#linkAddress;
		this.parts.terms.confirm(sentAt);
		for (const [group, {position, ageMs}] of Object.entries(report.positions)) {
			this.parts.terms.observePosition(group, position, sentAt.monotonicMs - ageMs);
		}
	}

	/** Lets the coordinator tell the instances that this VM knows, if it knows any list. */
	#tellInstances(): void {
		if (this.parts.instances.appliedAt !== undefined) {
			this.parts.coordinator.setInstances([...this.parts.instances.getAll()], this.parts.clock.now());
		}
	}

	/** Gets a newer configuration: from the store, or from the coordinator when the store turns this VM away. */
	async #refreshConfiguration(version: number): Promise<void> {
		const isFollower = this.#isFollower;
		if (isFollower || !await this.parts.keeper.refresh(version)) {
			await new Promise(resolve => {
				setTimeout(resolve, isFollower ? followerPatienceMs : 0);
			});
			if (this.parts.configuration.version < version) {
				this.#link?.send({kind: 'configuration-request'});
			}
		}
	}

	#applyReport(report: CoordinatorReport): void {
		this.#isFollower = report.isFollower;
		this.parts.limiter.setMembers(report.members);
		this.parts.dispatcher.setMembers(report.members);
		this.parts.keeper.setFollowing(report.isFollower);
		if (report.instances !== undefined && !this.parts.duty.isHeld()) {
			this.#instanceRevision = report.instances.revision;
			this.parts.instanceKeeper.applyReported(report.instances.entries);
		}
	}

	/** Asks the coordinator for tokens; undefined when it does not answer in time. */
	async #requestTokens(wants: TokenDemands): Promise<TokenGrants | undefined> {
		if (this.parts.duty.isHeld()) {
			return this.parts.coordinator.issueTokens(this.parts.identity.vm, wants);
		}

		if (this.#link?.isOpen !== true || this.parts.clock.now() - this.#answeredAt > coordinatorSilentMs) {
			return undefined;
		}

		return this.#tokens.request(this.#link, wants);
	}

	async #pollStore(): Promise<void> {
		this.#isPolling = true;
		this.#polledAt = this.parts.clock.now();
		try {
			if (!this.#isRegistered) {
				await this.#register();
			}

			const at = this.parts.terms.getMoment();
			const result = await this.parts.table.readSharedRows(callTimeoutMs);
			this.#pollPauseMs = result.kind === 'ok' ? storePollMs : storeAwayPollMs;
			if (result.kind === 'ok') {
				await this.#applyState(parseSharedRows(result.value, this.parts.log), at);
			} else if (this.#answeredAt < at.monotonicMs) {
				// The row that was read last may be old: other VMs may know better.
				this.#coordinator = undefined;
			}

			this.#observeStore(result.kind === 'ok', result.kind === 'ok' ? '' : `${result.failure.reason}: ${result.failure.message}`);
		} finally {
			this.#isPolling = false;
		}
	}

	#observeStore(isThere: boolean, why: string): void {
		if (this.#isStoreAway === isThere) {
			this.#isStoreAway = !isThere;
			this.parts.log.logEvent(isThere ? 'store.regained' : 'store.lost', {call: 'shared rows', why});
		}
	}

	/** Lets VMs of more capacity go first: the coordinator answers all others. */
	#isTurn(): boolean {
		const now = this.parts.clock.now();
		this.#vacantSince ??= now;
		return now - this.#vacantSince >= (1 - this.parts.getSettings().capacity) * weakestWaitMs;
	}

	/** Gives the coordination up when this process is too slow to answer the others. */
	#watchLag(now: number): void {
		this.#lag.observe(now);
		const {duty, promoter, coordinator, log} = this.parts;
		if (this.#lag.isSlow() && duty.isHeld() && !promoter.isBusy && coordinator.countHeard() > 1 && now - duty.tookOverAt > leastHoldMs) {
			log.logEvent('coordinator.slow', {lagMs: Math.round(this.#lag.lagMs)});
			this.#lag.reset();
			this.#restUntil = now + restMs;
			void this.parts.duty.resign();
		}
	}

	async #register(): Promise<void> {
		const result = await this.parts.table.readSharedRows(callTimeoutMs);
		if (result.kind === 'failed') {
			return;
		}

		const known = parseSharedRows(result.value, this.parts.log).members.get(this.parts.identity.vm);
		const value = JSON.stringify({address: this.parts.identity.peerAddress, zone: this.parts.identity.zone, incarnation: this.parts.identity.incarnation});
		const written = await this.parts.table.writeSharedRows([{key: getMemberKey(this.parts.identity.vm), expectedVersion: known?.version ?? 0, value}], callTimeoutMs);
		if (written.kind === 'ok' && written.value.isApplied) {
			this.#isRegistered = true;
			this.#registeredVersion = written.value.version;
			this.parts.log.logEvent('member.registered', {version: written.value.version});
		}
	}

	async #applyState(state: SharedState, at: ClockReading): Promise<void> {
		for (const term of state.terms.values()) {
			this.parts.terms.applyTerm(term);
		}

		// Only a VM that others know of may rely on what it read: a closing term waits for the known ones.
		this.#isRegistered = state.members.get(this.parts.identity.vm)?.incarnation === this.parts.identity.incarnation;
		if (this.#isRegistered) {
			this.#registeredVersion = state.members.get(this.parts.identity.vm)!.version;
			this.parts.terms.confirm(at);
		}

		this.parts.limiter.setMembers(state.members.size);
		this.parts.dispatcher.setMembers(state.members.size);
		this.#vacantSince = this.parts.duty.isVacant(state.duty) ? this.#vacantSince : undefined;
		this.#coordinator = state.duty;
		this.#hint = undefined;
		if (state.duty !== undefined) {
			this.parts.duty.resume(state.duty, at);
			this.#tellInstances();
		}

		if (this.#isRegistered && !this.#isLeaving && at.monotonicMs >= this.#restUntil && !this.parts.duty.isHeld() && this.parts.duty.isVacant(state.duty) && this.#isTurn() && await this.parts.duty.takeOver(state.duty)) {
			this.parts.coordinator.setRegistered(new Set(state.members.keys()));
			this.#tellInstances();
		}
	}
}
