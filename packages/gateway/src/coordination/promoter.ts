import {chooseHandOvers, isPrimaryDead, rankSuccessors} from '@chicorysaddle/decisions';
import {comparePositions, type LogPosition} from '@chicorysaddle/model';
import {type ConfigurationView} from '../configuration/index.js';
import {type Dispatcher} from '../dispatch/index.js';
import {type InstanceGuard} from '../evacuation/index.js';
import {type Instance, type InstanceRegistry} from '../instances/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {
	type Clock, type CoordinationStore, type PromotionService,
} from '../ports/index.js';
import {type InstanceStatusReader, type InstanceWithStatus} from '../positions/index.js';
import {type GroupTerm, type TermRegistry} from '../terms/index.js';
import {type Coordinator} from './coordinator.js';
import {type CoordinatorLease} from './coordinator-lease.js';
import {createTermWrite, parseSharedRows, type TermContent} from './shared-rows.js';

/** Reason for replacing the primary of a group; `gone`: it is no longer listed, `resumed`: an unfinished change left the term in phase `closing`. */
type PromotionReason = 'crashed' | 'gone' | 'draining' | 'resumed';

/** How long pending writes may still complete once a term closes, in milliseconds, by reason; only a planned change waits for slow statements. */
const drainMsByReason: Readonly<Record<PromotionReason, number>> = {
	crashed: 0, gone: 0, draining: 300, resumed: 0,
};

/** Timeout of a status request to an instance and of a read of the registered VMs, in milliseconds. */
const statusTimeoutMs = 400;

/** Maximum time for which a change of primary waits for the successor to catch up with a primary that still answers, in milliseconds. */
const catchUpTimeoutMs = 1500;

/** Maximum time for which it waits for a successor that is preferred for its region to more advanced ones, in milliseconds: several times the lag that deployments state. */
const preferredCatchUpTimeoutMs = 300;

/** Maximum time for which a status request to a busy instance is retried, in milliseconds. */
const busyRetryTimeoutMs = 800;

/** Polling interval of the wait loops, in milliseconds. */
const pollIntervalMs = 30;

/** Timeout of a promotion call to the platform, in milliseconds. */
const promoteTimeoutMs = 2500;

/** Maximum time from the first promotion request until the instance is the primary, in milliseconds: several times the promotion time that deployments state. */
const promotionEffectTimeoutMs = 4000;

/** Delay before a failed change of primary is retried, in milliseconds. */
const retryDelayMs = 200;

/** Minimum remaining time of the coordinator lease at which a promotion is requested, in milliseconds. */
const minRemainingLeaseMs = 500;

/** Dependencies of a `Promoter`. */
export type PromoterDependencies = {
	readonly vm: string;
	/** Region of each availability zone; empty where there is one region. */
	readonly regions: ReadonlyMap<string, string>;
	readonly coordinatorLease: CoordinatorLease;
	readonly coordinator: Coordinator;
	readonly terms: TermRegistry;
	readonly instances: InstanceRegistry;
	readonly guard: InstanceGuard;
	readonly configuration: ConfigurationView;
	readonly dispatcher: Dispatcher;
	readonly store: CoordinationStore;
	readonly statusReader: InstanceStatusReader;
	readonly promotionService: PromotionService;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
};

/** Ensures that each group has one primary; promotes a successor only when no VM uses the former primary any more. */
export class Promoter {
	readonly #groupsInProgress = new Set<string>();
	#runningReplacements = 0;

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
				void this.#checkGroup(name, dueHandOvers);
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
			const term = this.dependencies.terms.getTerm(group);
			if (term === undefined) {
				await this.#recordInitialPrimary(group);
				return;
			}

			const reason = this.#findPromotionReason(term, dueHandOvers);
			if (reason !== undefined && (reason !== 'crashed' || !await this.#isPrimaryAnswering(term))) {
				this.#runningReplacements += 1;
				try {
					await this.#replacePrimary(term, reason);
				} finally {
					this.#runningReplacements -= 1;
				}
			}
		} catch (error) {
			this.dependencies.log.logEvent('promotion.error', {group, error: error instanceof Error ? error.stack ?? error.message : String(error)});
		} finally {
			this.#groupsInProgress.delete(group);
		}
	}

	#findPromotionReason(term: GroupTerm, dueHandOvers: ReadonlySet<string>): PromotionReason | undefined {
		if (term.phase === 'closing') {
			return 'resumed';
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
		return isPrimaryDead(term.primaryId, evidence, this.dependencies.coordinator.countLiveVms(), this.dependencies.clock.now()) ? 'crashed' : undefined;
	}

	/** Returns whether a primary that VMs report as dead still answers this VM, if only that it is busy. */
	async #isPrimaryAnswering(term: GroupTerm): Promise<boolean> {
		const instance = this.dependencies.instances.getInstance(term.primaryId);
		const reading = instance === undefined ? 'unreachable' : await this.#readStatus(instance);
		return reading === 'busy' || (reading !== 'unreachable' && reading.status.role === 'primary');
	}

	async #recordInitialPrimary(group: string): Promise<void> {
		const instances = this.dependencies.instances.getGroupInstances(group);
		const readings = await this.#readStatuses(instances);
		const primary = findPrimary(readings);
		// An instance of an evacuated zone cannot be asked; once it is recorded as the primary, another one replaces it.
		const evacuated = instances.find(instance => instance.reportedRole === 'primary' && this.dependencies.guard.isCutOff(instance));
		if (primary === undefined && evacuated !== undefined && readings.length > 0) {
			await this.#writeTerm(group, 0, {
				term: Math.max(...readings.map(({status}) => status.term)), primaryId: evacuated.id, phase: 'open', drainMs: 0,
			});
			return;
		}

		if (primary === undefined) {
			await delay(retryDelayMs);
			return;
		}

		await this.#writeTerm(group, 0, {
			term: primary.status.term, primaryId: primary.instance.id, phase: 'open', drainMs: 0,
		});
	}

	async #replacePrimary(term: GroupTerm, reason: PromotionReason): Promise<void> {
		this.dependencies.log.logEvent('promotion.begun', {
			group: term.group, term: term.term, primary: term.primaryId, reason, token: this.dependencies.coordinatorLease.token,
		});
		const startedAt = this.dependencies.clock.now();
		const closedTerm = reason === 'resumed'
			? term
			: await this.#writeTerm(term.group, term.revision, {
				term: term.term, primaryId: term.primaryId, phase: 'closing', drainMs: drainMsByReason[reason],
			});
		if (closedTerm === undefined || !await this.#waitUntilClosed(closedTerm)) {
			await delay(retryDelayMs);
			return;
		}

		const closedMs = this.dependencies.clock.now() - startedAt;
		const primary = await this.#findSuccessor(closedTerm, reason);
		if (primary === undefined) {
			await delay(retryDelayMs);
			return;
		}

		const openedTerm = await this.#writeTerm(closedTerm.group, closedTerm.revision, {
			term: primary.status.term, primaryId: primary.instance.id, phase: 'open', drainMs: 0,
		});
		this.dependencies.log.logEvent('promotion.ended', {
			group: term.group, term: primary.status.term, primary: primary.instance.id, closedMs: Math.round(closedMs), durationMs: Math.round(this.dependencies.clock.now() - startedAt), recorded: openedTerm !== undefined,
		});
		this.dependencies.metrics.addCount('promotions');
	}

	/** Waits until no VM acts on an older revision of the term; returns false if the coordinator lease ends first. */
	async #waitUntilClosed(closedTerm: GroupTerm): Promise<boolean> {
		const closedAt = this.dependencies.clock.now();
		const result = await this.dependencies.store.readSharedRows(statusTimeoutMs);
		const registeredVms = result.kind === 'ok' ? new Set(parseSharedRows(result.value, this.dependencies.log).members.keys()) : undefined;
		// Without the list of registered VMs, an unknown name that never acknowledges makes the wait last until the term leases have expired.
		while (!this.dependencies.coordinator.isTermClosed(closedTerm.group, closedTerm.revision, closedAt, registeredVms ?? new Set(['an unknown VM']))) {
			if (!this.dependencies.coordinatorLease.isHeld()) {
				return false;
			}

			await delay(pollIntervalMs);
		}

		return true;
	}

	/** Finds the new primary: an instance that was already promoted, otherwise the most advanced one, which it promotes; returns undefined if none could be promoted. */
	async #findSuccessor(closedTerm: GroupTerm, reason: PromotionReason): Promise<InstanceWithStatus | undefined> {
		const instances = this.dependencies.instances.getGroupInstances(closedTerm.group);
		const readings = await this.#readStatuses(instances);
		const primary = findPrimary(readings.filter(reading => reading.status.term > closedTerm.term));
		if (primary !== undefined) {
			return primary;
		}

		const formerPrimary = readings.find(reading => reading.instance.id === closedTerm.primaryId && reading.status.role === 'primary');
		if (formerPrimary?.instance.state === 'ready' && reason === 'resumed') {
			// The earlier change was interrupted before any promotion, and the former primary is healthy.
			return formerPrimary;
		}

		const position = formerPrimary?.status.position ?? this.#getCutOffPosition(closedTerm);
		const candidates = this.#rankCandidates(closedTerm, readings.filter(reading => reading.instance.id !== closedTerm.primaryId && reading.instance.state === 'ready'), position !== undefined);
		for (const [index, candidate] of candidates.entries()) {
			const isPreferredByRegion = candidates.slice(index + 1).some(other => comparePositions(other.status.position, candidate.status.position) > 0);
			const hasCaughtUp = position === undefined || await this.#waitForCatchUp(candidate, position, isPreferredByRegion ? preferredCatchUpTimeoutMs : catchUpTimeoutMs);
			if (isPreferredByRegion && !hasCaughtUp) {
				// A more advanced instance follows, and only one that has caught up may come before it.
				continue;
			}

			const promoted = await this.#promote(closedTerm, candidate.instance);
			if (promoted !== undefined) {
				return promoted;
			}
		}

		return undefined;
	}

	/** Ranks the candidates for the next primary of a group; of equal ones, those that are not cold come first. */
	#rankCandidates({group, primaryId}: GroupTerm, readings: readonly InstanceWithStatus[], canCatchUp: boolean): InstanceWithStatus[] {
		const {regions, instances, coordinator, clock} = this.dependencies;
		const now = clock.now();
		const getRegion = (instance: Instance | undefined) => instance === undefined ? undefined : regions.get(instance.zone);
		const isCold = ({instance}: InstanceWithStatus) => Number(instances.isCold(instance.id, now));
		const candidates = readings.toSorted((a, b) => isCold(a) - isCold(b)).map(reading => ({reading, position: reading.status.position, region: getRegion(reading.instance)}));
		return rankSuccessors(candidates, {
			canCatchUp, formerRegion: getRegion(instances.getInstance(primaryId)), writesPerS: coordinator.sumWritesByRegion(group),
		}).map(({reading}) => reading);
	}

	/** Returns the newest known position of a primary that cannot be asked because its zone is evacuated, undefined for any other primary. */
	#getCutOffPosition({group, primaryId}: GroupTerm): LogPosition | undefined {
		const {instances, guard, terms} = this.dependencies;
		const primary = instances.getInstance(primaryId);
		return primary !== undefined && guard.isCutOff(primary) ? terms.getNewestPosition(group)?.position : undefined;
	}

	/** Waits until a candidate has the log up to a position; returns whether it has. */
	async #waitForCatchUp(candidate: InstanceWithStatus, position: LogPosition, timeoutMs: number): Promise<boolean> {
		const deadline = this.dependencies.clock.now() + timeoutMs;
		let reading: InstanceWithStatus | undefined = candidate;
		while (reading !== undefined && comparePositions(reading.status.position, position) < 0 && this.dependencies.clock.now() < deadline) {
			await delay(pollIntervalMs);
			reading = await this.#readStatusWithRetry(candidate.instance);
		}

		return reading !== undefined && comparePositions(reading.status.position, position) >= 0;
	}

	/** Promotes an instance and waits until it is the primary; returns undefined if the request is rejected, the lease is about to expire, the zone of the instance is evacuated, or the time is up. */
	async #promote(closedTerm: GroupTerm, instance: Instance): Promise<InstanceWithStatus | undefined> {
		const deadline = this.dependencies.clock.now() + promotionEffectTimeoutMs;
		while (this.dependencies.clock.now() < deadline) {
			// The zone of the instance may have been evacuated since it was chosen.
			if (this.dependencies.coordinatorLease.getRemainingMs() < minRemainingLeaseMs || this.dependencies.guard.getAccess(instance) !== 'all') {
				return undefined;
			}

			const result = await this.dependencies.promotionService.promote({
				group: closedTerm.group, instanceId: instance.id, holder: this.dependencies.vm, fencingToken: this.dependencies.coordinatorLease.token,
			}, promoteTimeoutMs);
			this.dependencies.log.logEvent('promotion.ordered', {
				group: closedTerm.group, instance: instance.id, token: this.dependencies.coordinatorLease.token, result,
			});
			if (result === 'rejected') {
				return undefined;
			}

			if (result === 'accepted') {
				return this.#waitUntilPrimary(closedTerm, instance, deadline);
			}

			await delay(pollIntervalMs);
		}

		return undefined;
	}

	async #waitUntilPrimary(closedTerm: GroupTerm, instance: Instance, deadline: number): Promise<InstanceWithStatus | undefined> {
		while (this.dependencies.clock.now() < deadline) {
			const reading = await this.#readStatusWithRetry(instance);
			if (reading?.status.role === 'primary' && reading.status.term > closedTerm.term) {
				return reading;
			}

			await delay(pollIntervalMs);
		}

		return undefined;
	}

	/** Writes the row of a group's term and reports it to all VMs; returns undefined if the write is not known to have succeeded. */
	async #writeTerm(group: string, revision: number, content: TermContent): Promise<GroupTerm | undefined> {
		const version = await this.dependencies.coordinatorLease.writeRowsIfHeld([createTermWrite({group, ...content}, this.dependencies.store.era, revision)]);
		if (version === undefined) {
			return undefined;
		}

		const term = {group, ...content, revision: version};
		this.dependencies.terms.applyTerm(term);
		this.dependencies.coordinator.pushReports();
		return term;
	}

	async #readStatuses(instances: readonly Instance[]): Promise<InstanceWithStatus[]> {
		const readings = await Promise.all(instances.map(async instance => this.#readStatusWithRetry(instance)));
		return readings.filter(reading => reading !== undefined);
	}

	/** Reads the status of an instance and retries while it is busy; returns undefined if it stays busy or is unreachable. */
	async #readStatusWithRetry(instance: Instance): Promise<InstanceWithStatus | undefined> {
		const deadline = this.dependencies.clock.now() + busyRetryTimeoutMs;
		for (;;) {
			const reading = await this.#readStatus(instance);
			if (reading !== 'busy') {
				return reading === 'unreachable' ? undefined : reading;
			}

			if (this.dependencies.clock.now() >= deadline) {
				return undefined;
			}

			await delay(pollIntervalMs);
		}
	}

	async #readStatus(instance: Instance): Promise<InstanceWithStatus | 'busy' | 'unreachable'> {
		return this.dependencies.statusReader.readStatus(instance, statusTimeoutMs);
	}
}

function findPrimary(readings: readonly InstanceWithStatus[]): InstanceWithStatus | undefined {
	return readings.filter(reading => reading.status.role === 'primary').toSorted((a, b) => b.status.term - a.status.term)[0];
}

async function delay(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
