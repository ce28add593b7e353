import {
	GroupAdmission, GroupLoad, isLongQueue, QueueMeter, type QueueLoad, type QueueTarget, sumClasses,
} from '@chicorysaddle/decisions';
import {type Refusal, refusals} from '@chicorysaddle/model';
import {type CoordinatorReport, type QueueLoadMessage} from '@chicorysaddle/protocol/coordination';
import {type ConfigurationView, type DatabaseRoute, getPriorityClass} from '../configuration/index.js';
import {type InstanceTracker, type PlacementRequest} from '../dispatch/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type Clock} from '../ports/index.js';
import {type TermRegistry} from '../terms/index.js';
import {LatencyTargets} from './latency-targets.js';
import {createQueueLoadMessage, parseSummedLoads} from './load-messages.js';
import {type OverloadedOperation, ReturnPlanner} from './return-planner.js';

/** Dependencies of an `AdmissionGate`. */
export type AdmissionGateDependencies = {
	readonly configuration: ConfigurationView;
	readonly terms: TermRegistry;
	readonly clock: Clock;
	readonly metrics: GatewayMetrics;
	readonly log: EventLog;
	/** Returns a random number in [0, 1). */
	readonly random: () => number;
	/** Returns the tracker of an instance, undefined if it is not registered. */
	readonly getTracker: (instanceId: string) => InstanceTracker | undefined;
};

/** Reason for which an operation is refused; it names the counter. */
type RefusalReason = 'own_queue' | 'hopeless' | 'pressure' | 'expired';

/** Measures the queues of this VM, exchanges loads with the coordinator, and refuses on arrival what cannot be placed in time. */
export class AdmissionGate {
	readonly #waiting = new Set<PlacementRequest>();
	readonly #meters = new Map<string, QueueMeter>();
	readonly #loads = new GroupLoad();
	readonly #admission: GroupAdmission;
	readonly #returns: ReturnPlanner;
	#memberCount = 1;

	constructor(private readonly dependencies: AdmissionGateDependencies) {
		const targets = new LatencyTargets(dependencies.configuration);
		this.#admission = new GroupAdmission(this.#loads, (group, target, priority) => targets.getTargetMs(group, target, priority));
		this.#returns = new ReturnPlanner(dependencies.random);
		dependencies.metrics.addGauge('admission_level', () => this.#admission.getHighestLevel());
		dependencies.terms.onChanged(({group}) => {
			this.#resetPrimaryQueue(group);
		});
	}

	/** Records a request that begins to wait for a connection. */
	recordWaiting(request: PlacementRequest): void {
		this.#waiting.add(request);
		this.#getMeter(request.group, request.target).recordWaiting(getPriorityClass(request.priority), request.account, this.dependencies.clock.now());
	}

	/** Records that a request no longer waits; has no effect for one that never did. */
	recordSettled(request: PlacementRequest, isPlaced: boolean): void {
		if (this.#waiting.delete(request)) {
			this.#getMeter(request.group, request.target).recordSettled(getPriorityClass(request.priority), request.account, isPlaced, this.dependencies.clock.now());
		}
	}

	/**
	 * Decides on a waiting request that found no connection on its arrival. A request of another VM was checked there against the load of all VMs, so only the queue of this VM counts.
	 * @param ownWaitMs - Estimated wait by the queue of this VM alone, in milliseconds.
	 * @returns The refusal, undefined if the request may wait.
	 */
	checkArrival(request: PlacementRequest, ownWaitMs: number): Refusal | undefined {
		const {group, target} = request;
		const now = this.dependencies.clock.now();
		const timeLeftMs = request.deadline - now;
		const meter = this.#getMeter(group, target);
		if (ownWaitMs > timeLeftMs) {
			this.dependencies.metrics.addCount('place_hopeless');
			return this.#refuse(request, 'own_queue', {earliestMs: ownWaitMs / 2, placedPerS: (meter.size * 1000) / Math.max(1, ownWaitMs), patienceMs: timeLeftMs});
		}

		return request.instanceId === undefined ? this.#checkLoad(request, meter.countFromAbove(getPriorityClass(request.priority)) - 1, now) : undefined;
	}

	/** Decides on a request that is forwarded on its arrival and waits at the gateway of an instance; returns the refusal, undefined if it is forwarded. */
	checkForwarding(request: PlacementRequest): Refusal | undefined {
		return this.#checkLoad(request, undefined, this.dependencies.clock.now());
	}

	/**
	 * Refuses a request whose deadline passed while it waited.
	 * @param waitedMs - Time for which it waited, in milliseconds.
	 */
	refuseExpired(request: PlacementRequest, waitedMs: number): Refusal {
		const {placedPerS} = this.#getMeter(request.group, request.target).getLoad(this.dependencies.clock.now());
		return this.#refuse(request, 'expired', {earliestMs: waitedMs / 2, placedPerS: sumClasses(placedPerS), patienceMs: waitedMs});
	}

	/**
	 * Refuses an operation whose account is over its limit.
	 * @param waitMs - Time until the account may run another one, in milliseconds.
	 * @param limit - Description of the limit.
	 */
	refuseOverLimit(account: string, waitMs: number, {priority, statementTimeoutMs}: DatabaseRoute, limit: string): Refusal {
		const {configuration, clock, metrics} = this.dependencies;
		const priorityClass = getPriorityClass(priority);
		metrics.addCount(`limit_refused_${priorityClass}`);
		const ratePerS = (configuration.getAccount(account)?.ratePerS ?? 0) / this.#memberCount;
		return refusals.overLimit(account, Math.ceil(this.#returns.computeLimitDelay({
			account, waitMs, ratePerS, priority: priorityClass, patienceMs: statementTimeoutMs,
		}, clock.now())), limit);
	}

	/** Creates the loads for a heartbeat; returns undefined if no request waits for long here, nor elsewhere as far as this VM knows. */
	createLoads(): QueueLoadMessage[] | undefined {
		const now = this.dependencies.clock.now();
		this.#updateLevels(now);
		const loads: QueueLoad[] = [];
		for (const meter of this.#meters.values()) {
			const load = meter.getLoad(now);
			if (!this.#isMeasurable(load.group, load.target, now)) {
				meter.reset(now);
			} else if (isLongQueue(load) || this.#isWaitingElsewhere(load, now)) {
				loads.push(load);
			}
		}

		return loads.length === 0 ? undefined : loads.map(load => createQueueLoadMessage(load));
	}

	/**
	 * Applies the loads of a report.
	 * @param sentAt - Monotonic time before which the report was not created, in milliseconds.
	 */
	applyReport({loads, members}: Pick<CoordinatorReport, 'loads' | 'members'>, sentAt: number): void {
		this.#memberCount = Math.max(1, members);
		this.#loads.setLoads(parseSummedLoads(loads), sentAt);
		this.#updateLevels(this.dependencies.clock.now());
	}

	/** Decides on a request by the load of its group on all VMs. */
	#checkLoad(request: PlacementRequest, aheadOnVm: number | undefined, now: number): Refusal | undefined {
		const {group, target, account} = request;
		if (!this.#isMeasurable(group, target, now)) {
			return undefined;
		}

		const meter = this.#getMeter(group, target);
		const timeLeftMs = request.deadline - now;
		const priority = getPriorityClass(request.priority);
		const decision = this.#admission.admitOperation({
			group, target, account, timeLeftMs, priority, ownCount: meter.getAccountCount(account) - 1, aheadOnVm,
		}, now);
		if (decision.kind === 'admit') {
			return undefined;
		}

		const share = Math.max(1 / this.#memberCount, Math.min(1, meter.size / Math.max(1, decision.waiting)));
		return this.#refuse(request, decision.reason, {earliestMs: decision.earliestMs, placedPerS: decision.placedPerS * share, patienceMs: timeLeftMs});
	}

	#updateLevels(now: number): void {
		for (const {group, target, priority, before, level} of this.#admission.updateLevels(now)) {
			this.dependencies.log.logEvent('admission.level', {
				group, target, class: priority, level, before,
			});
		}
	}

	#refuse({group, target, priority}: PlacementRequest, reason: RefusalReason, plan: Pick<OverloadedOperation, 'earliestMs' | 'placedPerS' | 'patienceMs'>): Refusal {
		const priorityClass = getPriorityClass(priority);
		this.dependencies.metrics.addCount(`admission_${reason}_${priorityClass}`);
		return refusals.overloaded(group, this.#returns.computeOverloadDelay({
			group, target, priority: priorityClass, ...plan,
		}, this.dependencies.clock.now()));
	}

	/** Returns whether the length of a queue tells about load: a queue for a primary that cannot be used waits for another primary. */
	#isMeasurable(group: string, target: QueueTarget, now: number): boolean {
		if (target === 'any') {
			return true;
		}

		const primaryId = this.dependencies.terms.getUsablePrimary(group);
		const tracker = primaryId === undefined ? undefined : this.dependencies.getTracker(primaryId);
		return tracker?.isUsable(now) === true && tracker.getSilentSince(now) === undefined;
	}

	#isWaitingElsewhere({group, target}: QueueLoad, now: number): boolean {
		const load = this.#loads.getLoad(group, target, now);
		return load !== undefined && sumClasses(load.waiting) > 0;
	}

	#resetPrimaryQueue(group: string): void {
		this.#meters.get(getMeterKey(group, 'primary'))?.reset(this.dependencies.clock.now());
		this.#loads.removeLoad(group, 'primary');
	}

	#getMeter(group: string, target: QueueTarget): QueueMeter {
		const key = getMeterKey(group, target);
		let meter = this.#meters.get(key);
		if (meter === undefined) {
			meter = new QueueMeter(group, target);
			this.#meters.set(key, meter);
		}

		return meter;
	}
}

function getMeterKey(group: string, target: QueueTarget): string {
	return `${target} ${group}`;
}
