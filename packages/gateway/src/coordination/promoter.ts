import {isPrimaryDead} from '@chicorysaddle/decisions';
import {comparePositions} from '@chicorysaddle/model';
import {type ConfigurationView} from '../configuration/index.js';
import {type Dispatcher} from '../dispatch/index.js';
import {type Instance, type InstanceRegistry} from '../instances/index.js';
import {type DecisionLog, type GatewayMetrics} from '../observability/index.js';
import {
	type Clock, type CoordinationTable, type InstanceConnector, type PromotionService,
} from '../ports/index.js';
import {type InstanceStatus} from '../statements/index.js';
import {type GroupTerm, type TermRegistry} from '../terms/index.js';
import {type Coordinator} from './coordinator.js';
import {type DutyKeeper} from './duty-keeper.js';
import {getTermKey, parseSharedRows, type TermContent} from './shared-rows.js';

/** Why a group gets another primary. */
type PromotionReason = 'crashed' | 'gone' | 'draining' | 'resumed';

/** Time for which writes that are under way may still end, milliseconds: a planned change waits for a slow statement. */
const drainMs: Readonly<Record<PromotionReason, number>> = {
	crashed: 0, gone: 0, draining: 300, resumed: 0,
};

type InstanceReading = {readonly instance: Instance; readonly status: InstanceStatus};

/** Time for the status of an instance, milliseconds. */
const statusTimeoutMs = 400;

/** Time for which a planned change of primary waits for its successor to catch up, milliseconds. */
const catchUpMs = 1500;

/** Time for which a busy instance is asked again, milliseconds. */
const busyPatienceMs = 800;

/** Interval of questions while something is waited for, milliseconds. */
const pollMs = 30;

/** Time for a call to the platform, milliseconds. */
const promoteTimeoutMs = 2500;

/** Time for a promoted instance to lead, milliseconds: several times what deployments state. */
const takeEffectMs = 4000;

/** Pause before a procedure that failed is begun again, milliseconds. */
const retryPauseMs = 200;

/** Least time for which the duty has to last when a promotion is ordered, milliseconds. */
const dutyReserveMs = 500;

/** Account name of connections that the gateway uses for itself. */
const controlAccount = 'chicorysaddle';

/** What a promoter works with. */
export type PromoterParts = {
	readonly vm: string;
	readonly duty: DutyKeeper;
	readonly coordinator: Coordinator;
	readonly terms: TermRegistry;
	readonly instances: InstanceRegistry;
	readonly configuration: ConfigurationView;
	readonly dispatcher: Dispatcher;
	readonly table: CoordinationTable;
	readonly connector: InstanceConnector;
	readonly service: PromotionService;
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly metrics: GatewayMetrics;
};

/** Gives each group a primary: one at a time, after no VM uses the former one any more. */
export class Promoter {
	readonly #running = new Set<string>();
	#replacing = 0;

	constructor(private readonly parts: PromoterParts) {}

	/** Whether a change of primary is under way. */
	get isBusy(): boolean {
		return this.#replacing > 0;
	}

	/** Looks at every group, and begins what is due. */
	sweep(): void {
		if (!this.parts.duty.isHeld() || this.parts.instances.appliedAt === undefined) {
			return;
		}

		for (const {name} of this.parts.configuration.getGroups()) {
			if (!this.#running.has(name)) {
				void this.#judgeGroup(name);
			}
		}
	}

	async #judgeGroup(group: string): Promise<void> {
		this.#running.add(group);
		try {
			const term = this.parts.terms.getTerm(group);
			if (term === undefined) {
				await this.#recordFirstPrimary(group);
				return;
			}

			const reason = this.#findReason(term);
			if (reason !== undefined && (reason !== 'crashed' || !await this.#answers(term))) {
				this.#replacing += 1;
				try {
					await this.#replacePrimary(term, reason);
				} finally {
					this.#replacing -= 1;
				}
			}
		} catch (error) {
			this.parts.log.logEvent('promotion.error', {group, error: error instanceof Error ? error.stack ?? error.message : String(error)});
		} finally {
			this.#running.delete(group);
		}
	}

	#findReason(term: GroupTerm): PromotionReason | undefined {
		if (term.phase === 'closing') {
			return 'resumed';
		}

		const instance = this.parts.instances.getInstance(term.primaryId);
		if (instance === undefined) {
			return 'gone';
		}

		if (instance.state === 'draining') {
			return 'draining';
		}

		const own = this.parts.dispatcher.getTracker(term.primaryId)?.createEvidence(this.parts.vm, this.parts.clock.now());
		const evidence = [...(own === undefined ? [] : [own]), ...this.parts.coordinator.getEvidence(term.group)];
		return isPrimaryDead(term.primaryId, evidence, this.parts.coordinator.countHeard(), this.parts.clock.now()) ? 'crashed' : undefined;
	}

	/** Says whether a primary that VMs miss answers after all, if only that it has no room. */
	async #answers(term: GroupTerm): Promise<boolean> {
		const instance = this.parts.instances.getInstance(term.primaryId);
		const reading = instance === undefined ? 'unreachable' : await this.#readStatus(instance);
		return reading === 'busy' || (reading !== 'unreachable' && reading.status.role === 'primary');
	}

	async #recordFirstPrimary(group: string): Promise<void> {
		const readings = await this.#readAll(this.parts.instances.getGroupInstances(group));
		const leader = findLeader(readings);
		if (leader === undefined) {
			await pause(retryPauseMs);
			return;
		}

		await this.#writeTerm(group, 0, {
			term: leader.status.term, primaryId: leader.instance.id, phase: 'open', drainMs: 0,
		});
	}

	async #replacePrimary(term: GroupTerm, reason: PromotionReason): Promise<void> {
		this.parts.log.logEvent('promotion.begun', {
			group: term.group, term: term.term, primary: term.primaryId, reason, token: this.parts.duty.token,
		});
		const startedAt = this.parts.clock.now();
		const closed = reason === 'resumed'
			? term
			: await this.#writeTerm(term.group, term.revision, {
				term: term.term, primaryId: term.primaryId, phase: 'closing', drainMs: drainMs[reason],
			});
		if (closed === undefined || !await this.#waitUntilClosed(closed)) {
			await pause(retryPauseMs);
			return;
		}

		const closedMs = this.parts.clock.now() - startedAt;
		const leader = await this.#findSuccessor(closed, reason);
		if (leader === undefined) {
			await pause(retryPauseMs);
			return;
		}

		const opened = await this.#writeTerm(closed.group, closed.revision, {
			term: leader.status.term, primaryId: leader.instance.id, phase: 'open', drainMs: 0,
		});
		this.parts.log.logEvent('promotion.ended', {
			group: term.group, term: leader.status.term, primary: leader.instance.id, closedMs: Math.round(closedMs), durationMs: Math.round(this.parts.clock.now() - startedAt), recorded: opened !== undefined,
		});
		this.parts.metrics.addCount('promotions');
	}

	async #waitUntilClosed(closed: GroupTerm): Promise<boolean> {
		const closedAt = this.parts.clock.now();
		const result = await this.parts.table.readSharedRows(statusTimeoutMs);
		const registered = result.kind === 'ok' ? new Set(parseSharedRows(result.value, this.parts.log).members.keys()) : undefined;
		while (!this.parts.coordinator.isClosed(closed.group, closed.revision, closedAt, registered ?? new Set(['an unknown VM']))) {
			if (!this.parts.duty.isHeld()) {
				return false;
			}

			await pause(pollMs);
		}

		return true;
	}

	/** Promotes the most advanced instance, or finds the one that leads already. */
	async #findSuccessor(closed: GroupTerm, reason: PromotionReason): Promise<InstanceReading | undefined> {
		const all = this.parts.instances.getGroupInstances(closed.group);
		const readings = await this.#readAll(all);
		const leader = findLeader(readings.filter(reading => reading.status.term > closed.term));
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

	async #waitForCatchUp(candidate: InstanceReading, former: InstanceReading): Promise<void> {
		const deadline = this.parts.clock.now() + catchUpMs;
		let reading: InstanceReading | undefined = candidate;
		while (reading !== undefined && comparePositions(reading.status.position, former.status.position) < 0 && this.parts.clock.now() < deadline) {
			await pause(pollMs);
			reading = await this.#readPatiently(candidate.instance);
		}
	}

	async #promote(closed: GroupTerm, instance: Instance): Promise<InstanceReading | undefined> {
		const deadline = this.parts.clock.now() + takeEffectMs;
		while (this.parts.clock.now() < deadline) {
			if (this.parts.duty.getRemainingMs() < dutyReserveMs) {
				return undefined;
			}

			const result = await this.parts.service.promote({
				group: closed.group, instanceId: instance.id, holder: this.parts.vm, fencingToken: this.parts.duty.token,
			}, promoteTimeoutMs);
			this.parts.log.logEvent('promotion.ordered', {
				group: closed.group, instance: instance.id, token: this.parts.duty.token, result,
			});
			if (result === 'rejected') {
				return undefined;
			}

			if (result === 'accepted') {
				return this.#waitUntilLeading(closed, instance, deadline);
			}

			await pause(pollMs);
		}

		return undefined;
	}

	async #waitUntilLeading(closed: GroupTerm, instance: Instance, deadline: number): Promise<InstanceReading | undefined> {
		while (this.parts.clock.now() < deadline) {
			const reading = await this.#readPatiently(instance);
			if (reading?.status.role === 'primary' && reading.status.term > closed.term) {
				return reading;
			}

			await pause(pollMs);
		}

		return undefined;
	}

	async #writeTerm(group: string, revision: number, content: TermContent): Promise<GroupTerm | undefined> {
		const version = await this.parts.duty.writeRows([{key: getTermKey(group), expectedVersion: revision, value: JSON.stringify(content)}]);
		if (version === undefined) {
			return undefined;
		}

		const term = {group, ...content, revision: version};
		this.parts.terms.applyTerm(term);
		this.parts.coordinator.pushReports();
		return term;
	}

	async #readAll(instances: readonly Instance[]): Promise<InstanceReading[]> {
		const readings = await Promise.all(instances.map(async instance => this.#readPatiently(instance)));
		return readings.filter(reading => reading !== undefined);
	}

	/** Asks an instance until it has room to answer. */
	async #readPatiently(instance: Instance): Promise<InstanceReading | undefined> {
		const deadline = this.parts.clock.now() + busyPatienceMs;
		for (;;) {
			const reading = await this.#readStatus(instance);
			if (reading !== 'busy') {
				return reading === 'unreachable' ? undefined : reading;
			}

			if (this.parts.clock.now() >= deadline) {
				return undefined;
			}

			await pause(pollMs);
		}
	}

	async #readStatus(instance: Instance): Promise<InstanceReading | 'busy' | 'unreachable'> {
		const result = await this.parts.connector.open(instance, controlAccount, statusTimeoutMs);
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

function findLeader(readings: readonly InstanceReading[]): InstanceReading | undefined {
	return readings.filter(reading => reading.status.role === 'primary').toSorted((a, b) => b.status.term - a.status.term)[0];
}

async function pause(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
