import {
	checkGatewayOpening, FairQueue, type GatewayOpening, type InstanceCandidate, InstanceChooser, type QueueEntry, WaitEstimator,
} from '@chicorysaddle/decisions';
import {clampTimerMs, type Refusal, refusals} from '@chicorysaddle/model';
import {AdmissionGate} from '../admission/index.js';
import {getPriorityClass, type ConfigurationView} from '../configuration/index.js';
import {type InstanceGuard} from '../evacuation/index.js';
import {type Instance, type InstanceRegistry} from '../instances/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {
	type AdjustableSettingsSource, type Clock, type ConnectFailure, type InstanceConnector,
} from '../ports/index.js';
import {type BackgroundTasks} from '../tasks/index.js';
import {type TermRegistry} from '../terms/index.js';
import {ConnectionLimits} from './connection-limits.js';
import {InstancePool} from './instance-pool.js';
import {type InstanceTracker} from './instance-tracker.js';
import {type PooledConnection} from './pooled-connection.js';
import {type NetworkDistance} from './network-distance.js';
import {
	type Placement, type PlacementRequest, type PlacementResult, type RoutedPlacementResult,
} from './placement.js';
import {type PlacementRoute, type PlacementRouter} from './placement-router.js';
import {estimateReadWaits, estimateReplicationWaitMs} from './read-wait.js';

type Waiter = {
	readonly request: PlacementRequest;
	readonly excluded: Set<string>;
	readonly queuedAt: number;
	/** Pool that is opening a connection for this request; a connection that becomes free earlier is used instead. */
	openingPool: InstancePool | undefined;
	/** Whether the request may be placed at the gateway of an instance. */
	readonly canForward: boolean;
	/** Whether the admission has decided on the request. */
	isChecked: boolean;
	readonly settle: (result: RoutedPlacementResult) => void;
};

type Candidate = {
	readonly pool: InstancePool;
	/** Idle connection to use; undefined when one has to be opened. */
	readonly idle: PooledConnection | undefined;
	/** Gateway to use; undefined when the connection is one of this VM. */
	readonly gateway: Extract<PlacementRoute, {kind: 'forward'}> | undefined;
	readonly isPrimary: boolean;
};

/** Interval between checks of the waiting requests for expired deadlines and unusable instances, in milliseconds. */
const waiterCheckIntervalMs = 20;

/** Time that a request waits before it may evict an idle connection that other waiting requests could use, in milliseconds: a few handshakes. */
const evictionDelayMs = 60;

/** Interval between checks for connections that were idle for too long, in milliseconds. */
const idleCheckIntervalMs = 100;

/** Minimum time between the loss of the primary by this VM and an answer to another VM that proves a partition, in milliseconds: longer than an answer takes. */
const partitionConfirmationMs = 200;

/** Retry delay given to a caller that another VM can serve, in milliseconds. */
const partitionRetryMs = 20;

/** Maximum time for which statements wait for a missing term lease, in milliseconds: several times what a new process needs to acquire one. */
const maxMissingLeaseMs = 400;

/** Mean retry delay given to a caller of a VM without a term lease, in milliseconds: the interval at which an unreachable store is polled. */
const missingLeaseRetryMs = 800;

/** Retry delay in the refusal of a request that is no longer awaited, in milliseconds; no caller receives it. */
const abandonedRetryMs = 200;

/** Retry delay given to a caller whose request could not be placed because of an error, in milliseconds. */
const errorRetryMs = 200;

/** Maximum time until a VM knows that an instance is draining, including the transit of its last statement, in milliseconds. */
const drainPropagationMs = 2500;

/** Dependencies of a dispatcher. */
export type DispatcherDependencies = {
	readonly configuration: ConfigurationView;
	readonly instances: InstanceRegistry;
	readonly guard: InstanceGuard;
	readonly terms: TermRegistry;
	readonly connector: InstanceConnector;
	readonly clock: Clock;
	readonly metrics: GatewayMetrics;
	readonly log: EventLog;
	readonly distance: NetworkDistance;
	/** Returns a random number in [0, 1). */
	readonly random: () => number;
	readonly getSettings: AdjustableSettingsSource;
	readonly tasks: BackgroundTasks;
	/** Decides about gateways; absent where no operation is forwarded. */
	readonly router?: PlacementRouter | undefined;
};

/** Assigns connections to statements and transactions, by priority and fairly between client accounts. */
export class Dispatcher {
	/** Decides by the load of all VMs which requests may wait. */
	readonly admission: AdmissionGate;
	readonly #pools = new Map<string, InstancePool>();
	readonly #queues = new Map<string, FairQueue<Waiter>>();
	readonly #waiters = new Map<string, Set<Waiter>>();
	/** Wait estimators by target and group. */
	readonly #estimators = new Map<string, WaitEstimator>();
	/** Groups that are being dispatched, with whether another pass is needed. */
	readonly #dispatchingGroups = new Map<string, boolean>();
	readonly #chooser: InstanceChooser;
	readonly #limits: ConnectionLimits;
	#waiterCheckTimer: NodeJS.Timeout | undefined;
	/** Timers that dispatch a group again when an instance that a read waits for is expected to be usable. */
	readonly #dispatchTimers = new Map<string, NodeJS.Timeout>();

	constructor(private readonly dependencies: DispatcherDependencies) {
		this.#limits = new ConnectionLimits(dependencies);
		this.#chooser = new InstanceChooser(dependencies.distance.roundTrips);
		this.admission = new AdmissionGate({...dependencies, getTracker: instanceId => this.getTracker(instanceId)});
		const {tasks} = dependencies;
		dependencies.instances.onChanged(tasks.createCallback('instance pools', (before, after) => {
			this.#handleInstanceChange(before, after);
		}));
		dependencies.terms.onChanged(term => {
			this.#tryDispatchGroup(term.group);
		});
		dependencies.terms.onLeaseAcquired(() => {
			this.#dispatchAllGroups();
		});
		dependencies.router?.onCapacityFreed(() => {
			this.#dispatchAllGroups();
		});
		setInterval(() => {
			for (const pool of this.#pools.values()) {
				tasks.tryCall('instance pools', () => {
					pool.setCutOff(this.isCutOff(pool.instance));
					this.#limits.closeIdle(pool);
				});
			}
		}, idleCheckIntervalMs).unref();
	}

	/** Sets the number of VMs that share the connections of an instance. */
	setMemberCount(memberCount: number): void {
		this.#limits.setMemberCount(memberCount);
		this.dependencies.router?.setMemberCount(memberCount);
	}

	/** Returns the tracker of an instance, undefined if the instance is not registered. */
	getTracker(instanceId: string): InstanceTracker | undefined {
		return this.#pools.get(instanceId)?.tracker;
	}

	/** Returns whether nothing may be sent to an instance, because its availability zone is evacuated. */
	isCutOff(instance: Instance): boolean {
		return this.dependencies.guard.isCutOff(instance);
	}

	/**
	 * Formats the busy and open connections of each instance, and its last overload, for the log.
	 * @param group - Group of the instances; all groups if absent.
	 */
	formatPoolUsage(group?: string): string {
		return [...this.#pools.values()].filter(({instance}) => group === undefined || instance.group === group).map(pool => pool.formatUsage(this.dependencies.clock.now())).join(' ');
	}

	/**
	 * Counts the requests that wait for a connection.
	 * @param group - Group of the instances; all groups if absent.
	 */
	countWaiting(group?: string): number {
		if (group !== undefined) {
			return this.#queues.get(group)?.size ?? 0;
		}

		let count = 0;
		for (const queue of this.#queues.values()) {
			count += queue.size;
		}

		return count;
	}

	/** Counts the open connections of this VM to instances of which it is a gateway. */
	countGatewayConnections(): number {
		return [...this.#pools.values()].reduce((count, pool) => count + (this.#limits.isGateway(pool) ? pool.connectionCount : 0), 0);
	}

	/** Waits for a connection of this VM; refuses the request when its deadline cannot be met or this VM cannot use the primary. */
	async acquire(request: PlacementRequest): Promise<PlacementResult> {
		const result = await this.#place(request, false);
		if (result.kind === 'forwarded') {
			result.placement.release();
			throw new Error('a request for a connection of this VM was placed at a gateway');
		}

		return result;
	}

	/** Waits for a connection of this VM or of the gateway of an instance; refuses the request as `acquire` does. */
	async acquireOrForward(request: PlacementRequest): Promise<RoutedPlacementResult> {
		return this.#place(request, true);
	}

	/** Stops waiting for a connection; the request is refused. */
	abandon(request: PlacementRequest): void {
		for (const waiter of this.#waiters.get(request.group) ?? []) {
			if (waiter.request === request) {
				this.#queues.get(request.group)!.removeEntry(waiter);
				waiter.settle({kind: 'refused', refusal: refusals.overloaded(request.group, abandonedRetryMs)});
				return;
			}
		}
	}

	async #place(request: PlacementRequest, canForward: boolean): Promise<RoutedPlacementResult> {
		return new Promise(resolve => {
			const queuedAt = this.dependencies.clock.now();
			let isSettled = false;
			const waiter: Waiter = {
				request, excluded: new Set(request.excluded), queuedAt, openingPool: undefined, canForward, isChecked: false, settle: result => {
					if (isSettled) {
						return;
					}

					isSettled = true;
					this.#waiters.get(request.group)?.delete(waiter);
					resolve(result);
					this.dependencies.tasks.tryCall('admission', () => {
						// A forwarded request is placed at its gateway, which counts it.
						this.admission.recordSettled(request, result.kind === 'placed');
						this.dependencies.metrics.recordDuration('place', this.dependencies.clock.now() - queuedAt);
					});
				},
			};
			const refusal = this.#checkPrimary(request);
			if (refusal !== undefined) {
				waiter.settle({kind: 'refused', refusal});
				return;
			}

			this.#enqueue(waiter);
			this.#tryDispatchGroup(request.group);
			// After an error the request waits until its deadline.
			this.dependencies.tasks.tryCall('admission', () => {
				this.#refuseIfTooLate(waiter);
			});
		});
	}

	/** Refuses all waiting requests. */
	refuseWaiting(refusal: Refusal): void {
		for (const [group, waiters] of this.#waiters) {
			for (const waiter of waiters) {
				this.#queues.get(group)!.removeEntry(waiter);
				waiter.settle({kind: 'refused', refusal});
			}
		}
	}

	/**
	 * Returns a connection to its pool.
	 * @param isClean - Whether the connection is outside a transaction and has no statement in flight.
	 */
	release(placement: Placement, isClean: boolean): void {
		placement.pool.release(placement.connection, isClean);
	}

	/** Returns the refusal of a request whose primary this VM cannot use for a while, undefined if the request may wait. */
	#checkPrimary(request: PlacementRequest): Refusal | undefined {
		if (request.target === 'primary' && this.dependencies.terms.getMsWithoutLease() > maxMissingLeaseMs) {
			return refusals.primaryUnavailable(request.group, missingLeaseRetryMs * (0.5 + this.dependencies.random()));
		}

		const evacuationRefusal = this.dependencies.guard.createRefusal(request.group);
		if (evacuationRefusal !== undefined) {
			return evacuationRefusal;
		}

		if (request.instanceId !== undefined && !this.#canReach(request, request.instanceId)) {
			return refusals.primaryUnavailable(request.group, partitionRetryMs);
		}

		return this.#isPartitionedFromPrimary(request) ? refusals.primaryUnavailable(request.group, partitionRetryMs) : undefined;
	}

	/** Returns whether this VM can use the instance to which a request is bound; it may still have to wait for it. */
	#canReach({group, target}: PlacementRequest, instanceId: string): boolean {
		const {terms, clock} = this.dependencies;
		const pool = this.#pools.get(instanceId);
		const now = clock.now();
		if (pool === undefined || pool.tracker.getSilentSince(now) !== undefined) {
			return false;
		}

		// After the backoff of a failure a request may try the instance again.
		const isFailing = pool.tracker.failingSince !== undefined && !pool.tracker.isUsable(now);
		const hasNoCapacity = pool.connectionCount === 0 && pool.tracker.getOverloadReason(now) === 'connection-limit';
		if (isFailing || hasNoCapacity) {
			return false;
		}

		return target === 'primary' ? terms.getTerm(group)?.primaryId === instanceId : pool.instance.state === 'ready';
	}

	/** Returns whether this VM cannot reach a primary that other VMs reach, so that those can serve the caller. */
	#isPartitionedFromPrimary(request: PlacementRequest): boolean {
		const primaryId = request.target === 'primary' ? this.dependencies.terms.getUsablePrimary(request.group) : undefined;
		const tracker = primaryId === undefined ? undefined : this.getTracker(primaryId);
		const newest = this.dependencies.terms.getNewestPosition(request.group);
		if (tracker?.failingSince === undefined || newest === undefined || tracker.isUsable(this.dependencies.clock.now())) {
			return false;
		}

		return this.dependencies.clock.now() - newest.ageMs > tracker.failingSince + partitionConfirmationMs;
	}

	/** Refuses a request whose estimated wait in the queue exceeds its deadline. */
	#refuseIfTooLate(waiter: Waiter): void {
		const {request} = waiter;
		const waiting = this.#waiters.get(request.group);
		const isPrimaryMissing = request.target === 'primary' && this.dependencies.terms.getUsablePrimary(request.group) === undefined;
		if (waiting?.has(waiter) !== true || isPrimaryMissing) {
			return;
		}

		const competitors = [...waiting].filter(other => other !== waiter && other.request.target === request.target && other.request.priority <= request.priority);
		const ownCount = competitors.filter(other => other.request.account === request.account).length;
		const accountCount = new Set([request.account, ...competitors.map(other => other.request.account)]).size;
		const waitMs = this.#getEstimator(request).estimateWaitMs(Math.min(competitors.length, ownCount * accountCount));
		waiter.isChecked = true;
		const refusal = this.admission.checkArrival(request, waitMs);
		if (refusal !== undefined) {
			this.#queues.get(request.group)!.removeEntry(waiter);
			waiter.settle({kind: 'refused', refusal});
		}
	}

	#getEstimator({group, target}: PlacementRequest): WaitEstimator {
		const name = `${target} ${group}`;
		let estimator = this.#estimators.get(name);
		if (estimator === undefined) {
			estimator = new WaitEstimator();
			this.#estimators.set(name, estimator);
		}

		return estimator;
	}

	#enqueue(waiter: Waiter): void {
		const {request} = waiter;
		let queue = this.#queues.get(request.group);
		if (queue === undefined) {
			queue = new FairQueue<Waiter>();
			this.#queues.set(request.group, queue);
			this.#waiters.set(request.group, new Set());
		}

		this.#waiters.get(request.group)!.add(waiter);
		this.admission.recordWaiting(request);
		queue.addEntry({
			account: request.account, priority: getPriorityClass(request.priority), weight: 1, deadline: request.deadline, value: waiter,
		});
		this.#waiterCheckTimer ??= setTimeout(() => {
			this.#checkWaiters();
		}, waiterCheckIntervalMs);
	}

	#dispatchAllGroups(): void {
		for (const group of this.#queues.keys()) {
			this.#tryDispatchGroup(group);
		}
	}

	/** Dispatches a group; after an error its requests wait for the next dispatch, which follows soon while there are any. */
	#tryDispatchGroup(group: string): void {
		this.dependencies.tasks.tryCall('dispatch', () => {
			this.#dispatchGroup(group);
		});
	}

	/** Assigns the free connections of a group. A connection that is closed meanwhile causes another pass instead of a recursive call. */
	#dispatchGroup(group: string): void {
		if (this.#dispatchingGroups.has(group)) {
			this.#dispatchingGroups.set(group, true);
			return;
		}

		try {
			do {
				this.#dispatchingGroups.set(group, false);
				this.#placeWaiters(group);
			} while (this.#dispatchingGroups.get(group));
		} finally {
			// A group that stays marked would never be dispatched again.
			this.#dispatchingGroups.delete(group);
		}
	}

	#placeWaiters(group: string): void {
		const queue = this.#queues.get(group);
		if (queue === undefined) {
			return;
		}

		while (queue.size > 0) {
			let candidate: Candidate | undefined;
			const entry = queue.removeNext(({value: waiter}: QueueEntry<Waiter>) => {
				candidate = this.#chooseCandidate(waiter, this.dependencies.clock.now() - waiter.queuedAt >= evictionDelayMs);
				if (candidate !== undefined && candidate.idle === undefined && candidate.gateway === undefined) {
					this.#startOpening(waiter, candidate.pool);
				}

				return candidate?.idle !== undefined || candidate?.gateway !== undefined;
			});
			if (entry === undefined || candidate === undefined) {
				break;
			}

			const {value: waiter} = entry;
			const chosen = candidate;
			this.#settleRemoved(waiter, () => {
				this.#placeWaiter(waiter, chosen);
			});
		}

		// No waiting request can use the connections that are idle now, so they may be evicted.
		for (const waiter of this.#waiters.get(group)!) {
			const candidate = this.#chooseCandidate(waiter, true);
			if (candidate !== undefined && candidate.idle === undefined && candidate.gateway === undefined) {
				this.#startOpening(waiter, candidate.pool);
			}
		}
	}

	/** Settles a request that no queue has any more; refuses it after an error, since nothing of it has run. */
	#settleRemoved(waiter: Waiter, settle: () => void): void {
		if (!this.dependencies.tasks.tryCall('placement', settle)) {
			waiter.settle({kind: 'refused', refusal: refusals.overloaded(waiter.request.group, errorRetryMs)});
		}
	}

	/** Gives a request the candidate that was chosen for it, or refuses the request. */
	#placeWaiter({request, isChecked, settle}: Waiter, {pool, idle, gateway, isPrimary}: Candidate): void {
		const refusal = gateway === undefined || isChecked ? undefined : this.admission.checkForwarding(request);
		if (refusal !== undefined) {
			settle({kind: 'refused', refusal});
			return;
		}

		this.#recordPlacement(request);
		if (request.instanceId === undefined) {
			// An operation of another VM is counted there.
			this.dependencies.distance.recordPlacement(pool.instance.zone);
		}

		if (idle !== undefined) {
			this.dependencies.guard.recordUse(pool.instance);
			pool.acquire(idle);
			settle({kind: 'placed', placement: {pool, connection: idle, isPrimary}});
		} else if (gateway !== undefined) {
			settle({kind: 'forwarded', placement: gateway.createPlacement(isPrimary, pool.tracker)});
		}
	}

	/** Lets a read choose another instance when the one that it waits for is silent. */
	#abandonSilentInstance(waiter: Waiter, now: number): void {
		if (waiter.request.target === 'any' && waiter.openingPool?.tracker.getSilentSince(now) !== undefined) {
			waiter.excluded.add(waiter.openingPool.instance.id);
			waiter.openingPool = undefined;
		}
	}

	#recordPlacement(request: PlacementRequest): void {
		// The placed request is still among the waiting ones and is not counted.
		let remainingCount = -1;
		for (const other of this.#waiters.get(request.group)!) {
			remainingCount += other.request.target === request.target ? 1 : 0;
		}

		this.#getEstimator(request).recordPlacement(remainingCount, this.dependencies.clock.now());
	}

	#startOpening(waiter: Waiter, pool: InstancePool): void {
		if (waiter.openingPool === undefined) {
			waiter.openingPool = pool;
			this.dependencies.tasks.run('instance connection', async () => this.#open(waiter, pool));
		}
	}

	async #open(waiter: Waiter, pool: InstancePool): Promise<void> {
		const startedAt = this.dependencies.clock.now();
		let failure: ConnectFailure | undefined;
		try {
			failure = await pool.open(waiter.request.account, this.#limits.getLimit(pool));
			if (failure === undefined) {
				this.dependencies.router?.recordOpening(pool.instance, waiter.request.account, this.dependencies.clock.now() - startedAt);
			}
		} finally {
			// A request that stays marked would open no other connection.
			waiter.openingPool = waiter.openingPool === pool ? undefined : waiter.openingPool;
		}

		if (failure !== undefined && waiter.request.target === 'any' && failure.reason !== 'connection-limit' && failure.reason !== 'busy') {
			waiter.excluded.add(pool.instance.id);
		}

		this.#dispatchGroup(waiter.request.group);
	}

	/** Chooses the instance with the lowest estimated cost; returns undefined when none can be used now. */
	#chooseCandidate(waiter: Waiter, mayEvict: boolean): Candidate | undefined {
		const {request} = waiter;
		const now = this.dependencies.clock.now();
		const primaryId = this.dependencies.terms.getUsablePrimary(request.group);
		if (request.target === 'primary') {
			const pool = primaryId === undefined || (request.instanceId ?? primaryId) !== primaryId ? undefined : this.#pools.get(primaryId);
			return pool?.tracker.isUsable(now) === true && !this.#isDrainOverdue(pool.instance, now) && this.dependencies.guard.mayUse(pool.instance) ? this.#findCandidate(pool, waiter, mayEvict, true) : undefined;
		}

		const choice = this.#chooser.chooseInstance(this.#collectReadCandidates(waiter, mayEvict, primaryId), now, now - waiter.queuedAt);
		if (choice !== undefined && choice.waitMs > 0) {
			this.#scheduleDispatch(request.group, choice.waitMs);
			return undefined;
		}

		return choice?.candidate;
	}

	/** Collects the instances that can serve a read now and, where there are several regions, those that are worth waiting for. */
	* #collectReadCandidates(waiter: Waiter, mayEvict: boolean, primaryId: string | undefined): Iterable<Candidate & InstanceCandidate> {
		const {request, excluded} = waiter;
		const now = this.dependencies.clock.now();
		const {hasSeveralRegions} = this.dependencies.distance.regions;
		for (const instance of this.dependencies.instances.getGroupInstances(request.group)) {
			const pool = this.#pools.get(instance.id);
			if (pool === undefined || excluded.has(instance.id) || (request.instanceId ?? instance.id) !== instance.id) {
				continue;
			}

			const isPrimary = instance.id === primaryId;
			const isReadable = this.#isReadable(instance, pool, request, now);
			const candidate = isReadable ? this.#findCandidate(pool, waiter, mayEvict, isPrimary) : undefined;
			const isOpening = hasSeveralRegions && waiter.openingPool === pool;
			const availability = {
				isPrimary, isReadable, isPossible: candidate !== undefined, isOpening, waitedMs: now - waiter.queuedAt,
			};
			const waits = hasSeveralRegions ? estimateReadWaits(pool, request, availability, now) : undefined;
			if (candidate !== undefined || waits !== undefined) {
				yield {
					...(candidate ?? {
						pool, idle: undefined, gateway: undefined, isPrimary,
					}),
					zone: instance.zone,
					latencyMs: pool.tracker.estimateLatencyMs(pool.busyCount, now),
					hasIdleConnection: isOpening || candidate?.idle !== undefined,
					forwardingCostMs: candidate?.gateway?.costMs,
					...waits,
				};
			}
		}
	}

	#scheduleDispatch(group: string, delayMs: number): void {
		if (!this.#dispatchTimers.has(group)) {
			this.#dispatchTimers.set(group, setTimeout(() => {
				this.#dispatchTimers.delete(group);
				this.#tryDispatchGroup(group);
			}, Math.min(clampTimerMs(delayMs), waiterCheckIntervalMs)));
		}
	}

	#findCandidate(pool: InstancePool, waiter: Waiter, mayEvict: boolean, isPrimary: boolean): Candidate | undefined {
		const {request, openingPool, canForward} = waiter;
		if (pool.tracker.isSaturated()) {
			return undefined;
		}

		const idle = pool.findIdle(request.account);
		const route = idle === undefined && canForward ? this.dependencies.router?.chooseRoute(pool.instance, request.account) : undefined;
		if (route?.kind === 'wait') {
			return undefined;
		}

		const gateway = route?.kind === 'forward' ? route : undefined;
		const candidate: Candidate = {
			pool, idle, gateway, isPrimary,
		};
		if (idle !== undefined || gateway !== undefined) {
			return candidate;
		}

		const opening = this.#checkOpening(pool, waiter, mayEvict);
		return openingPool === undefined && opening.canOpen && this.#canOpen(pool, mayEvict && opening.mayEvict) ? candidate : undefined;
	}

	/** Checks whether a connection may be opened for a request, and others closed for it, at an instance of which this VM is a gateway. */
	#checkOpening(pool: InstancePool, {request, queuedAt}: Waiter, mayEvict: boolean): GatewayOpening {
		return this.#limits.isGateway(pool)
			? checkGatewayOpening({
				busyCount: pool.busyCount, slots: pool.instance.slots, hasConnection: pool.hasConnection(request.account), waitedMs: this.dependencies.clock.now() - queuedAt,
			})
			: {canOpen: true, mayEvict};
	}

	#canOpen(pool: InstancePool, mayEvict: boolean): boolean {
		const now = this.dependencies.clock.now();
		if (!pool.tracker.canOpen(now) || this.dependencies.guard.getAccess(pool.instance) !== 'all') {
			return false;
		}

		const isPossible = pool.canOpen(this.#limits.getLimit(pool), mayEvict);
		if (!isPossible) {
			pool.allowance.recordShortage(this.#limits.getShared(pool), now);
		}

		return isPossible;
	}

	/** Returns whether a draining primary, or one in an evacuated zone, may no longer be used because no successor took over in time. */
	#isDrainOverdue(instance: Instance, now: number): boolean {
		const since = this.dependencies.instances.getDrainingSince(instance.id);
		const isOverdue = since !== undefined && now - since > this.dependencies.getSettings().drainMs - drainPropagationMs;
		return isOverdue || this.isCutOff(instance);
	}

	/** Returns whether a read may be sent to an instance now. */
	#isReadable(instance: Instance, pool: InstancePool, request: PlacementRequest, now: number): boolean {
		if (instance.state === 'draining' || !pool.tracker.isUsable(now) || pool.tracker.getSilentSince(now) !== undefined || !this.dependencies.guard.mayRead(instance)) {
			return false;
		}

		// Where there are several regions, a read may wait for a replica whose lag is known instead of being sent to the other region.
		const canWait = this.dependencies.distance.regions.hasSeveralRegions && estimateReplicationWaitMs(pool, request, now) !== undefined;
		return this.dependencies.terms.isUsablePrimary(request.group, instance.id) || (request.requiredPosition !== undefined && (canWait || pool.tracker.isLikelyCaughtUp(request.requiredPosition, now)));
	}

	/** Refuses the waiting requests whose deadline expired or whose primary is not usable, and dispatches the others. */
	#checkWaiters(): void {
		this.#waiterCheckTimer = undefined;
		for (const [group, queue] of this.#queues) {
			this.dependencies.tasks.tryCall('waiting requests', () => {
				this.#checkGroupWaiters(group, queue);
			});
			this.#tryDispatchGroup(group);
		}

		if (this.countWaiting() > 0) {
			this.#waiterCheckTimer ??= setTimeout(() => {
				this.#checkWaiters();
			}, waiterCheckIntervalMs);
		}
	}

	#checkGroupWaiters(group: string, queue: FairQueue<Waiter>): void {
		const now = this.dependencies.clock.now();
		for (const {value: waiter} of queue.removeExpired(now)) {
			this.dependencies.metrics.addCount('place_expired');
			this.#settleRemoved(waiter, () => {
				waiter.settle({kind: 'refused', refusal: this.#createExpiryRefusal(waiter, now)});
			});
		}

		for (const waiter of this.#waiters.get(group) ?? []) {
			this.#abandonSilentInstance(waiter, now);
			const refusal = this.#checkPrimary(waiter.request);
			if (refusal !== undefined) {
				queue.removeEntry(waiter);
				waiter.settle({kind: 'refused', refusal});
			}
		}
	}

	#createExpiryRefusal({request, queuedAt}: Waiter, now: number): Refusal {
		const isPrimaryMissing = request.target === 'primary' && this.dependencies.terms.getUsablePrimary(request.group) === undefined;
		return isPrimaryMissing ? refusals.noPrimary(request.group) : this.admission.refuseExpired(request, now - queuedAt);
	}

	#handleInstanceChange(before: Instance | undefined, after: Instance | undefined): void {
		const isReplaced = before !== undefined && (before.bornMs !== after?.bornMs || before.address !== after?.address);
		if (isReplaced) {
			this.#pools.get(before.id)?.close();
			this.#pools.delete(before.id);
		}

		if (after !== undefined && !this.#pools.has(after.id)) {
			this.#pools.set(after.id, new InstancePool(after, {
				...this.dependencies, onConnectionFreed: () => {
					this.#tryDispatchGroup(after.group);
				},
			}));
		}

		if (after !== undefined) {
			this.#tryDispatchGroup(after.group);
		}
	}
}
