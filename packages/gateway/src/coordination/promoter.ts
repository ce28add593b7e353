import {chooseHandOvers, findSurveyedPrimary, isPrimaryDead} from '@chicorysaddle/decisions';
import {type ConfigurationView} from '../configuration/index.js';
import {type Dispatcher} from '../dispatch/index.js';
import {type InstanceGuard} from '../evacuation/index.js';
import {type GroupSizes, type Instance, type InstanceRegistry} from '../instances/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type Clock, type CoordinationStore, type StoreVersion} from '../ports/index.js';
import {type InstanceStatusReader, type InstanceWithStatus, type PromotionWatch} from '../positions/index.js';
import {type BackgroundTasks} from '../tasks/index.js';
import {type GroupTerm, type TermRegistry} from '../terms/index.js';
import {type Coordinator} from './coordinator.js';
import {type CoordinatorLease} from './coordinator-lease.js';
import {type DutyMonitor} from './duty-monitor.js';
import {
	getRegistrations, noPrimaryId, parseSharedRows, type StoredTerm,
} from './shared-rows.js';
import {
	createRoles, findPrimary, type PromotedInstance, type SuccessorPromoter,
} from './successor-promoter.js';
import {type TermWriter} from './term-writer.js';

/** Reason for replacing the primary of a group; `gone`: it is no longer listed, `demoted`: it has become a replica, `superseded`: an instance leads a later term, `resumed`: an unfinished change left the term in phase `closing`. */
type PromotionReason = 'crashed' | 'gone' | 'demoted' | 'superseded' | 'draining' | 'resumed';

/** How long pending writes may still complete once a term closes, in milliseconds, by reason; only a planned change waits for slow statements. */
const drainMsByReason: Readonly<Record<PromotionReason, number>> = {
	crashed: 0, gone: 0, demoted: 0, superseded: 0, draining: 300, resumed: 0,
};

/** Reasons that come with a promotion which no row records. */
const unrecordedReasons: ReadonlySet<PromotionReason> = new Set<PromotionReason>(['demoted', 'superseded']);

type StatusReading = InstanceWithStatus | 'busy' | 'unreachable';

/** Returns whether what a primary answers refutes a reason that rests on what others say of it. */
const refutationsByReason: Readonly<Partial<Record<PromotionReason, (reading: StatusReading) => boolean>>> = {
	crashed: reading => reading === 'busy' || (reading !== 'unreachable' && reading.status.role === 'primary'),
	demoted: reading => typeof reading === 'string' || reading.status.role === 'primary',
};

/** Timeout of a status request to an instance and of a read of the registered VMs, in milliseconds. */
const statusTimeoutMs = 400;

/** Polling interval of the wait loops, in milliseconds. */
const pollIntervalMs = 30;

/** Interval at which the instance that the record of an interrupted change names is asked whether it leads, in milliseconds: each request takes a slot. */
const recordCheckIntervalMs = 200;

/** Interval at which a primary is asked for its role while its entry names it a replica, in milliseconds: the entry of a promoted instance changes a moment later than its role. */
const roleCheckIntervalMs = 500;

/** Time within which the instances of a group that starts register themselves, in milliseconds: a few of their heartbeats. */
const registrationTimeoutMs = 3000;

/** Delay before a failed change of primary is retried, in milliseconds. */
const retryDelayMs = 200;

/** Dependencies of a `Promoter`. */
export type PromoterDependencies = {
	readonly vm: string;
	readonly coordinatorLease: CoordinatorLease;
	readonly coordinator: Coordinator;
	readonly terms: TermRegistry;
	readonly instances: InstanceRegistry;
	readonly groupSizes: GroupSizes;
	readonly guard: InstanceGuard;
	readonly configuration: ConfigurationView;
	readonly dispatcher: Dispatcher;
	readonly store: CoordinationStore;
	readonly statusReader: InstanceStatusReader;
	readonly promotionWatch: PromotionWatch;
	readonly termWriter: TermWriter;
	readonly successorPromoter: SuccessorPromoter;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	readonly tasks: BackgroundTasks;
	readonly duties: DutyMonitor;
};

/** Ensures that each group has one primary; promotes a successor only when no VM uses the former primary any more. */
export class Promoter {
	readonly #groupsInProgress = new Set<string>();
	#runningReplacements = 0;
	/** Monotonic times at which primaries that their entries name replicas were asked last, by group, in milliseconds. */
	readonly #roleCheckedAt = new Map<string, number>();
	/** Monotonic time since which not all instances of a group without a row answer, in milliseconds. */
	readonly #incompleteSince = new Map<string, number>();

	constructor(private readonly dependencies: PromoterDependencies) {}

	/** Whether the primary of any group is being replaced. */
	get isReplacingPrimary(): boolean {
		return this.#runningReplacements > 0;
	}

	/** Checks every group and starts the due changes of primary. Does nothing unless this VM is the coordinator and has read the instances. */
	checkGroups(): void {
		if (!this.dependencies.coordinatorLease.isHeld() || this.dependencies.instances.appliedAt === undefined) {
			return;
		}

		const dueHandOvers = this.#chooseDueHandOvers();
		for (const {name} of this.dependencies.configuration.getGroups()) {
			if (!this.#groupsInProgress.has(name)) {
				this.dependencies.tasks.run('promotion', async () => this.#checkGroup(name, dueHandOvers));
			}
		}
	}

	/** Chooses the groups whose primaries move out of an evacuated zone now. */
	#chooseDueHandOvers(): ReadonlySet<string> {
		const {terms, instances, guard, configuration} = this.dependencies;
		let remainingMs = Number.POSITIVE_INFINITY;
		const pending = terms.getTerms().flatMap(({group, primaryId}) => {
			const primary = instances.getInstance(primaryId);
			const groupRemainingMs = primary === undefined || this.#groupsInProgress.has(group) ? undefined : guard.getRemainingMs(primary);
			if (groupRemainingMs === undefined) {
				return [];
			}

			remainingMs = Math.min(remainingMs, groupRemainingMs);
			const priorities = (configuration.configuration?.routes ?? []).filter(route => route.group === group).map(({priority}) => priority);
			return [{group, priority: Math.min(...priorities), hasCandidate: guard.hasReadyInstance(group)}];
		});
		return new Set(chooseHandOvers(pending, this.#runningReplacements, remainingMs));
	}

	async #checkGroup(group: string, dueHandOvers: ReadonlySet<string>): Promise<void> {
		this.#groupsInProgress.add(group);
		try {
			await this.#checkPrimary(group, dueHandOvers);
			this.dependencies.duties.recordSuccess(getGroupDuty(group));
		} catch (error) {
			this.dependencies.duties.recordFailure(getGroupDuty(group));
			this.dependencies.log.logEvent('promotion.error', {group, error: error instanceof Error ? error.stack ?? error.message : String(error)});
			await delay(retryDelayMs);
		} finally {
			this.#groupsInProgress.delete(group);
		}
	}

	async #checkPrimary(group: string, dueHandOvers: ReadonlySet<string>): Promise<void> {
		const term = this.dependencies.terms.getTerm(group);
		if (term === undefined) {
			if (await this.#recordInitialPrimary(group) === undefined) {
				await delay(retryDelayMs);
			}

			return;
		}

		await this.dependencies.promotionWatch.checkIfDue(group);
		const reason = this.#findPromotionReason(term, dueHandOvers);
		if (reason === undefined || await this.#isRefuted(term, reason)) {
			return;
		}

		if (reason === 'draining' && !await this.dependencies.successorPromoter.hasSuccessor(term)) {
			await delay(retryDelayMs);
			return;
		}

		this.#runningReplacements += 1;
		try {
			await this.#replacePrimary(term, reason);
		} finally {
			this.#runningReplacements -= 1;
		}
	}

	#findPromotionReason(term: GroupTerm, dueHandOvers: ReadonlySet<string>): PromotionReason | undefined {
		if (term.phase === 'closing') {
			return 'resumed';
		}

		if (this.dependencies.promotionWatch.hasFoundPromotion(term)) {
			return 'superseded';
		}

		const instance = this.dependencies.instances.getInstance(term.primaryId);
		if (instance === undefined) {
			return 'gone';
		}

		if (this.dependencies.guard.getAccess(instance) !== 'all') {
			return dueHandOvers.has(term.group) ? 'draining' : undefined;
		}

		if (instance.state === 'draining') {
			return 'draining';
		}

		const ownEvidence = this.dependencies.dispatcher.getTracker(term.primaryId)?.createEvidence(this.dependencies.vm, this.dependencies.clock.now());
		const evidence = [...(ownEvidence === undefined ? [] : [ownEvidence]), ...this.dependencies.coordinator.getPrimaryEvidence(term.group)];
		return isPrimaryDead(term.primaryId, evidence, this.dependencies.coordinator.countLiveVms(), this.dependencies.clock.now()) ? 'crashed' : this.#findDemotion(term, instance);
	}

	/** Returns whether a primary names itself a replica in its entry, which may be outdated; asked in intervals. */
	#findDemotion({group}: GroupTerm, {reportedRole}: Instance): 'demoted' | undefined {
		const now = this.dependencies.clock.now();
		if (reportedRole !== 'replica' || now < (this.#roleCheckedAt.get(group) ?? Number.NEGATIVE_INFINITY) + roleCheckIntervalMs) {
			return undefined;
		}

		this.#roleCheckedAt.set(group, now);
		return 'demoted';
	}

	/** Asks the primary whether a reason to replace it, which rests on what others say of it, is wrong. */
	async #isRefuted(term: GroupTerm, reason: PromotionReason): Promise<boolean> {
		const isRefutation = refutationsByReason[reason];
		const instance = this.dependencies.instances.getInstance(term.primaryId);
		if (isRefutation === undefined || instance === undefined) {
			return false;
		}

		return isRefutation(await this.dependencies.statusReader.readStatus(instance, statusTimeoutMs));
	}

	/** Records the first term of a group; returns undefined if its row was not written. */
	async #recordInitialPrimary(group: string): Promise<StoredTerm | undefined> {
		const instances = this.dependencies.instances.getGroupInstances(group);
		const readings = await this.dependencies.statusReader.readStatuses(instances);
		const unreadableVersion = this.dependencies.termWriter.getUnreadableVersion(group);
		if (unreadableVersion !== undefined) {
			return this.#replaceUnreadableRow(group, unreadableVersion, readings);
		}

		const primary = findPrimary(readings);
		// An instance of an evacuated zone cannot be asked; once it is recorded as the primary, another one replaces it.
		const evacuated = instances.find(instance => instance.reportedRole === 'primary' && this.dependencies.guard.isCutOff(instance));
		if (primary === undefined && evacuated !== undefined && readings.length > 0) {
			return this.dependencies.termWriter.openTerm(group, 0, {term: Math.max(...readings.map(({status}) => status.term)), primaryId: evacuated.id});
		}

		if (primary === undefined) {
			return undefined;
		}

		const {groupSizes, termWriter, clock} = this.dependencies;
		const content = {term: primary.status.term, primaryId: primary.instance.id};
		const expectedCount = groupSizes.countInstances(group);
		const incompleteSince = this.#incompleteSince.get(group) ?? clock.now();
		const isRegistrationOver = clock.now() - incompleteSince >= registrationTimeoutMs;
		if (findSurveyedPrimary(createRoles(readings), expectedCount)?.id === primary.instance.id || (isRegistrationOver && expectedCount === 1)) {
			return termWriter.openTerm(group, 0, content);
		}

		// The store may have lost a row: an instance that does not answer may lead a later term.
		this.#incompleteSince.set(group, incompleteSince);
		return isRegistrationOver ? termWriter.createClosedTerm(group, content, 0) : undefined;
	}

	/** Replaces a row that cannot be read, of a group whose term is not known, by that of a closing term without a record: another instance than those that answer may be the primary. */
	async #replaceUnreadableRow(group: string, version: StoreVersion, readings: readonly InstanceWithStatus[]): Promise<StoredTerm | undefined> {
		if (readings.length === 0) {
			return undefined;
		}

		const term = Math.max(...readings.map(({status}) => status.term));
		const primary = findPrimary(readings);
		const primaryId = primary?.status.term === term ? primary.instance.id : noPrimaryId;
		return this.dependencies.termWriter.createClosedTerm(group, {term, primaryId}, version);
	}

	async #replacePrimary(term: GroupTerm, reason: PromotionReason): Promise<void> {
		this.dependencies.log.logEvent('promotion.begun', {
			group: term.group, term: term.term, primary: term.primaryId, reason, token: this.dependencies.coordinatorLease.token,
		});
		const {termWriter, successorPromoter, promotionWatch, clock, log, metrics} = this.dependencies;
		const startedAt = clock.now();
		const isResumed = reason === 'resumed' || unrecordedReasons.has(reason);
		const closedTerm = reason === 'resumed' ? await termWriter.readClosingTerm(term.group) : await termWriter.closeTerm(term, drainMsByReason[reason], !unrecordedReasons.has(reason));
		const closing = closedTerm && await this.#waitUntilClosed(closedTerm, isResumed);
		if (closedTerm === undefined || closing === undefined) {
			await delay(retryDelayMs);
			return;
		}

		const closedMs = clock.now() - startedAt;
		const primary = closing === 'closed' ? await successorPromoter.promoteSuccessor(closedTerm, isResumed) : closing;
		if (primary === undefined) {
			await delay(retryDelayMs);
			return;
		}

		const {instance, status, revision} = primary;
		const openedTerm = await termWriter.openTerm(term.group, revision, {term: status.term, primaryId: instance.id, pendingOrders: promotionWatch.getPendingOrders(term.group)});
		log.logEvent('promotion.ended', {
			group: term.group, term: status.term, primary: instance.id, closedMs: Math.round(closedMs), durationMs: Math.round(clock.now() - startedAt), recorded: openedTerm !== undefined,
		});
		metrics.addCount('promotions');
	}

	/**
	 * Waits until no VM acts on an older revision of the term.
	 * @param isResumed - Whether the change was interrupted; the wait ends early if the record names the primary, since the term then opens with the same primary or had closed before the order.
	 * @returns The primary that the record names, else `closed`; undefined if the coordinator lease ended first.
	 */
	async #waitUntilClosed(closedTerm: StoredTerm, isResumed: boolean): Promise<PromotedInstance | 'closed' | undefined> {
		const {store, coordinator, coordinatorLease, successorPromoter, clock, log} = this.dependencies;
		const closedAt = clock.now();
		const result = await store.readSharedRows(statusTimeoutMs);
		const registeredVms = result.kind === 'ok' ? new Set(getRegistrations(parseSharedRows(result.value, log)).keys()) : undefined;
		let recordCheckedAt = Number.NEGATIVE_INFINITY;
		// Without the list of registered VMs, an unknown name that never acknowledges makes the wait last until the term leases have expired.
		while (!coordinator.isTermClosed(closedTerm.group, closedTerm.revision, closedAt, registeredVms ?? new Set(['an unknown VM']))) {
			if (!coordinatorLease.isHeld()) {
				return undefined;
			}

			if (isResumed && clock.now() >= recordCheckedAt + recordCheckIntervalMs) {
				recordCheckedAt = clock.now();
				const recorded = await successorPromoter.findRecordedPrimary(closedTerm);
				if (recorded !== undefined) {
					return recorded;
				}
			}

			await delay(pollIntervalMs);
		}

		return 'closed';
	}
}

/** Returns the name under which failures of the check of a group count. */
function getGroupDuty(group: string): string {
	return `promotion ${group}`;
}

async function delay(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
