import {
	FairQueue, type Priority, type QueueEntry, WaitEstimator,
} from '@chicorysaddle/decisions';
import {type Refusal, refusals} from '@chicorysaddle/model';
import {type ConfigurationView} from '../configuration/index.js';
import {type Instance, type InstanceRegistry} from '../instances/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type AdjustableSettingsSource, type Clock, type InstanceConnector} from '../ports/index.js';
import {type TermRegistry} from '../terms/index.js';
import {InstancePool} from './instance-pool.js';
import {type InstanceTracker} from './instance-tracker.js';
import {type PooledConnection} from './pooled-connection.js';
import {type Placement, type PlacementRequest, type PlacementResult} from './placement.js';

type Waiter = {
	readonly request: PlacementRequest;
	readonly excluded: Set<string>;
	readonly queuedAt: number;
	/** Where a connection is being opened on its behalf; any other that is free first serves it as well. */
	openingPool: InstancePool | undefined;
	readonly settle: (result: PlacementResult) => void;
};

type Candidate = {
	readonly pool: InstancePool;
	/** Absent when a connection has to be opened. */
	readonly idle: PooledConnection | undefined;
	readonly isPrimary: boolean;
};

/** Interval at which waiting requests are looked through for passed deadlines, milliseconds. */
const sweepIntervalMs = 20;

/** Cost of a new connection beside a warm one, milliseconds: the handshake that a deployment states. */
const openCostMs = 14;

/** Cost of another availability zone, milliseconds: a round trip, and bytes that are paid for. */
const crossZoneCostMs = 4;

/** Time for which an account waits for a connection before another account's is closed while that is in use, milliseconds: a few handshakes. */
const evictionDelayMs = 60;

/** Factor on the estimate of a primary, which alone can take writes. */
const primaryReadCostFactor = 1.5;

/** Idle time after which a connection beyond the kept ones is closed, milliseconds. */
const idleConnectionTimeoutMs = 1000;

/** Interval at which idle connections are looked through, milliseconds. */
const trimIntervalMs = 500;

/** Part of a VM's connections that is kept while idle: an instance counts those of VMs that lost power until it misses them, and their successors need room. */
const keptFraction = 0.5;

/** Time for which an instance goes on counting connections of a VM that lost power, milliseconds. */
const staleConnectionTimeoutMs = 3000;

/** Part of its connections that a process opens while those of its predecessor may linger: more than what is kept idle is not free. */
const startupFraction = 0.2;

/** Time by which others have to have heard a primary later than this VM, milliseconds: more than an answer takes. */
const partitionConfirmationMs = 200;

/** Time that is told to a caller whom another VM can serve, milliseconds. */
const partitionRetryMs = 20;

/** Time without a term lease for which statements wait for one, milliseconds: several times what a started process takes for it. */
const maxMissingLeaseMs = 400;

/** Time that is told to a caller, on average, of a VM without a term lease, milliseconds: the interval at which a store that is away is asked. */
const missingLeaseRetryMs = 800;

/** Time that is told to a caller for whom there was no place, milliseconds. */
const retryAfterMs = 200;

/** Time until a VM may have learnt that an instance is draining, with the way of its last statement, milliseconds. */
const drainPropagationMs = 2500;

const queuePriorities: readonly Priority[] = ['high', 'high', 'normal'];

/** What a dispatcher works with. */
export type DispatcherDependencies = {
	readonly configuration: ConfigurationView;
	readonly instances: InstanceRegistry;
	readonly terms: TermRegistry;
	readonly connector: InstanceConnector;
	readonly clock: Clock;
	readonly metrics: GatewayMetrics;
	readonly log: EventLog;
	/** Availability zone of this VM. */
	readonly zone: string;
	/** Returns numbers from zero up to one. */
	readonly random: () => number;
	readonly getSettings: AdjustableSettingsSource;
};

/** Finds a connection for each statement and transaction, in the order of priority and fairness. */
export class Dispatcher {
	readonly #pools = new Map<string, InstancePool>();
	readonly #queues = new Map<string, FairQueue<Waiter>>();
	readonly #waiters = new Map<string, Set<Waiter>>();
	/** Pace of the queues by group and target. */
	readonly #estimators = new Map<string, WaitEstimator>();
	/** Groups that are looked through now, with whether to look again. */
	readonly #dispatchingGroups = new Map<string, boolean>();
	#memberCount = 1;
	readonly #startedAt: number;
	#sweepTimer: NodeJS.Timeout | undefined;

	constructor(private readonly dependencies: DispatcherDependencies) {
		this.#startedAt = dependencies.clock.now();
		dependencies.instances.onChanged((before, after) => {
			this.#handleInstanceChange(before, after);
		});
		dependencies.terms.onChanged(term => {
			this.#dispatchGroup(term.group);
		});
		dependencies.terms.onLeaseRegained(() => {
			this.#dispatchAllGroups();
		});
		setInterval(() => {
			for (const pool of this.#pools.values()) {
				pool.closeIdle(Math.max(1, Math.floor(this.#getConnectionLimit(pool.instance) * keptFraction)), idleConnectionTimeoutMs);
			}
		}, trimIntervalMs).unref();
	}

	/** Sets how many VMs share the connections of an instance. */
	setMemberCount(members: number): void {
		this.#memberCount = Math.max(1, members);
	}

	getTracker(instanceId: string): InstanceTracker | undefined {
		return this.#pools.get(instanceId)?.tracker;
	}

	/**
	 * Describes connections and their use by instance, and how an instance lately had no room, for the log.
	 * @param group - Group to describe, all where it is absent.
	 */
	describePools(group?: string): string {
		return [...this.#pools.values()].filter(({instance}) => group === undefined || instance.group === group).map(pool => pool.describe(this.dependencies.clock.now())).join(' ');
	}

	countWaiting(): number {
		let count = 0;
		for (const queue of this.#queues.values()) {
			count += queue.size;
		}

		return count;
	}

	/** Waits for a connection. */
	async acquire(request: PlacementRequest): Promise<PlacementResult> {
		return new Promise(resolve => {
			const queuedAt = this.dependencies.clock.now();
			const waiter: Waiter = {
				request, excluded: new Set(request.excluded), queuedAt, openingPool: undefined, settle: result => {
					this.#waiters.get(request.group)?.delete(waiter);
					this.dependencies.metrics.recordDuration('place', this.dependencies.clock.now() - queuedAt);
					resolve(result);
				},
			};
			const refusal = this.#checkPrimary(request);
			if (refusal !== undefined) {
				waiter.settle({kind: 'refused', refusal});
				return;
			}

			this.#enqueue(waiter);
			this.#dispatchGroup(request.group);
			this.#refuseIfTooLate(waiter);
		});
	}

	/** Refuses everything that waits for a place. */
	refuseWaiting(refusal: Refusal): void {
		for (const [group, waiters] of this.#waiters) {
			for (const waiter of waiters) {
				this.#queues.get(group)!.removeEntry(waiter);
				waiter.settle({kind: 'refused', refusal});
			}
		}
	}

	/**
	 * Gives a connection back.
	 * @param isClean - Whether it is outside a transaction and nothing is under way on it.
	 */
	release(place: Placement, isClean: boolean): void {
		place.pool.release(place.connection, isClean);
	}

	/** Refuses what needs a primary that this VM will not be able to use for a while. */
	#checkPrimary(request: PlacementRequest): Refusal | undefined {
		if (request.target === 'primary' && this.dependencies.terms.getMsWithoutLease() > maxMissingLeaseMs) {
			return refusals.primaryUnavailable(request.group, missingLeaseRetryMs * (0.5 + this.dependencies.random()));
		}

		return this.#isPartitionedFromPrimary(request) ? refusals.primaryUnavailable(request.group, partitionRetryMs) : undefined;
	}

	/** Says whether this VM cannot reach a primary that others do reach: their callers' statements are served, ours are not. */
	#isPartitionedFromPrimary(request: PlacementRequest): boolean {
		const primaryId = request.target === 'primary' ? this.dependencies.terms.getUsablePrimary(request.group) : undefined;
		const tracker = primaryId === undefined ? undefined : this.getTracker(primaryId);
		const newest = this.dependencies.terms.getNewestPosition(request.group);
		if (tracker?.failingSince === undefined || newest === undefined || tracker.isUsable(this.dependencies.clock.now())) {
			return false;
		}

		return this.dependencies.clock.now() - newest.ageMs > tracker.failingSince + partitionConfirmationMs;
	}

	/** Refuses a request that would not get a place in time, as the queue moves now. */
	#refuseIfTooLate(waiter: Waiter): void {
		const {request} = waiter;
		const waiting = this.#waiters.get(request.group);
		const isPrimaryMissing = request.target === 'primary' && this.dependencies.terms.getUsablePrimary(request.group) === undefined;
		if (waiting?.has(waiter) !== true || isPrimaryMissing) {
			return;
		}

		const rivals = [...waiting].filter(other => other !== waiter && other.request.target === request.target && other.request.priority <= request.priority);
		const own = rivals.filter(other => other.request.account === request.account).length;
		const accounts = new Set([request.account, ...rivals.map(other => other.request.account)]).size;
		const waitMs = this.#getEstimator(request).estimateWaitMs(Math.min(rivals.length, own * accounts));
		if (waitMs > request.deadline - this.dependencies.clock.now()) {
			this.#queues.get(request.group)!.removeEntry(waiter);
			this.dependencies.metrics.addCount('place_hopeless');
			waiter.settle({kind: 'refused', refusal: refusals.overloaded(request.group, waitMs * (0.5 + this.dependencies.random()))});
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
		queue.addEntry({
			account: request.account, priority: queuePriorities[request.priority] ?? 'low', weight: 1, deadline: request.deadline, value: waiter,
		});
		this.#sweepTimer ??= setTimeout(() => {
			this.#refuseExpired();
		}, sweepIntervalMs);
	}

	#dispatchAllGroups(): void {
		for (const group of this.#queues.keys()) {
			this.#dispatchGroup(group);
		}
	}

	/** Places what can be placed; connections that are closed meanwhile make it look again instead of nesting. */
	#dispatchGroup(group: string): void {
		if (this.#dispatchingGroups.has(group)) {
			this.#dispatchingGroups.set(group, true);
			return;
		}

		do {
			this.#dispatchingGroups.set(group, false);
			this.#placeWaiters(group);
		} while (this.#dispatchingGroups.get(group));

		this.#dispatchingGroups.delete(group);
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
				if (candidate !== undefined && candidate.idle === undefined) {
					this.#startOpening(waiter, candidate.pool);
				}

				return candidate?.idle !== undefined;
			});
			if (entry === undefined || candidate?.idle === undefined) {
				break;
			}

			const {pool, idle, isPrimary} = candidate;
			pool.acquire(idle);
			this.#observePlaced(entry.value.request);
			entry.value.settle({kind: 'placed', placement: {pool, connection: idle, isPrimary}});
		}

		// Nobody can use what is idle now, so that it may make room.
		for (const waiter of this.#waiters.get(group)!) {
			const candidate = this.#chooseCandidate(waiter, true);
			if (candidate !== undefined && candidate.idle === undefined) {
				this.#startOpening(waiter, candidate.pool);
			}
		}
	}

	/** Lets a read look elsewhere when the instance that it waits for a connection to answers nothing. */
	#abandonSilentInstance(waiter: Waiter, now: number): void {
		if (waiter.request.target === 'any' && waiter.openingPool?.tracker.getSilentSince(now) !== undefined) {
			waiter.excluded.add(waiter.openingPool.instance.id);
			waiter.openingPool = undefined;
		}
	}

	#observePlaced(request: PlacementRequest): void {
		let left = -1;
		for (const other of this.#waiters.get(request.group)!) {
			left += other.request.target === request.target ? 1 : 0;
		}

		this.#getEstimator(request).observePlaced(left, this.dependencies.clock.now());
	}

	#startOpening(waiter: Waiter, pool: InstancePool): void {
		if (waiter.openingPool === undefined) {
			waiter.openingPool = pool;
			void this.#open(waiter, pool);
		}
	}

	async #open(waiter: Waiter, pool: InstancePool): Promise<void> {
		const failure = await pool.open(waiter.request.account, this.#getConnectionLimit(pool.instance));
		waiter.openingPool = waiter.openingPool === pool ? undefined : waiter.openingPool;
		if (failure !== undefined && waiter.request.target === 'any' && failure.reason !== 'connection-limit' && failure.reason !== 'busy') {
			waiter.excluded.add(pool.instance.id);
		}

		this.#dispatchGroup(waiter.request.group);
	}

	#chooseCandidate(waiter: Waiter, mayEvict: boolean): Candidate | undefined {
		const {request, excluded} = waiter;
		const now = this.dependencies.clock.now();
		const primaryId = this.dependencies.terms.getUsablePrimary(request.group);
		if (request.target === 'primary') {
			const pool = primaryId === undefined ? undefined : this.#pools.get(primaryId);
			return pool?.tracker.isUsable(now) === true && !this.#isDrainOverdue(pool.instance, now) ? this.#findCandidate(pool, waiter, mayEvict, true) : undefined;
		}

		let best: Candidate | undefined;
		let bestMs = Number.POSITIVE_INFINITY;
		for (const instance of this.dependencies.instances.getGroupInstances(request.group)) {
			const pool = this.#pools.get(instance.id);
			const isPrimary = instance.id === primaryId;
			if (pool === undefined || excluded.has(instance.id) || !this.#isReadable(instance, pool, request, now)) {
				continue;
			}

			const candidate = this.#findCandidate(pool, waiter, mayEvict, isPrimary);
			if (candidate !== undefined) {
				const costMs = (pool.tracker.estimateLatencyMs(pool.busyCount, now) * (isPrimary ? primaryReadCostFactor : 1)) + (candidate.idle === undefined ? openCostMs : 0) + (instance.zone === this.dependencies.zone ? 0 : crossZoneCostMs);
				if (costMs < bestMs) {
					bestMs = costMs;
					best = candidate;
				}
			}
		}

		return best;
	}

	#findCandidate(pool: InstancePool, {request, openingPool: openingAt}: Waiter, mayEvict: boolean, isPrimary: boolean): Candidate | undefined {
		if (pool.tracker.isSaturated()) {
			return undefined;
		}

		const idle = pool.findIdle(request.account);
		const isPossible = idle !== undefined || (openingAt === undefined && pool.canOpen(this.#getConnectionLimit(pool.instance), mayEvict));
		return isPossible ? {pool, idle, isPrimary} : undefined;
	}

	/** Says whether a primary that is draining may no longer be used, because no successor was found in time. */
	#isDrainOverdue(instance: Instance, now: number): boolean {
		const since = this.dependencies.instances.getDrainingSince(instance.id);
		return since !== undefined && now - since > this.dependencies.getSettings().drainMs - drainPropagationMs;
	}

	#isReadable(instance: Instance, pool: InstancePool, request: PlacementRequest, now: number): boolean {
		if (instance.state === 'draining' || !pool.tracker.isUsable(now) || pool.tracker.getSilentSince(now) !== undefined) {
			return false;
		}

		return this.dependencies.terms.isUsablePrimary(request.group, instance.id) || (request.requiredPosition !== undefined && pool.tracker.isLikelyCaughtUp(request.requiredPosition, now));
	}

	#refuseExpired(): void {
		this.#sweepTimer = undefined;
		const now = this.dependencies.clock.now();
		for (const [group, queue] of this.#queues) {
			for (const {value: waiter} of queue.removeExpired(now)) {
				this.dependencies.metrics.addCount('place_expired');
				const {request} = waiter;
				const isPrimaryMissing = request.target === 'primary' && this.dependencies.terms.getUsablePrimary(group) === undefined;
				waiter.settle({kind: 'refused', refusal: isPrimaryMissing ? refusals.noPrimary(group) : refusals.overloaded(group, retryAfterMs)});
			}

			for (const waiter of this.#waiters.get(group) ?? []) {
				this.#abandonSilentInstance(waiter, now);
				const refusal = this.#checkPrimary(waiter.request);
				if (refusal !== undefined) {
					queue.removeEntry(waiter);
					waiter.settle({kind: 'refused', refusal});
				}
			}

			this.#dispatchGroup(group);
		}

		if (this.countWaiting() > 0) {
			this.#sweepTimer ??= setTimeout(() => {
				this.#refuseExpired();
			}, sweepIntervalMs);
		}
	}

	#getConnectionLimit(instance: Instance): number {
		const total = this.dependencies.configuration.getGroup(instance.group)?.maxConnections ?? 1;
		const isStartingUp = this.dependencies.clock.now() - this.#startedAt < staleConnectionTimeoutMs;
		return Math.max(1, Math.floor((total * (isStartingUp ? startupFraction : 1)) / this.#memberCount));
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
					this.#dispatchGroup(after.group);
				},
			}));
		}

		if (after !== undefined) {
			this.#dispatchGroup(after.group);
		}
	}
}
