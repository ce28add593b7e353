import {rankSuccessors} from '@chicorysaddle/decisions';
import {comparePositions, type LogPosition} from '@chicorysaddle/model';
import {type InstanceGuard} from '../evacuation/index.js';
import {type Instance, type InstanceRegistry} from '../instances/index.js';
import {type EventLog} from '../observability/index.js';
import {type Clock, type PromotionService} from '../ports/index.js';
import {type InstanceStatusReader, type InstanceWithStatus} from '../positions/index.js';
import {type GroupTerm, type TermRegistry} from '../terms/index.js';
import {type Coordinator} from './coordinator.js';
import {type CoordinatorLease} from './coordinator-lease.js';

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
	readonly guard: InstanceGuard;
	readonly statusReader: InstanceStatusReader;
	readonly promotionService: PromotionService;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** Chooses the successor of a primary whose term has closed, and promotes it. */
export class SuccessorPromoter {
	constructor(private readonly dependencies: SuccessorPromoterDependencies) {}

	/** Finds the new primary: an instance that was already promoted, otherwise the most advanced one, which it promotes; returns undefined if none could be promoted. */
	async promoteSuccessor(closedTerm: GroupTerm, isResumed: boolean): Promise<InstanceWithStatus | undefined> {
		const instances = this.dependencies.instances.getGroupInstances(closedTerm.group);
		const readings = await this.dependencies.statusReader.readStatuses(instances);
		const primary = findPrimary(readings.filter(reading => reading.status.term > closedTerm.term));
		if (primary !== undefined) {
			return primary;
		}

		const formerPrimary = readings.find(reading => reading.instance.id === closedTerm.primaryId && reading.status.role === 'primary');
		if (formerPrimary?.instance.state === 'ready' && isResumed) {
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
			reading = await this.dependencies.statusReader.readStatusWithRetry(candidate.instance);
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
			const reading = await this.dependencies.statusReader.readStatusWithRetry(instance);
			if (reading?.status.role === 'primary' && reading.status.term > closedTerm.term) {
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

async function delay(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
