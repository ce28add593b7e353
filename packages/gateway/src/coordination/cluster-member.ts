import {
	type CoordinatorReport, type HandOverOffer, type Heartbeat, type HeartbeatDelta, type parsePeerMessage, type TokenDemands, type TokenGrants, type TokenRequest,
} from '@chicorysaddle/protocol/coordination';
import {type ConfigurationWatcher, type ConfigurationView} from '../configuration/index.js';
import {type Dispatcher} from '../dispatch/index.js';
import {EvacuationReporterDetector, type EvacuationRegistry, type InstanceGuard} from '../evacuation/index.js';
import {type Forwarding, type ForwardingMessage, isForwardingMessage} from '../forwarding/index.js';
import {type InstanceWatcher, type InstanceRegistry} from '../instances/index.js';
import {type AccountLimiter} from '../limits/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {
	type AdjustableSettingsSource, type Clock, type CoordinationStore, createStoreVersion, type PeerLink, type PeerNetwork, type PeerServer,
} from '../ports/index.js';
import {type BackgroundTasks} from '../tasks/index.js';
import {type TermRegistry} from '../terms/index.js';
import {type Coordinator} from './coordinator.js';
import {type CoordinatorLease} from './coordinator-lease.js';
import {type DutyMonitor} from './duty-monitor.js';
import {type GatewayIdentity} from './gateway-identity.js';
import {HeartbeatBuilder} from './heartbeat-builder.js';
import {ConfigurationReceiver} from './configuration-receiver.js';
import {ConfigurationTransferServer} from './configuration-transfer-server.js';
import {EventLoopLagMonitor} from './event-loop-lag-monitor.js';
import {applyInstanceChanges} from './instance-feed.js';
import {type LogHolderProbe} from './log-holder-probe.js';
import {type LogHolderWriter} from './log-holder-writer.js';
import {type MemberRegistrar} from './member-registrar.js';
import {type Promoter} from './promoter.js';
import {
	type CoordinatorRow, getRegistrations, type SharedState,
} from './shared-rows.js';
import {StoreMembership} from './store-membership.js';
import {type StoreRecovery} from './store-recovery.js';
import {type TermWriter} from './term-writer.js';
import {TokenClient} from './token-client.js';

/** Interval of the main loop, in milliseconds. */
const tickIntervalMs = 50;

/** Interval between heartbeats, in milliseconds: a term lease spans several. */
const heartbeatIntervalMs = 400;

/** Minimum interval between heartbeats while one is urgent, in milliseconds. */
const urgentHeartbeatIntervalMs = 20;

/** Time without a report from the coordinator after which this VM reads the store instead, in milliseconds. */
const coordinatorTimeoutMs = 900;

/** Time without a renewal of the lease after which the coordinator offers its role to VMs that reach the store, in milliseconds. */
const offerThresholdMs = 2200;

/** Timeout of the read by which a VM that is offered the role checks that it reaches the store, in milliseconds. */
const offerTimeoutMs = 400;

/** Timeout of the read by which a coordinator checks that it still does not reach the store before it hands over, in milliseconds. */
const reachabilityTimeoutMs = 300;

/** Interval between offers of the coordinator role, in milliseconds. */
const offerIntervalMs = 500;

/** Minimum time between the acquisition of the lease and a resignation for being slow, in milliseconds. */
const minTenureMs = 3000;

/** Minimum time between the acquisition of the lease and a hand-over to a larger VM, in milliseconds: two heartbeats. */
const minSmallTenureMs = 1000;

/** Interval between offers of the role to larger VMs, in milliseconds: each VM that is asked reads the store. */
const offerToLargerIntervalMs = 2000;

/** Time for which a VM that resigned for being slow does not acquire the lease again, in milliseconds. */
const slowVmBackoffMs = 15_000;

/** Time for which a VM of whose duties one failed acquires the lease only if no other VM does, in milliseconds. */
const failingVmDeferralMs = 60_000;

/** Maximum time for which a leaving coordinator waits for another VM to take over, in milliseconds: it covers a running change of primary. */
const handOverTimeoutMs = 2500;

/** Dependencies of a `ClusterMember`. */
export type ClusterMemberDependencies = {
	readonly identity: GatewayIdentity;
	readonly coordinatorLease: CoordinatorLease;
	readonly coordinator: Coordinator;
	readonly promoter: Promoter;
	readonly registrar: MemberRegistrar;
	readonly termWriter: TermWriter;
	readonly logHolderProbe: LogHolderProbe;
	readonly logHolderWriter: LogHolderWriter;
	readonly storeRecovery: StoreRecovery;
	readonly terms: TermRegistry;
	readonly configuration: ConfigurationView;
	readonly configurationWatcher: ConfigurationWatcher;
	readonly instances: InstanceRegistry;
	readonly evacuations: EvacuationRegistry;
	readonly guard: InstanceGuard;
	readonly instanceWatcher: InstanceWatcher;
	readonly dispatcher: Dispatcher;
	readonly limiter: AccountLimiter;
	readonly store: CoordinationStore;
	readonly network: PeerNetwork;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	/** Returns numbers from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
	readonly getSettings: AdjustableSettingsSource;
	readonly tasks: BackgroundTasks;
	readonly duties: DutyMonitor;
	/** Absent where no operation is forwarded. */
	readonly forwarding?: Forwarding | undefined;
};

/** Membership of this VM in the cluster: exchanges heartbeats and reports with the coordinator, or acts as the coordinator. */
export class ClusterMember {
	#server: PeerServer | undefined;
	/** Links of VMs that sent a heartbeat while this VM was not the coordinator. */
	readonly #expectantLinks = new Set<PeerLink>();
	#timer: NodeJS.Timeout | undefined;
	#link: PeerLink | undefined;
	#linkAddress = '';
	/** Peer address of the coordinator as learned from other VMs, undefined if unknown; takes precedence over the address in the row. */
	#coordinatorHint: string | undefined;
	/** Monotonic time at which a hinted address was last contacted at once instead of at the normal interval, in milliseconds. */
	#hintContactedAt = Number.NEGATIVE_INFINITY;
	#linkOpenedAt = Number.NEGATIVE_INFINITY;
	#coordinatorRow: CoordinatorRow | undefined;
	#heartbeatSentAt = Number.NEGATIVE_INFINITY;
	#coordinatorAnsweredAt = Number.NEGATIVE_INFINITY;
	#isHeartbeatUrgent = false;
	/** Whether the next tick sends reports, since the instances have changed. */
	#isReportPushDue = false;
	/** Whether the instances have changed while this VM did not hold the lease; it may hold it again without acquiring it. */
	#isPublicationDue = false;
	#isLeaving = false;
	#handOverOfferedAt = 0;
	#reachabilityCheck: Promise<boolean> | undefined;
	/** Revision of the last reported instance list; undefined to have the coordinator report the whole list. */
	#instanceRevision: string | undefined;

	/** Number of returns of the store from an older copy that this VM has reacted to, and the era before the next one. */
	#restoreCount = 0;
	#storeEra = 0;

	readonly #lagMonitor = new EventLoopLagMonitor(tickIntervalMs);
	readonly #heartbeatBuilder: HeartbeatBuilder;
	readonly #tokenClient: TokenClient;
	readonly #configurationReceiver: ConfigurationReceiver;
	readonly #configurationServer: ConfigurationTransferServer;
	readonly #storeMembership: StoreMembership;
	readonly #evacuationReporter = new EvacuationReporterDetector();

	constructor(private readonly dependencies: ClusterMemberDependencies) {
		this.#heartbeatBuilder = new HeartbeatBuilder({
			...dependencies, getConfigurationTransfer: () => this.#configurationReceiver.transferState, createUsageReport: () => dependencies.limiter.createUsageReport(),
		});
		this.#tokenClient = new TokenClient(dependencies.identity.vm);
		this.#configurationReceiver = new ConfigurationReceiver(dependencies, () => {
			this.#isHeartbeatUrgent = true;
		});
		this.#configurationServer = new ConfigurationTransferServer(dependencies);
		this.#storeMembership = new StoreMembership(dependencies, {
			onRead: state => {
				this.#handleSharedState(state);
			},
			onReadFailed: at => {
				if (this.#coordinatorAnsweredAt < at.monotonicMs) {
					// The row that was read last may be outdated; other VMs may name another coordinator.
					this.#coordinatorRow = undefined;
				}
			},
			onLeaseAcquired: state => {
				this.#beginCoordinating(state);
			},
		});
		dependencies.instanceWatcher.setPolling(false);
		dependencies.configurationWatcher.setPolling(false);
		dependencies.terms.onChanged(() => {
			this.#isHeartbeatUrgent = true;
			setImmediate(dependencies.tasks.createCallback('heartbeat', () => {
				if (!dependencies.coordinatorLease.isHeld()) {
					this.#sendHeartbeat(dependencies.clock.now());
				}
			}));
		});
		dependencies.limiter.setTokenRequester(async demands => this.#requestTokens(demands));
		dependencies.configurationWatcher.onApplied(() => {
			if (dependencies.coordinatorLease.isHeld()) {
				dependencies.coordinator.pushReports();
			} else {
				// The coordinator sends other VMs here for the configuration.
				this.#isHeartbeatUrgent = true;
			}
		});
		dependencies.instances.onChanged(dependencies.tasks.createCallback('instance list', () => {
			if (dependencies.coordinatorLease.isHeld()) {
				this.#publishInstances();
				this.#isReportPushDue = true;
			} else {
				this.#isPublicationDue = true;
			}
		}));
	}

	/** Listens for other VMs and starts the main loop. */
	async start(): Promise<void> {
		this.#server = await this.dependencies.network.listen(this.dependencies.identity.peerAddress, link => ({
			onMessage: message => {
				this.#handlePeerMessage(link, message);
			},
			onClosed: () => {
				// The peer opens another link for its next heartbeat.
				this.#expectantLinks.delete(link);
				this.dependencies.coordinator.handleClosed(link);
				this.dependencies.forwarding?.server.handleClosed(link);
			},
		}));
		this.#scheduleTick();
	}

	/** Stops the main loop and closes the coordinator link and the server; keeps the lease and the row of this VM. */
	stop(): void {
		clearTimeout(this.#timer);
		this.#configurationReceiver.stop();
		this.#link?.close();
		this.#server?.close();
		this.dependencies.forwarding?.stop();
	}

	/** Hands the coordinator role over to another VM, after any running change of primary; releases the lease if no VM takes over in time. */
	async handOver(): Promise<void> {
		this.#isLeaving = true;
		if (this.dependencies.forwarding !== undefined) {
			this.dependencies.forwarding.server.beginDraining();
			this.#isHeartbeatUrgent = true;
		}

		this.#storeMembership.beginLeaving();
		const deadline = this.dependencies.clock.now() + handOverTimeoutMs;
		while (this.dependencies.coordinatorLease.isHeld() && this.dependencies.clock.now() < deadline) {
			// The VM that accepts resumes any change of primary that is still open.
			this.dependencies.coordinator.offerHandOver();
			await new Promise(resolve => {
				setTimeout(resolve, offerIntervalMs);
			});
		}

		await this.dependencies.coordinatorLease.release();
	}

	/** Releases the lease and removes this VM from the registered members, so that no VM waits for it. */
	async leave(): Promise<void> {
		await this.dependencies.coordinatorLease.release();
		await this.#storeMembership.removeRow();
	}

	#scheduleTick(): void {
		this.#timer = setTimeout(() => {
			this.dependencies.tasks.tryCall('membership', () => {
				this.#runTick();
			});
			this.#scheduleTick();
		}, tickIntervalMs);
	}

	#runTick(): void {
		const now = this.dependencies.clock.now();
		this.dependencies.tasks.tryCall('membership', () => {
			this.#resignIfSlow(now);
			this.dependencies.terms.logLeaseLoss();
			this.#checkStoreEra();
		});
		if (this.dependencies.coordinatorLease.isHeld()) {
			this.#runCoordinatorTick(now);
			return;
		}

		this.dependencies.duties.reset();

		this.dependencies.tasks.tryCall('heartbeat', () => {
			this.#sendHeartbeat(now);
		});
		const isCoordinatorSilent = now - this.#coordinatorAnsweredAt > coordinatorTimeoutMs && this.#storeMembership.isStartupOver;
		this.dependencies.instanceWatcher.setPolling(isCoordinatorSilent);
		if (isCoordinatorSilent) {
			this.#instanceRevision = undefined;
			// Drops the address of a coordinator that another VM named but that does not answer.
			this.#coordinatorHint = now - this.#linkOpenedAt > coordinatorTimeoutMs ? undefined : this.#coordinatorHint;
			this.#configurationReceiver.pollWhileSilent(now);
		}

		this.#storeMembership.pollIfDue(isCoordinatorSilent);
	}

	/** Does each duty of the coordinator, also after an error in another one. */
	#runCoordinatorTick(now: number): void {
		const {
			tasks, duties, coordinatorLease, logHolderProbe, logHolderWriter, storeRecovery, promoter, registrar,
		} = this.dependencies;
		duties.tryCall('term lease', () => {
			this.#link?.close();
			this.#link = undefined;
			this.dependencies.instanceWatcher.setPolling(true);
			this.dependencies.configurationWatcher.setPolling(true);
			this.dependencies.terms.renewLease(this.dependencies.terms.getClockReading());
		});
		tasks.tryCall('heartbeat', () => {
			if (this.#isPublicationDue) {
				this.#publishInstances();
			}
		});
		this.#handleOwnHeartbeatIfDue(now);
		tasks.tryCall('heartbeat', () => {
			this.#pushReportsIfDue();
		});
		tasks.run('coordinator lease', async () => coordinatorLease.renewIfDue());
		tasks.run('store recovery', async () => storeRecovery.recoverIfNeeded());
		tasks.run('log holders', async () => logHolderWriter.confirmIfDue());
		tasks.run('log holders', async () => logHolderProbe.probeIfDue());
		tasks.run('log holders', async () => logHolderWriter.writeIfChanged());
		tasks.tryCall('hand-over', () => {
			if (!promoter.isReplacingPrimary) {
				this.#offerHandOverIfDue(now);
			}
		});
		duties.tryCall('promotion', () => {
			promoter.checkGroups();
		});
		tasks.tryCall('registration', () => {
			registrar.checkIfDue();
		});
		tasks.tryCall('membership', () => {
			this.#resignIfFailing();
		});
	}

	/** Resigns as the coordinator when one of its duties fails each time, so that another VM does it; a VM that is alone goes on. */
	#resignIfFailing(): void {
		const {
			tasks, duties, coordinatorLease, coordinator, instanceWatcher, configurationWatcher, registrar, storeRecovery, log, metrics,
		} = this.dependencies;
		duties.updateCounts('instance watch', {failures: tasks.countFailures('instance watch'), successes: instanceWatcher.readCount});
		duties.updateCounts('configuration watch', {failures: tasks.countFailures('configuration watch'), successes: configurationWatcher.readCount});
		duties.updateCounts('registration', {failures: tasks.countFailures('registration'), successes: registrar.checkCount});
		duties.updateCounts('store recovery', {failures: tasks.countFailures('store recovery'), successes: storeRecovery.recoveredEra});
		const failing = duties.findFailingDuty();
		if (failing !== undefined && coordinator.memberCount > 1) {
			log.logEvent('coordinator.failing', {...failing, failingMs: Math.round(failing.failingMs)});
			metrics.addCount('coordinator_failing');
			duties.recordResignation(failing.duty);
			this.#storeMembership.setDeferred(failingVmDeferralMs);
			tasks.run('coordinator lease', async () => coordinatorLease.release());
		}
	}

	#handleOwnHeartbeatIfDue(now: number): void {
		if (now - this.#heartbeatSentAt >= heartbeatIntervalMs) {
			this.#heartbeatSentAt = now;
			this.dependencies.duties.tryCall('heartbeat', () => {
				const report = this.dependencies.coordinator.handleHeartbeat(this.#heartbeatBuilder.createOwnHeartbeat(this.#instanceRevision), undefined);
				this.dependencies.limiter.confirmUsageReport();
				this.#applyReport(report);
				this.dependencies.dispatcher.admission.applyReport(report, now);
			});
		}
	}

	#pushReportsIfDue(): void {
		if (this.#isReportPushDue) {
			this.#isReportPushDue = false;
			this.dependencies.coordinator.pushReports();
		}
	}

	/** Offers the role to other VMs if this one does not reach the store, or to larger ones if it became the coordinator while none was there. */
	#offerHandOverIfDue(now: number): void {
		const {coordinatorLease, coordinator, getSettings} = this.dependencies;
		const passedMs = now - this.#handOverOfferedAt;
		if (coordinatorLease.getMsSinceRenewal() > offerThresholdMs && passedMs > offerIntervalMs) {
			this.#handOverOfferedAt = now;
			coordinator.offerHandOver();
		} else if (now - coordinatorLease.acquiredAt > minSmallTenureMs && passedMs > offerToLargerIntervalMs) {
			this.#handOverOfferedAt = now;
			coordinator.offerToLargerMembers(getSettings().capacity);
		}
	}

	/** Reacts to the return of the store from an older copy. */
	#checkStoreEra(): void {
		const {store, coordinator, registrar, log} = this.dependencies;
		if (store.restoreCount > this.#restoreCount) {
			this.#restoreCount = store.restoreCount;
			log.logEvent('store.restored', {before: this.#storeEra, era: store.era});
			coordinator.recordStoreRestored();
			registrar.requireCheck();
		}

		this.#storeEra = store.era;
	}

	#sendHeartbeat(now: number): void {
		const address = this.#coordinatorHint ?? this.#coordinatorRow?.address ?? this.#chooseSeed(now);
		if (address === undefined || address === this.dependencies.identity.peerAddress) {
			return;
		}

		const interval = this.#isHeartbeatUrgent ? urgentHeartbeatIntervalMs : heartbeatIntervalMs;
		if (now - this.#heartbeatSentAt < interval) {
			return;
		}

		this.#heartbeatSentAt = now;
		if (this.#link?.isOpen !== true || this.#linkAddress !== address || now - Math.max(this.#coordinatorAnsweredAt, this.#linkOpenedAt) > coordinatorTimeoutMs) {
			this.#openLink(address, now);
		}

		this.#link?.send(this.#heartbeatBuilder.createHeartbeat(this.#link, this.#instanceRevision));
		// The coordinator waits for this VM to drain a closing term, so the next heartbeat follows quickly.
		this.#isHeartbeatUrgent = this.#heartbeatBuilder.isDraining();
	}

	/** Chooses the address of a seed VM that may know the coordinator, in rotation; returns undefined if there is no other seed. */
	#chooseSeed(now: number): string | undefined {
		const seeds = this.dependencies.getSettings().seeds.filter(seed => seed !== this.dependencies.identity.peerAddress);
		return seeds.length === 0 ? undefined : seeds[Math.floor(now / coordinatorTimeoutMs) % seeds.length];
	}

	#openLink(address: string, now: number): void {
		this.#link?.close();
		this.#linkAddress = address;
		this.#linkOpenedAt = now;
		const link: PeerLink = this.dependencies.network.connect(address, {
			onMessage: message => {
				if (this.#link === link) {
					this.#handleCoordinatorMessage(message);
				}
			},
			onClosed() {
				// The next heartbeat opens another link.
			},
		});
		this.#link = link;
	}

	#handlePeerMessage(link: PeerLink, message: ReturnType<typeof parsePeerMessage>): void {
		if (isForwardingMessage(message)) {
			this.#handleForwardingMessage(link, message);
			return;
		}

		switch (message.kind) {
			case 'heartbeat':
			case 'heartbeat-delta': {
				this.#handleHeartbeat(link, message);
				return;
			}

			case 'token-request': {
				this.#handleTokenRequest(link, message);
				return;
			}

			case 'acceptance': {
				this.dependencies.tasks.run('hand-over', async () => this.#handOverTo(link, message.vm, message.address));
				return;
			}

			case 'configuration-reply': {
				this.dependencies.configurationWatcher.applyEncoded(message.encoded, 'peer');
				return;
			}

			case 'configuration-request': {
				this.#configurationServer.sendWhole(link);
				return;
			}

			case 'configuration-part-request': {
				this.#configurationServer.answerPartRequest(link, message);
				return;
			}

			case 'invalid': {
				this.dependencies.log.logEvent('peer.invalid', {reason: message.reason});
				link.close();
				return;
			}

			case 'configuration-part':
			case 'heartbeat-request':
			case 'not-coordinator':
			case 'offer':
			case 'report':
			case 'token-grant': {
				this.dependencies.log.logEvent('peer.unexpected', {message: message.kind});
			}
		}
	}

	#handleTokenRequest(link: PeerLink, {vm, sequence, wants}: TokenRequest): void {
		if (!this.dependencies.coordinatorLease.isHeld()) {
			link.send({kind: 'not-coordinator', coordinator: this.#coordinatorHint ?? this.#coordinatorRow?.address});
			return;
		}

		this.dependencies.duties.run('tokens', () => {
			link.send({kind: 'token-grant', sequence, grants: this.dependencies.coordinator.issueTokens(vm, wants)});
		});
	}

	/** Passes a message on to the gateway; closes the link if this VM is none, as a former build does. */
	#handleForwardingMessage(link: PeerLink, message: ForwardingMessage): void {
		if (this.dependencies.forwarding === undefined) {
			this.dependencies.log.logEvent('peer.unexpected', {message: message.kind});
			link.close();
		} else {
			this.dependencies.forwarding.server.handleMessage(link, message);
		}
	}

	#handleHeartbeat(link: PeerLink, heartbeat: Heartbeat | HeartbeatDelta): void {
		if (!this.dependencies.coordinatorLease.isHeld()) {
			this.#expectantLinks.add(link);
			link.send({kind: 'not-coordinator', coordinator: this.#coordinatorHint ?? this.#coordinatorRow?.address});
			return;
		}

		this.dependencies.duties.run('report', () => {
			const report = heartbeat.kind === 'heartbeat'
				? this.dependencies.coordinator.handleHeartbeat(heartbeat, link)
				: this.dependencies.coordinator.handleHeartbeatDelta(heartbeat, link);
			link.send(report ?? {kind: 'heartbeat-request'});
			this.dependencies.coordinator.pushConfigurationSources();
		});
		if (heartbeat.configurationVersion > this.dependencies.configuration.version) {
			this.#configurationReceiver.handleOffer(heartbeat.configurationTransfer?.offeredAt, link);
		}
	}

	/** Steps down in favor of a VM that has accepted the offer and has just reached the store. */
	async #handOverTo(link: PeerLink, vm: string, address: string): Promise<void> {
		if (!this.#isLeaving && await this.#isStoreReachable()) {
			await this.dependencies.coordinatorLease.renew();
		}

		if (this.dependencies.coordinatorLease.isHeld() && (this.#isLeaving || this.dependencies.coordinatorLease.getMsSinceRenewal() > offerThresholdMs || this.dependencies.coordinator.getLargerMembers(this.dependencies.getSettings().capacity).has(vm)) && !this.dependencies.promoter.isReplacingPrimary) {
			this.dependencies.log.logEvent('coordinator.handed-over', {to: vm, unrenewedMs: Math.round(this.dependencies.coordinatorLease.getMsSinceRenewal())});
			const usage = this.dependencies.coordinator.exportUsage();
			this.dependencies.coordinatorLease.stepDown();
			link.send({kind: 'offer', step: 'take-over', usage});
			this.#coordinatorHint = address;
			this.dependencies.coordinator.announceSuccessor(address);
		}
	}

	/** Returns whether the store has become reachable for this VM as well; VMs that accept the role at the same time wait for the same call. */
	async #isStoreReachable(): Promise<boolean> {
		this.#reachabilityCheck ??= this.dependencies.store.readSharedRows(reachabilityTimeoutMs).then(({kind}) => kind === 'ok').finally(() => {
			this.#reachabilityCheck = undefined;
		});
		return this.#reachabilityCheck;
	}

	/** Handles the offer of a coordinator that cannot reach the store or is leaving: accepts it on `ask`, acquires the lease on `take-over`. */
	async #handleOffer({step, usage}: HandOverOffer): Promise<void> {
		const at = this.dependencies.terms.getClockReading();
		const state = await this.#storeMembership.readForOffer(offerTimeoutMs);
		if (state === undefined) {
			return;
		}

		if (step === 'ask') {
			this.#link?.send({kind: 'acceptance', vm: this.dependencies.identity.vm, address: this.dependencies.identity.peerAddress});
		} else if (state.coordinator?.address === this.#linkAddress && await this.dependencies.coordinatorLease.tryAcquire(state.coordinator)) {
			if (usage !== undefined) {
				this.dependencies.coordinator.importUsage(usage);
			}

			this.#beginCoordinating(state);
			this.#storeMembership.applyTerms(state, at);
		}
	}

	#beginCoordinating(state: SharedState): void {
		this.dependencies.coordinator.setRegisteredMembers(getRegistrations(state));
		this.dependencies.termWriter.recordUnreadable(state);
		this.dependencies.logHolderWriter.recordRows(state);
		this.#publishInstances();
		// VMs that took this one for the coordinator already need not wait for their next heartbeat.
		for (const link of this.#expectantLinks) {
			link.send({kind: 'heartbeat-request'});
		}

		this.#expectantLinks.clear();
	}

	#handleCoordinatorMessage(message: ReturnType<typeof parsePeerMessage>): void {
		if (isForwardingMessage(message)) {
			this.dependencies.log.logEvent('peer.unexpected', {message: message.kind});
			return;
		}

		switch (message.kind) {
			case 'report': {
				this.#handleReport(message);
				return;
			}

			case 'configuration-reply': {
				this.dependencies.configurationWatcher.applyEncoded(message.encoded, 'peer');
				return;
			}

			case 'not-coordinator': {
				this.#coordinatorAnsweredAt = Number.NEGATIVE_INFINITY;
				this.#coordinatorHint = message.coordinator === this.#linkAddress ? undefined : message.coordinator;
				// Keeps the normal interval if two VMs name each other as the coordinator.
				this.#isHeartbeatUrgent = this.#coordinatorHint !== undefined && this.dependencies.clock.now() - this.#hintContactedAt > heartbeatIntervalMs;
				this.#hintContactedAt = this.#isHeartbeatUrgent ? this.dependencies.clock.now() : this.#hintContactedAt;
				return;
			}

			case 'token-grant': {
				this.#tokenClient.handleGrants(message.sequence, message.grants);
				return;
			}

			case 'configuration-request': {
				this.#configurationServer.sendWhole(this.#link);
				return;
			}

			case 'offer': {
				this.dependencies.tasks.run('hand-over', async () => this.#handleOffer(message));
				return;
			}

			case 'heartbeat-request': {
				this.#heartbeatBuilder.requireComplete();
				this.#isHeartbeatUrgent = true;
				return;
			}

			case 'acceptance':
			case 'configuration-part':
			case 'configuration-part-request':
			case 'heartbeat':
			case 'heartbeat-delta':
			case 'invalid':
			case 'token-request': {
				this.dependencies.log.logEvent('peer.unexpected', {message: message.kind});
			}
		}
	}

	#handleReport(report: CoordinatorReport): void {
		const now = this.dependencies.clock.now();
		// A coordinator of a former build states versions without the store's era.
		const convertVersion = (version: number) => report.acceptsDeltas === true ? version : createStoreVersion(this.dependencies.store.era, version);
		for (const term of report.terms ?? []) {
			this.dependencies.terms.applyTerm({...term, revision: convertVersion(term.revision)});
		}

		this.dependencies.coordinatorLease.recordVersion(convertVersion(report.dutyRevision));
		this.dependencies.coordinatorLease.recordToken(report.token);
		const sentAt = this.#heartbeatBuilder.recordReport(report);
		this.#applyReportedEvacuations(report, sentAt !== undefined);
		this.#configurationReceiver.handleReport(report, this.#link);
		this.#applyReport(report);
		if (sentAt === undefined) {
			return;
		}

		this.#coordinatorAnsweredAt = now;
		this.dependencies.limiter.confirmUsageReport();
		// The VM that sends a report is the coordinator, wherever its address came from.
		this.#coordinatorHint = this.#linkAddress;
		this.dependencies.terms.renewLease(sentAt);
		this.dependencies.dispatcher.admission.applyReport(report, sentAt.monotonicMs);
		for (const [group, {position, ageMs}] of Object.entries(report.positions)) {
			this.dependencies.terms.recordPosition(group, position, sentAt.monotonicMs - ageMs);
		}

		for (const [group, term, offset, ageMs] of report.compactPositions ?? []) {
			this.dependencies.terms.recordPosition(group, {term, offset}, sentAt.monotonicMs - ageMs);
		}
	}

	/** Sets the instances that this VM reports when it is the coordinator, if it has read a list. */
	#publishInstances(): void {
		this.#isPublicationDue = false;
		if (this.dependencies.instances.appliedAt !== undefined) {
			this.dependencies.coordinator.setInstances(this.dependencies.instances.getListedInstances(), this.dependencies.clock.now());
		}
	}

	#applyReport(report: CoordinatorReport): void {
		this.dependencies.limiter.setMemberCount(report.members);
		this.dependencies.dispatcher.setMemberCount(report.members);
		this.dependencies.guard.setTurn(report.memberRank, report.members, report.stampMs);
		this.dependencies.configurationWatcher.setPolling(report.isFollower || (!this.dependencies.coordinatorLease.isHeld() && this.#evacuationReporter.isFormerBuild));
		this.dependencies.forwarding?.applyReport(report);
		if (!this.dependencies.coordinatorLease.isHeld()) {
			this.#applyReportedInstances(report);
		}
	}

	#applyReportedEvacuations(report: CoordinatorReport, isAnswer: boolean): void {
		const {evacuations} = this.dependencies;
		this.#evacuationReporter.recordReport(this.#link, report, isAnswer);
		if (report.evacuationVersion !== undefined && report.evacuatedZones !== undefined) {
			evacuations.applyReport(report.evacuatedZones, report.evacuationVersion);
		} else if (!this.#evacuationReporter.isFormerBuild) {
			evacuations.recordConfirmation();
		}
	}

	#applyReportedInstances({instances, instanceChanges}: CoordinatorReport): void {
		const {instanceWatcher, instances: registry} = this.dependencies;
		if (instances !== undefined) {
			this.#instanceRevision = instances.revision;
			instanceWatcher.applyReportedInstances(instances.entries);
		} else if (instanceChanges !== undefined && instanceChanges.base === this.#instanceRevision) {
			this.#instanceRevision = instanceChanges.revision;
			instanceWatcher.applyReportedInstances(applyInstanceChanges(registry.getListedInstances(), instanceChanges));
		}
	}

	/** Requests tokens from the coordinator; returns undefined if it does not answer in time. */
	async #requestTokens(demands: TokenDemands): Promise<TokenGrants | undefined> {
		if (this.dependencies.coordinatorLease.isHeld()) {
			return this.dependencies.coordinator.issueTokens(this.dependencies.identity.vm, demands);
		}

		if (this.#link?.isOpen !== true || this.dependencies.clock.now() - this.#coordinatorAnsweredAt > coordinatorTimeoutMs) {
			return undefined;
		}

		return this.#tokenClient.requestTokens(this.#link, demands);
	}

	/** Resigns as the coordinator when this process is too slow to answer the other VMs. */
	#resignIfSlow(now: number): void {
		this.#lagMonitor.recordTick(now);
		const {coordinatorLease, promoter, coordinator, log} = this.dependencies;
		if (this.#lagMonitor.isSlow() && coordinatorLease.isHeld() && !promoter.isReplacingPrimary && coordinator.countLiveVms() > 1 && now - coordinatorLease.acquiredAt > minTenureMs) {
			log.logEvent('coordinator.slow', {lagMs: Math.round(this.#lagMonitor.lagMs)});
			this.#lagMonitor.reset();
			this.#storeMembership.suspendCandidacy(slowVmBackoffMs);
			this.dependencies.tasks.run('coordinator lease', async () => coordinatorLease.release());
		}
	}

	#handleSharedState(state: SharedState): void {
		const {coordinator} = state;
		const memberCount = getRegistrations(state).size;
		this.dependencies.termWriter.recordUnreadable(state);
		this.dependencies.logHolderWriter.recordRows(state);
		this.dependencies.limiter.setMemberCount(memberCount);
		this.dependencies.dispatcher.setMemberCount(memberCount);
		this.#coordinatorRow = coordinator;
		this.#coordinatorHint = undefined;
		if (coordinator !== undefined) {
			// The coordinator that the row names is contacted at once.
			this.#isHeartbeatUrgent ||= coordinator.address !== this.#linkAddress;
			this.#publishInstances();
		}
	}
}
