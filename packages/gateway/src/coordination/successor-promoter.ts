import {
	type CommitHolder, confirmationMs, findAwaitedHolders, findRecordedPrimary, findSurveyedPrimary, getOrderedPromotion, hasEveryCommit, hasTakenEffect, type InstanceRole, isLongestRemaining, isOrderComplete, type OrderedPromotion, type PromotionOrder, rankResumedCandidates, rankSuccessors,
} from '@chicorysaddle/decisions';
import {comparePositions, type LogPosition} from '@chicorysaddle/model';
import {type SyncReplicaSource} from '../configuration/index.js';
import {type InstanceGuard} from '../evacuation/index.js';
import {
	type GroupSizes, type Instance, type InstanceRegistry, instanceRetentionMs, type LogHolder, type LogHolderRegistry,
} from '../instances/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {
	type Clock, type PromotionRequest, type PromotionResult, type PromotionService,
} from '../ports/index.js';
import {type InstanceStatusReader, type InstanceWithStatus, type PromotionWatch} from '../positions/index.js';
import {type GroupTerm, type TermRegistry} from '../terms/index.js';
import {type Coordinator} from './coordinator.js';
import {type CoordinatorLease} from './coordinator-lease.js';
import {type LogHolderProbe} from './log-holder-probe.js';
import {noPrimaryId, type StoredTerm} from './shared-rows.js';
import {type TermWriter} from './term-writer.js';

/** Maximum time for which a change of primary waits for the successor to catch up with a primary that still answers, in milliseconds. */
const catchUpTimeoutMs = 1500;

/** Maximum time for which it waits for a successor that is preferred for its region to more advanced ones, in milliseconds: several times the lag that deployments state. */
const preferredCatchUpTimeoutMs = 300;

/** Polling interval of the wait loops, in milliseconds. */
const pollIntervalMs = 30;

/** Timeout of a promotion call to the platform, in milliseconds. */
const promoteTimeoutMs = 2500;

/** Maximum time from the first promotion request until the instance is the primary, in milliseconds: several times the promotion time that deployments state. */
const promotionEffectTimeoutMs = 4000;

/** Minimum remaining time of the coordinator lease at which a promotion is requested, in milliseconds. */
const minRemainingLeaseMs = 500;

/** Dependencies of a `SuccessorPromoter`. */
export type SuccessorPromoterDependencies = {
	readonly vm: string;
	/** Region of each availability zone; empty where there is one region. */
	readonly regions: ReadonlyMap<string, string>;
	readonly coordinatorLease: CoordinatorLease;
	readonly coordinator: Coordinator;
	readonly terms: TermRegistry;
	readonly instances: InstanceRegistry;
	readonly groupSizes: GroupSizes;
	readonly logHolders: LogHolderRegistry;
	readonly logHolderProbe: LogHolderProbe;
	readonly syncReplicas: SyncReplicaSource;
	readonly guard: InstanceGuard;
	readonly statusReader: InstanceStatusReader;
	readonly promotionWatch: PromotionWatch;
	readonly termWriter: TermWriter;
	readonly promotionService: PromotionService;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
};

/** What a change of primary chooses its successor from. */
type SuccessorChoice = {
	readonly closedTerm: StoredTerm;
	readonly candidates: readonly InstanceWithStatus[];
	/** Position that the candidates are waited for to reach, undefined if none is known. */
	readonly position: LogPosition | undefined;
	/** Newest term that an instance states. */
	readonly newestTerm: number;
};

/** The primary for the next term, with the version of the row of the term that closed. */
export type PromotedInstance = InstanceWithStatus & {readonly revision: number};

/** Chooses the successor of a primary whose term has closed, and promotes it. */
export class SuccessorPromoter {
	/** Instances whose last order has no answer that this VM knows of, by group: the platform may still perform it. */
	readonly #unansweredOrders = new Map<string, string>();

	/** Positions that instances have stated since a term closed, and when it did, by group: what they receive later is acknowledged to nobody. */
	readonly #statedPositions = new Map<string, {readonly closingSince: number; readonly positions: Map<string, LogPosition>}>();
	/** Orders whose answers are awaited. */
	readonly #runningOrders = new Set<AbortController>();

	constructor(private readonly dependencies: SuccessorPromoterDependencies) {
		// An order that arrives after the lease has ended could undo what the next coordinator orders.
		dependencies.coordinatorLease.onEnded(() => {
			for (const order of this.#runningOrders) {
				order.abort();
			}
		});
	}

	/** Finds the primary that the record of an interrupted change names; returns undefined if the record does not tell, or the former primary is to be replaced. */
	async findRecordedPrimary(closedTerm: StoredTerm): Promise<PromotedInstance | undefined> {
		const ordered = this.#getOrderedPromotion(closedTerm);
		if (ordered === 'unknown') {
			return undefined;
		}

		const named = this.dependencies.instances.getInstance(ordered === 'none' ? getFormerPrimaryId(closedTerm) : ordered.instanceId);
		const readings = named === undefined ? [] : await this.dependencies.statusReader.readStatuses([named]);
		return this.#findRecordedPrimary(closedTerm, ordered, readings, await this.#fetchSyncReplicas(closedTerm));
	}

	/**
	 * Returns whether the primary of an open term can be replaced as planned: where replicas acknowledge commits, one that does not drain has to receive the log.
	 * Otherwise the term would stay closed although the primary could serve.
	 */
	async hasSuccessor(term: GroupTerm): Promise<boolean> {
		const {syncReplicas, instances, statusReader, log} = this.dependencies;
		if (await syncReplicas.fetchSyncReplicas(term.group) === 0) {
			return true;
		}

		const readings = await statusReader.readStatuses(instances.getGroupInstances(term.group));
		const primary = readings.find(({instance, status}) => instance.id === term.primaryId && status.role === 'primary');
		if (primary === undefined) {
			return true;
		}

		for (const candidate of readings.filter(({instance}) => instance.state === 'ready' && instance.id !== term.primaryId)) {
			if (hasReached(await this.#waitForCatchUp(candidate, primary.status.position, preferredCatchUpTimeoutMs), primary.status.position)) {
				return true;
			}
		}

		log.logEvent('promotion.postponed', {
			group: term.group, term: term.term, primary: term.primaryId, answers: formatReadings(readings),
		});
		return false;
	}

	/**
	 * Promotes the most advanced instance, recording each order before it is given. Where replicas acknowledge commits, it has to have all of them.
	 * @param isResumed - Whether an earlier attempt was interrupted; the former primary is a candidate then.
	 * @returns The new primary, undefined if none could be promoted.
	 */
	async promoteSuccessor(closedTerm: StoredTerm, isResumed: boolean): Promise<PromotedInstance | undefined> {
		const syncReplicas = await this.#fetchSyncReplicas(closedTerm);
		const asked = this.dependencies.instances.getGroupInstances(closedTerm.group);
		const readings = await this.dependencies.statusReader.readStatuses(asked);
		this.#watchFormerOrder(closedTerm, readings);
		this.#logAnswers(closedTerm, asked, readings);
		for (const {instance} of readings) {
			this.dependencies.logHolders.confirmInstance(instance.id);
		}

		const settled = isResumed ? this.#findSettledPrimary(closedTerm, readings, syncReplicas) : undefined;
		if (settled !== undefined || syncReplicas === undefined) {
			return settled;
		}

		const formerId = getFormerPrimaryId(closedTerm);
		const position = readings.find(({instance, status}) => instance.id === formerId && status.role === 'primary')?.status.position ?? this.#getCutOffPosition(closedTerm);
		// An instance that drains may be the only one that has every commit.
		const usable = readings.filter(({instance}) => (instance.state === 'ready' || syncReplicas > 0) && (isResumed || instance.id !== formerId));
		const candidates = this.#rankCandidates(closedTerm, usable, {isResumed, canCatchUp: position !== undefined});
		const pendingOrder = this.#getPendingOrder(closedTerm);
		if (pendingOrder !== undefined) {
			this.#unansweredOrders.set(closedTerm.group, pendingOrder.instanceId);
		}

		const choice = {
			closedTerm, candidates, position, newestTerm: Math.max(closedTerm.term, ...readings.map(({status}) => status.term)),
		};
		const departed = syncReplicas === 0 ? [] : await this.dependencies.logHolderProbe.readDeparted(closedTerm.group);
		const holders = this.#createHolders(closedTerm, readings, departed);
		const promoted = await this.#promoteFirst(choice, ({status}) => hasEveryCommit(status.position, holders, syncReplicas));
		return promoted === 'none-eligible' ? this.#promoteRemaining(choice, holders, syncReplicas) : promoted;
	}

	/** Promotes the instance with the longest log, if what it lacks is in no log that may return. */
	async #promoteRemaining(choice: SuccessorChoice, holders: readonly CommitHolder[], syncReplicas: number): Promise<PromotedInstance | undefined> {
		if (syncReplicas === 0) {
			return undefined;
		}

		const {closedTerm: {group, term}, candidates} = choice;
		const {log, metrics} = this.dependencies;
		const remaining = candidates.filter(({status}) => isLongestRemaining(status.position, holders));
		if (remaining.length === 0) {
			log.logEvent('promotion.waiting', {
				group, term, syncReplicas, awaited: findAwaitedHolders(holders).join(', '),
			});
			return undefined;
		}

		log.logEvent('promotion.incomplete', {
			group, term, syncReplicas, answers: formatReadings(remaining),
		});
		metrics.addCount('promotions_incomplete');
		const promoted = await this.#promoteFirst({...choice, candidates: remaining}, () => true);
		return promoted === 'none-eligible' ? undefined : promoted;
	}

	/** Promotes the first candidate that is eligible; returns undefined if none could be promoted. */
	async #promoteFirst({closedTerm, candidates, position, newestTerm}: SuccessorChoice, isEligible: (candidate: InstanceWithStatus) => boolean): Promise<PromotedInstance | 'none-eligible' | undefined> {
		let term = closedTerm;
		let hasOrdered = false;
		for (const [index, candidate] of candidates.entries()) {
			const isPreferredByRegion = candidates.slice(index + 1).some(other => comparePositions(other.status.position, candidate.status.position) > 0);
			const reading = position === undefined ? candidate : await this.#waitForCatchUp(candidate, position, isPreferredByRegion ? preferredCatchUpTimeoutMs : catchUpTimeoutMs) ?? candidate;
			const hasCaughtUp = position === undefined || hasReached(reading, position);
			// Only an instance that has caught up may come before a more advanced one.
			const isPassedOver = isPreferredByRegion && !hasCaughtUp;
			if (isPassedOver || !this.#canPromote(candidate.instance) || !isEligible(reading)) {
				continue;
			}

			const order = {instanceId: candidate.instance.id, instanceTerm: candidate.status.term};
			const orderedTerm = await this.dependencies.termWriter.recordOrder(term, order, newestTerm, this.dependencies.promotionWatch.getPendingOrders(term.group));
			if (orderedTerm === undefined) {
				return undefined;
			}

			hasOrdered = true;
			const promoted = await this.#promote(orderedTerm, candidate, order);
			if (promoted !== undefined) {
				return promoted;
			}

			term = this.dependencies.termWriter.getStoredTerm(term.group) ?? orderedTerm;

			if (this.#unansweredOrders.has(term.group) && this.#canPromote(candidate.instance)) {
				// Once another instance is in use, the platform must not perform this order; the next attempt repeats it first.
				return undefined;
			}
		}

		return hasOrdered ? undefined : 'none-eligible';
	}

	/** Returns how many replicas have received a commit before it is acknowledged; undefined, with a log line, if that is not known. */
	async #fetchSyncReplicas({group, term}: StoredTerm): Promise<number | undefined> {
		const syncReplicas = await this.dependencies.syncReplicas.fetchSyncReplicas(group);
		if (syncReplicas === undefined) {
			this.dependencies.log.logEvent('promotion.waiting', {
				group, term, syncReplicas, awaited: 'the configuration',
			});
		}

		return syncReplicas;
	}

	/**
	 * Creates the instances that may hold commits of a closed term, with what they state.
	 * @param departed - What instances state that are not listed any more and run on.
	 */
	#createHolders(closedTerm: StoredTerm, readings: readonly InstanceWithStatus[], departed: readonly InstanceWithStatus[]): CommitHolder[] {
		const {logHolders, terms, clock} = this.dependencies;
		const {group} = closedTerm;
		const formerId = getFormerPrimaryId(closedTerm);
		const closingSince = terms.getClosingSince(group) ?? clock.now();
		const known: readonly LogHolder[] = logHolders.getHolders(group, closingSince);
		const isFormerKnown = formerId === noPrimaryId || logHolders.isSucceeded(formerId) || known.some(({id}) => id === formerId);
		const former = {id: formerId, address: '', mayReturn: clock.now() - closingSince < instanceRetentionMs};
		const statedPositions = this.#recordStatedPositions(group, closingSince, [...readings, ...departed]);
		return [...known, ...(isFormerKnown ? [] : [former])].map(({
			id, departure, endedAt, coveringPosition, mayReturn,
		}: LogHolder) => {
			const answers = departure === undefined ? readings : (departure === 'unlisted' && mayReturn ? departed : []);
			const reading = answers.find(({instance}) => instance.id === id);
			const cutOffPosition = id === formerId && reading === undefined ? this.#getCutOffPosition(closedTerm) : undefined;
			return {
				id,
				isPrimary: id === formerId && (cutOffPosition !== undefined || (reading?.status.role === 'primary' && reading.status.term === closedTerm.term)),
				position: reading?.status.position ?? cutOffPosition,
				// A process that started again under the same id may have stated less than its predecessor had.
				coveringPosition: coveringPosition ?? (departure === 'restarted' ? undefined : statedPositions.get(id)) ?? (endedAt === undefined ? undefined : terms.getPositionCovering(group, endedAt)),
				mayReturn,
			};
		});
	}

	/** Records the positions that instances state after a term has closed, and returns all since then, by id. */
	#recordStatedPositions(group: string, closingSince: number, readings: readonly InstanceWithStatus[]): ReadonlyMap<string, LogPosition> {
		const known = this.#statedPositions.get(group);
		const positions = known?.closingSince === closingSince ? known.positions : new Map<string, LogPosition>();
		for (const {instance, status} of readings) {
			positions.set(instance.id, status.position);
		}

		this.#statedPositions.set(group, {closingSince, positions});
		return positions;
	}

	#logAnswers({group, term}: StoredTerm, asked: readonly Instance[], readings: readonly InstanceWithStatus[]): void {
		const answered = new Set(readings.map(({instance}) => instance.id));
		this.dependencies.log.logEvent('promotion.answered', {
			group, term, answers: formatReadings(readings), silent: asked.flatMap(({id}) => answered.has(id) ? [] : [id]).join(', '),
		});
	}

	#getOrderedPromotion({promotion}: StoredTerm): OrderedPromotion {
		return getOrderedPromotion(promotion, this.dependencies.coordinatorLease.token);
	}

	/** Finds the primary from the record or, where it is incomplete, from the answers of all instances. */
	#findSettledPrimary(closedTerm: StoredTerm, readings: readonly InstanceWithStatus[], syncReplicas: number | undefined): PromotedInstance | undefined {
		const ordered = this.#getOrderedPromotion(closedTerm);
		if (ordered !== 'unknown') {
			return this.#findRecordedPrimary(closedTerm, ordered, readings, syncReplicas);
		}

		const expectedCount = this.dependencies.groupSizes.countInstances(closedTerm.group);
		return this.#createResumed(closedTerm, ordered, readings, findSurveyedPrimary(createRoles(readings), expectedCount), syncReplicas);
	}

	#findRecordedPrimary(closedTerm: StoredTerm, ordered: Exclude<OrderedPromotion, 'unknown'>, readings: readonly InstanceWithStatus[], syncReplicas: number | undefined): PromotedInstance | undefined {
		const former = {id: getFormerPrimaryId(closedTerm), term: closedTerm.term};
		return this.#createResumed(closedTerm, ordered, readings, findRecordedPrimary(former, ordered, createRoles(readings)), syncReplicas);
	}

	/** Logs how an interrupted change goes on, and returns the primary that was found; a former one that leaves is replaced instead, unless its successor has to have every commit. */
	#createResumed(closedTerm: StoredTerm, ordered: OrderedPromotion, readings: readonly InstanceWithStatus[], found: InstanceRole | undefined, syncReplicas: number | undefined): PromotedInstance | undefined {
		const isLeaving = ({instance}: InstanceWithStatus) => instance.state === 'draining' && instance.id === getFormerPrimaryId(closedTerm);
		const reading = readings.find(candidate => candidate.instance.id === found?.id && (syncReplicas !== 0 || !isLeaving(candidate)));
		this.dependencies.log.logEvent('promotion.resumed', {
			group: closedTerm.group, term: closedTerm.term, ordered: typeof ordered === 'string' ? ordered : ordered.instanceId, answers: readings.length, primary: reading?.instance.id,
		});
		return reading === undefined ? undefined : {...reading, revision: closedTerm.revision};
	}

	/** Ranks the candidates for the next primary of a group; of equal ones, those that are not cold come first. */
	#rankCandidates(closedTerm: StoredTerm, readings: readonly InstanceWithStatus[], {isResumed, canCatchUp}: {readonly isResumed: boolean; readonly canCatchUp: boolean}): InstanceWithStatus[] {
		const {regions, instances, coordinator, clock} = this.dependencies;
		const now = clock.now();
		const getRegion = (instance: Instance | undefined) => instance === undefined ? undefined : regions.get(instance.zone);
		const isCold = ({instance}: InstanceWithStatus) => Number(instances.isCold(instance.id, now));
		const isDraining = ({instance}: InstanceWithStatus) => Number(instance.state === 'draining');
		const candidates = readings.toSorted((a, b) => isCold(a) - isCold(b)).map(reading => ({reading, position: reading.status.position, region: getRegion(reading.instance)}));
		const ranked = rankSuccessors(candidates, {
			canCatchUp, formerRegion: getRegion(instances.getInstance(getFormerPrimaryId(closedTerm))), writesPerS: coordinator.sumWritesByRegion(closedTerm.group),
		}).map(({reading}) => reading).toSorted((a, b) => isDraining(a) - isDraining(b));
		return isResumed ? rankResumedCandidates(createRoles(ranked), closedTerm.term, this.#getPendingOrder(closedTerm)?.instanceId).map(({reading}) => reading) : ranked;
	}

	/** Watches the instance of the last order of another coordinator, unless what instances state shows that it has taken effect. */
	#watchFormerOrder({group, term, promotion, pendingOrders = []}: StoredTerm, readings: readonly InstanceWithStatus[]): void {
		const order = promotion?.order;
		if (order === undefined || promotion!.token === this.dependencies.coordinatorLease.token) {
			return;
		}

		const newestTerm = Math.max(term, ...readings.map(({status}) => status.term));
		if (hasTakenEffect(term, newestTerm, pendingOrders.length)) {
			this.dependencies.promotionWatch.removeOrdered(group, order.instanceId);
		} else {
			this.dependencies.promotionWatch.addOrdered(group, order.instanceId);
		}
	}

	/** Returns the last order if it may still take effect: another coordinator gave it, or this one has got no answer. */
	#getPendingOrder({group, promotion}: StoredTerm): PromotionOrder | undefined {
		const order = promotion?.order;
		const isSettled = promotion?.token === this.dependencies.coordinatorLease.token && this.#unansweredOrders.get(group) !== order?.instanceId;
		return isSettled ? undefined : order;
	}

	/** Returns the newest known position of a primary that cannot be asked because its zone is evacuated, undefined for any other primary. */
	#getCutOffPosition(closedTerm: StoredTerm): LogPosition | undefined {
		const {instances, guard, terms} = this.dependencies;
		const primary = instances.getInstance(getFormerPrimaryId(closedTerm));
		return primary !== undefined && guard.isCutOff(primary) ? terms.getNewestPosition(closedTerm.group)?.position : undefined;
	}

	/** Waits until a candidate has the log up to a position or the time is up; returns what it states then, undefined if it does not answer. */
	async #waitForCatchUp(candidate: InstanceWithStatus, position: LogPosition, timeoutMs: number): Promise<InstanceWithStatus | undefined> {
		const deadline = this.dependencies.clock.now() + timeoutMs;
		let reading: InstanceWithStatus | undefined = candidate;
		while (reading !== undefined && !hasReached(reading, position) && this.dependencies.clock.now() < deadline) {
			await delay(pollIntervalMs);
			reading = await this.dependencies.statusReader.readStatusWithRetry(candidate.instance);
		}

		return reading;
	}

	/** Returns whether an instance may be promoted now: the lease is not about to expire, and the zone of the instance, which may have been evacuated since it was chosen, is not. */
	#canPromote(instance: Instance): boolean {
		return this.dependencies.coordinatorLease.getRemainingMs() >= minRemainingLeaseMs && this.dependencies.guard.getAccess(instance) === 'all';
	}

	/** Orders a promotion and waits until the instance is the primary; returns undefined if the request is rejected, the instance may not be promoted any more, or the time is up. */
	async #promote(orderedTerm: StoredTerm, candidate: InstanceWithStatus, order: PromotionOrder): Promise<PromotedInstance | undefined> {
		const {clock, coordinatorLease, termWriter, promotionWatch, vm, log} = this.dependencies;
		const {group} = orderedTerm;
		const {instance} = candidate;
		let term = orderedTerm;
		const deadline = clock.now() + promotionEffectTimeoutMs;
		if (this.#unansweredOrders.get(group) !== instance.id) {
			this.#unansweredOrders.delete(group);
		}

		while (clock.now() < deadline && this.#canPromote(instance)) {
			const {token} = coordinatorLease;
			const result = await this.#sendOrder({
				group, instanceId: instance.id, holder: vm, fencingToken: token,
			});
			log.logEvent('promotion.ordered', {
				group, instance: instance.id, token, result,
			});
			if (result === 'unknown') {
				this.#unansweredOrders.set(group, instance.id);
				// A later coordinator has to know that the order was given more than once.
				term = await termWriter.recordOrder(term, order, term.term, promotionWatch.getPendingOrders(group)) ?? term;
			}

			if (result === 'rejected') {
				this.#unansweredOrders.delete(group);
				return undefined;
			}

			if (result === 'accepted') {
				this.#unansweredOrders.delete(group);
				const promoted = await this.#waitUntilPrimary(candidate, order, deadline);
				return promoted && {...promoted, revision: term.revision};
			}

			await delay(pollIntervalMs);
		}

		return undefined;
	}

	/** Sends an order, and gives it up when the lease under which it is sent ends. */
	async #sendOrder(request: PromotionRequest): Promise<PromotionResult> {
		const {promotionService, coordinatorLease, promotionWatch} = this.dependencies;
		const {group, instanceId} = request;
		const controller = new AbortController();
		let result: PromotionResult = 'unknown';
		this.#runningOrders.add(controller);
		promotionWatch.beginOrder(group, instanceId);
		try {
			result = await promotionService.promote(request, Math.min(promoteTimeoutMs, coordinatorLease.getRemainingMs()), controller.signal);
			return result;
		} finally {
			this.#runningOrders.delete(controller);
			promotionWatch.endOrder(group, instanceId, result !== 'unknown');
		}
	}

	async #waitUntilPrimary({instance, status: {role}}: InstanceWithStatus, order: PromotionOrder, deadline: number): Promise<InstanceWithStatus | undefined> {
		const {clock, statusReader} = this.dependencies;
		const acceptedAt = clock.now();
		while (clock.now() < Math.max(deadline, acceptedAt + confirmationMs + pollIntervalMs)) {
			const reading = await statusReader.readStatusWithRetry(instance);
			if (reading !== undefined && isOrderComplete(order, role === 'primary', reading.status, clock.now() - acceptedAt)) {
				return reading;
			}

			await delay(pollIntervalMs);
		}

		return undefined;
	}
}

/** Returns the primary with the newest term among those that answered, undefined if there is none. */
export function findPrimary(readings: readonly InstanceWithStatus[]): InstanceWithStatus | undefined {
	return readings.filter(reading => reading.status.role === 'primary').toSorted((a, b) => b.status.term - a.status.term)[0];
}

/** Creates the roles that instances state, with the readings that they are from. */
export function createRoles(readings: readonly InstanceWithStatus[]): Array<InstanceRole & {readonly reading: InstanceWithStatus}> {
	return readings.map(reading => {
		const {instance: {id}, status: {role, term}} = reading;
		return {
			id, role, term, reading,
		};
	});
}

function hasReached(reading: InstanceWithStatus | undefined, position: LogPosition): boolean {
	return reading !== undefined && comparePositions(reading.status.position, position) >= 0;
}

function formatReadings(readings: readonly InstanceWithStatus[]): string {
	return readings.map(reading => formatReading(reading)).join(', ');
}

function formatReading({instance: {id, state}, status: {role, term, position}}: InstanceWithStatus): string {
	return `${id} ${state} ${role} ${term} ${position.term}.${position.offset}`;
}

/** Returns the id of the primary of a closed term, which its row names only until a promotion is ordered. */
function getFormerPrimaryId({primaryId, promotion}: StoredTerm): string {
	return promotion?.formerPrimaryId ?? primaryId;
}

async function delay(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
