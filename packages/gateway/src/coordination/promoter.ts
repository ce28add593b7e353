import {isPrimaryDead} from '@chicorysaddle/decisions';
import {comparePositions} from '@chicorysaddle/model';
import {type ConfigurationView} from '../configuration/index.js';
import {type Dispatcher} from '../dispatch/index.js';
import {type Instance, type InstanceRegistry} from '../instances/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {
	type Clock, type CoordinationStore, type InstanceConnector, type PromotionService,
} from '../ports/index.js';
import {type InstanceStatus} from '../statements/index.js';
import {type GroupTerm, type TermRegistry} from '../terms/index.js';
import {type Coordinator} from './coordinator.js';
import {type CoordinatorLease} from './coordinator-lease.js';
import {getTermKey, parseSharedRows, type TermContent} from './shared-rows.js';

/** Why a group gets another primary. */
type PromotionReason = 'crashed' | 'gone' | 'draining' | 'resumed';

/** Time for which writes that are under way may still end, milliseconds: a planned change waits for a slow statement. */
const drainMsByReason: Readonly<Record<PromotionReason, number>> = {
	crashed: 0, gone: 0, draining: 300, resumed: 0,
};

type InstanceWithStatus = {readonly instance: Instance; readonly status: InstanceStatus};

/** Time for the status of an instance, milliseconds. */
const statusTimeoutMs = 400;

/** Time for which a planned change of primary waits for its successor to catch up, milliseconds. */
const catchUpTimeoutMs = 1500;

/** Time for which a busy instance is asked again, milliseconds. */
const busyRetryTimeoutMs = 800;

/** Interval of questions while something is waited for, milliseconds. */
const pollIntervalMs = 30;

/** Time for a call to the platform, milliseconds. */
const promoteTimeoutMs = 2500;

/** Time for a promoted instance to lead, milliseconds: several times what deployments state. */
const promotionEffectTimeoutMs = 4000;

/** Pause before a procedure that failed is begun again, milliseconds. */
const retryDelayMs = 200;

/** Least time for which the duty has to last when a promotion is ordered, milliseconds. */
const minRemainingLeaseMs = 500;

/** Account name of connections that the gateway uses for itself. */
const controlAccount = 'chicorysaddle';

/** What a promoter works with. */
export type PromoterDependencies = {
	readonly vm: string;
	readonly coordinatorLease: CoordinatorLease;
	readonly coordinator: Coordinator;
	readonly terms: TermRegistry;
	readonly instances: InstanceRegistry;
	readonly configuration: ConfigurationView;
	readonly dispatcher: Dispatcher;
	readonly store: CoordinationStore;
	readonly connector: InstanceConnector;
	readonly promotionService: PromotionService;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
};

/** Gives each group a primary: one at a time, after no VM uses the former one any more. */
export class Promoter {
	readonly #groupsInProgress = new Set<string>();
	#replacementCount = 0;

	constructor(private readonly dependencies: PromoterDependencies) {}

	/** Whether a change of primary is under way. */
	get isReplacingPrimary(): boolean {
		return this.#replacementCount > 0;
	}

	/** Looks at every group, and begins what is due. */
	checkGroups(): void {
		if (!this.dependencies.coordinatorLease.isHeld() || this.dependencies.instances.appliedAt === undefined) {
			return;
		}

		for (const {name} of this.dependencies.configuration.getGroups()) {
			if (!this.#groupsInProgress.has(name)) {
				void this.#checkGroup(name);
			}
		}
	}

	async #checkGroup(group: string): Promise<void> {
		this.#groupsInProgress.add(group);
		try {
			const term = this.dependencies.terms.getTerm(group);
			if (term === undefined) {
				await this.#recordInitialPrimary(group);
				return;
			}

			const reason = this.#findPromotionReason(term);
			if (reason !== undefined && (reason !== 'crashed' || !await this.#isPrimaryAnswering(term))) {
				this.#replacementCount += 1;
				try {
					await this.#replacePrimary(term, reason);
				} finally {
					this.#replacementCount -= 1;
				}
			}
		} catch (error) {
			this.dependencies.log.logEvent('promotion.error', {group, error: error instanceof Error ? error.stack ?? error.message : String(error)});
		} finally {
			this.#groupsInProgress.delete(group);
		}
	}

	#findPromotionReason(term: GroupTerm): PromotionReason | undefined {
		if (term.phase === 'closing') {
			return 'resumed';
		}

		const instance = this.dependencies.instances.getInstance(term.primaryId);
		if (instance === undefined) {
			return 'gone';
		}

		if (instance.state === 'draining') {
			return 'draining';
		}

		const own = this.dependencies.dispatcher.getTracker(term.primaryId)?.createEvidence(this.dependencies.vm, this.dependencies.clock.now());
		const evidence = [...(own === undefined ? [] : [own]), ...this.dependencies.coordinator.getPrimaryEvidence(term.group)];
		return isPrimaryDead(term.primaryId, evidence, this.dependencies.coordinator.countLiveVms(), this.dependencies.clock.now()) ? 'crashed' : undefined;
	}

	/** Says whether a primary that VMs miss answers after all, if only that it has no room. */
	async #isPrimaryAnswering(term: GroupTerm): Promise<boolean> {
		const instance = this.dependencies.instances.getInstance(term.primaryId);
		const reading = instance === undefined ? 'unreachable' : await this.#readStatus(instance);
		return reading === 'busy' || (reading !== 'unreachable' && reading.status.role === 'primary');
	}

	async #recordInitialPrimary(group: string): Promise<void> {
		const readings = await this.#readStatuses(this.dependencies.instances.getGroupInstances(group));
		const leader = findPrimary(readings);
		if (leader === undefined) {
			await delay(retryDelayMs);
			return;
		}

		await this.#writeTerm(group, 0, {
			term: leader.status.term, primaryId: leader.instance.id, phase: 'open', drainMs: 0,
		});
	}

	async #replacePrimary(term: GroupTerm, reason: PromotionReason): Promise<void> {
		this.dependencies.log.logEvent('promotion.begun', {
			group: term.group, term: term.term, primary: term.primaryId, reason, token: this.dependencies.coordinatorLease.token,
		});
		const startedAt = this.dependencies.clock.now();
		const closed = reason === 'resumed'
			? term
			: await this.#writeTerm(term.group, term.revision, {
				term: term.term, primaryId: term.primaryId, phase: 'closing', drainMs: drainMsByReason[reason],
			});
		if (closed === undefined || !await this.#waitUntilClosed(closed)) {
			await delay(retryDelayMs);
			return;
		}

		const closedMs = this.dependencies.clock.now() - startedAt;
		const leader = await this.#findSuccessor(closed, reason);
		if (leader === undefined) {
			await delay(retryDelayMs);
			return;
		}

		const opened = await this.#writeTerm(closed.group, closed.revision, {
			term: leader.status.term, primaryId: leader.instance.id, phase: 'open', drainMs: 0,
		});
		this.dependencies.log.logEvent('promotion.ended', {
			group: term.group, term: leader.status.term, primary: leader.instance.id, closedMs: Math.round(closedMs), durationMs: Math.round(this.dependencies.clock.now() - startedAt), recorded: opened !== undefined,
		});
		this.dependencies.metrics.addCount('promotions');
	}

	async #waitUntilClosed(closed: GroupTerm): Promise<boolean> {
		const closedAt = this.dependencies.clock.now();
		const result = await this.dependencies.store.readSharedRows(statusTimeoutMs);
		const registered = result.kind === 'ok' ? new Set(parseSharedRows(result.value, this.dependencies.log).members.keys()) : undefined;
		while (!this.dependencies.coordinator.isTermClosed(closed.group, closed.revision, closedAt, registered ?? new Set(['an unknown VM']))) {
			if (!this.dependencies.coordinatorLease.isHeld()) {
				return false;
			}

			await delay(pollIntervalMs);
		}

		return true;
	}

	/** Promotes the most advanced instance, or finds the one that leads already. */
	async #findSuccessor(closed: GroupTerm, reason: PromotionReason): Promise<InstanceWithStatus | undefined> {
		const all = this.dependencies.instances.getGroupInstances(closed.group);
		const readings = await this.#readStatuses(all);
		const leader = findPrimary(readings.filter(reading => reading.status.term > closed.term));
		if (leader !== undefined) {
			return leader;
		}

		const former = readings.find(reading => reading.instance.id === closed.primaryId && reading.status.role === 'primary');
		if (former?.instance.state === 'ready' && reason === 'resumed') {
			// The procedure was broken off before anything was promoted, and the former primary is well.
			return former;
		}

		const candidates = readings
			.filter(reading => reading.instance.id !== closed.primaryId && reading.instance.state === 'ready')
			.toSorted((a, b) => comparePositions(b.status.position, a.status.position));
		for (const candidate of candidates) {
			if (former !== undefined) {
				await this.#waitForCatchUp(candidate, former);
			}

			const promoted = await this.#promote(closed, candidate.instance);
			if (promoted !== undefined) {
				return promoted;
			}
		}

		return undefined;
	}

	async #waitForCatchUp(candidate: InstanceWithStatus, former: InstanceWithStatus): Promise<void> {
		const deadline = this.dependencies.clock.now() + catchUpTimeoutMs;
		let reading: InstanceWithStatus | undefined = candidate;
		while (reading !== undefined && comparePositions(reading.status.position, former.status.position) < 0 && this.dependencies.clock.now() < deadline) {
			await delay(pollIntervalMs);
			reading = await this.#readStatusUnlessBusy(candidate.instance);
		}
	}

	async #promote(closed: GroupTerm, instance: Instance): Promise<InstanceWithStatus | undefined> {
		const deadline = this.dependencies.clock.now() + promotionEffectTimeoutMs;
		while (this.dependencies.clock.now() < deadline) {
			if (this.dependencies.coordinatorLease.getRemainingMs() < minRemainingLeaseMs) {
				return undefined;
			}

			const result = await this.dependencies.promotionService.promote({
				group: closed.group, instanceId: instance.id, holder: this.dependencies.vm, fencingToken: this.dependencies.coordinatorLease.token,
			}, promoteTimeoutMs);
			this.dependencies.log.logEvent('promotion.ordered', {
				group: closed.group, instance: instance.id, token: this.dependencies.coordinatorLease.token, result,
			});
			if (result === 'rejected') {
				return undefined;
			}

			if (result === 'accepted') {
				return this.#waitUntilPrimary(closed, instance, deadline);
			}

			await delay(pollIntervalMs);
		}

		return undefined;
	}

	async #waitUntilPrimary(closed: GroupTerm, instance: Instance, deadline: number): Promise<InstanceWithStatus | undefined> {
		while (this.dependencies.clock.now() < deadline) {
			const reading = await this.#readStatusUnlessBusy(instance);
			if (reading?.status.role === 'primary' && reading.status.term > closed.term) {
				return reading;
			}

			await delay(pollIntervalMs);
		}

		return undefined;
	}

	async #writeTerm(group: string, revision: number, content: TermContent): Promise<GroupTerm | undefined> {
		const version = await this.dependencies.coordinatorLease.writeRowsIfHeld([{key: getTermKey(group), expectedVersion: revision, value: JSON.stringify(content)}]);
		if (version === undefined) {
			return undefined;
		}

		const term = {group, ...content, revision: version};
		this.dependencies.terms.applyTerm(term);
		this.dependencies.coordinator.pushReports();
		return term;
	}

	async #readStatuses(instances: readonly Instance[]): Promise<InstanceWithStatus[]> {
		const readings = await Promise.all(instances.map(async instance => this.#readStatusUnlessBusy(instance)));
		return readings.filter(reading => reading !== undefined);
	}

	/** Asks an instance until it has room to answer. */
	async #readStatusUnlessBusy(instance: Instance): Promise<InstanceWithStatus | undefined> {
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
		const result = await this.dependencies.connector.open(instance, controlAccount, statusTimeoutMs);
		if (result.kind === 'failed') {
			const {reason} = result.failure;
			return reason === 'busy' || reason === 'connection-limit' ? 'busy' : 'unreachable';
		}

		const [outcome] = await result.connection.run([{statement: {kind: 'control-status'}}], statusTimeoutMs);
		const status = outcome === undefined ? undefined : result.connection.parseStatus(outcome);
		result.connection.close();
		if (status !== undefined) {
			return {instance, status};
		}

		return outcome?.kind === 'error' ? 'busy' : 'unreachable';
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
