import {
	FairQueue, type Priority, type QueueEntry, WaitEstimator,
} from '@chicorysaddle/decisions';
import {type Refusal, refusals} from '@chicorysaddle/model';
import {type ConfigurationView} from '../configuration/index.js';
import {type Instance, type InstanceRegistry} from '../instances/index.js';
import {type DecisionLog, type GatewayMetrics} from '../observability/index.js';
import {type AdjustableSettingsSource, type Clock, type InstanceConnector} from '../ports/index.js';
import {type TermRegistry} from '../terms/index.js';
import {InstancePool} from './instance-pool.js';
import {type InstanceTracker} from './instance-tracker.js';
import {type PooledConnection} from './pooled-connection.js';
import {type Place, type PlaceRequest, type PlaceResult} from './place-request.js';

type Waiter = {
	readonly request: PlaceRequest;
	readonly excluded: Set<string>;
	readonly queuedAt: number;
	/** Where a connection is being opened on its behalf; any other that is free first serves it as well. */
	openingAt: InstancePool | undefined;
	readonly settle: (result: PlaceResult) => void;
};

type Candidate = {
	readonly pool: InstancePool;
	/** Absent when a connection has to be opened. */
	readonly idle: PooledConnection | undefined;
	readonly isPrimary: boolean;
};

/** Interval at which waiting requests are looked through for passed deadlines, milliseconds. */
const sweepMs = 20;

/** Cost of a new connection beside a warm one, milliseconds: the handshake that a deployment states. */
const openCostMs = 14;

/** Cost of another availability zone, milliseconds: a round trip, and bytes that are paid for. */
const crossZoneMs = 4;

/** Time for which an account waits for a connection before another account's is closed while that is in use, milliseconds: a few handshakes. */
const patienceMs = 60;

/** Factor on the estimate of a primary, which alone can take writes. */
const primaryReadFactor = 1.5;

/** Idle time after which a connection beyond the kept ones is closed, milliseconds. */
const idleConnectionMs = 1000;

/** Interval at which idle connections are looked through, milliseconds. */
const trimMs = 500;

/** Part of a VM's connections that is kept while idle: an instance counts those of VMs that lost power until it misses them, and their successors need room. */
const keptPart = 0.5;

/** Time for which an instance goes on counting connections of a VM that lost power, milliseconds. */
const lingerMs = 3000;

/** Part of its connections that a process opens while those of its predecessor may linger: more than what is kept idle is not free. */
const youngPart = 0.2;

/** Time by which others have to have heard a primary later than this VM, milliseconds: more than an answer takes. */
const cutOffMs = 200;

/** Time that is told to a caller whom another VM can serve, milliseconds. */
const cutOffRetryMs = 20;

/** Time without a term lease for which statements wait for one, milliseconds: several times what a started process takes for it. */
const unheldMs = 400;

/** Time that is told to a caller, on average, of a VM without a term lease, milliseconds: the interval at which a store that is away is asked. */
const unheldRetryMs = 800;

/** Time that is told to a caller for whom there was no place, milliseconds. */
const retryAfterMs = 200;

/** Time until a VM may have learnt that an instance is draining, with the way of its last statement, milliseconds. */
const discoveryMs = 2500;

const highestPriorities: readonly Priority[] = ['high', 'high', 'normal'];

/** What a dispatcher works with. */
export type DispatcherParts = {
	readonly configuration: ConfigurationView;
	readonly instances: InstanceRegistry;
	readonly terms: TermRegistry;
	readonly connector: InstanceConnector;
	readonly clock: Clock;
	readonly metrics: GatewayMetrics;
	readonly log: DecisionLog;
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
	readonly #waiting = new Map<string, Set<Waiter>>();
	/** Pace of the queues by group and target. */
	readonly #estimators = new Map<string, WaitEstimator>();
	/** Groups that are looked through now, with whether to look again. */
	readonly #pumping = new Map<string, boolean>();
	#members = 1;
	readonly #startedAt: number;
	#sweepTimer: NodeJS.Timeout | undefined;

	constructor(private readonly parts: DispatcherParts) {
		this.#startedAt = parts.clock.now();
		parts.instances.onChanged((before, after) => {
			this.#observeInstance(before, after);
		});
		parts.terms.onChanged(term => {
			this.#pump(term.group);
		});
		parts.terms.onLeaseRegained(() => {
			this.#pumpAll();
		});
		setInterval(() => {
			for (const pool of this.#pools.values()) {
				pool.trim(Math.max(1, Math.floor(this.#getLimit(pool.instance) * keptPart)), idleConnectionMs);
			}
		}, trimMs).unref();
	}

	/** Sets how many VMs share the connections of an instance. */
	setMembers(members: number): void {
		this.#members = Math.max(1, members);
	}

	getTracker(instanceId: string): InstanceTracker | undefined {
		return this.#pools.get(instanceId)?.tracker;
	}

	/**
	 * Describes connections and their use by instance, and how an instance lately had no room, for the log.
	 * @param group - Group to describe, all where it is absent.
	 */
	describePools(group?: string): string {
		return [...this.#pools.values()].filter(({instance}) => group === undefined || instance.group === group).map(pool => pool.describe(this.parts.clock.now())).join(' ');
	}

	countWaiting(): number {
		let count = 0;
		for (const queue of this.#queues.values()) {
			count += queue.size;
		}

		return count;
	}

	/** Waits for a connection. */
	async acquire(request: PlaceRequest): Promise<PlaceResult> {
		return new Promise(resolve => {
			const queuedAt = this.parts.clock.now();
			const waiter: Waiter = {
				request, excluded: new Set(request.excluded), queuedAt, openingAt: undefined, settle: result => {
					this.#waiting.get(request.group)?.delete(waiter);
					this.parts.metrics.recordDuration('place', this.parts.clock.now() - queuedAt);
					resolve(result);
				},
			};
			const refusal = this.#checkPrimary(request);
			if (refusal !== undefined) {
				waiter.settle({kind: 'refused', refusal});
				return;
			}

			this.#enqueue(waiter);
			this.#pump(request.group);
			this.#refuseIfHopeless(waiter);
		});
	}

	/** Refuses everything that waits for a place. */
	refuseWaiting(refusal: Refusal): void {
		for (const [group, waiters] of this.#waiting) {
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
	release(place: Place, isClean: boolean): void {
		place.pool.release(place.connection, isClean);
	}

	/** Refuses what needs a primary that this VM will not be able to use for a while. */
	#checkPrimary(request: PlaceRequest): Refusal | undefined {
		if (request.target === 'primary' && this.parts.terms.getMsWithoutLease() > unheldMs) {
			return refusals.primaryUnavailable(request.group, unheldRetryMs * (0.5 + this.parts.random()));
		}

		return this.#isCutOff(request) ? refusals.primaryUnavailable(request.group, cutOffRetryMs) : undefined;
	}

	/** Says whether this VM cannot reach a primary that others do reach: their callers' statements are served, ours are not. */
	#isCutOff(request: PlaceRequest): boolean {
		const primaryId = request.target === 'primary' ? this.parts.terms.getUsablePrimary(request.group) : undefined;
		const tracker = primaryId === undefined ? undefined : this.getTracker(primaryId);
		const newest = this.parts.terms.getNewestPosition(request.group);
		if (tracker?.failingSince === undefined || newest === undefined || tracker.isUsable(this.parts.clock.now())) {
			return false;
		}

		return this.parts.clock.now() - newest.ageMs > tracker.failingSince + cutOffMs;
	}

	/** Refuses a request that would not get a place in time, as the queue moves now. */
	#refuseIfHopeless(waiter: Waiter): void {
		const {request} = waiter;
		const waiting = this.#waiting.get(request.group);
		const isPrimaryMissing = request.target === 'primary' && this.parts.terms.getUsablePrimary(request.group) === undefined;
		if (waiting?.has(waiter) !== true || isPrimaryMissing) {
			return;
		}

		const rivals = [...waiting].filter(other => other !== waiter && other.request.target === request.target && other.request.priority <= request.priority);
		const own = rivals.filter(other => other.request.account === request.account).length;
		const accounts = new Set([request.account, ...rivals.map(other => other.request.account)]).size;
		const waitMs = this.#getEstimator(request).estimateWaitMs(Math.min(rivals.length, own * accounts));
		if (waitMs > request.deadline - this.parts.clock.now()) {
			this.#queues.get(request.group)!.removeEntry(waiter);
			this.parts.metrics.addCount('place_hopeless');
			waiter.settle({kind: 'refused', refusal: refusals.overloaded(request.group, waitMs * (0.5 + this.parts.random()))});
		}
	}

	#getEstimator({group, target}: PlaceRequest): WaitEstimator {
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
			this.#waiting.set(request.group, new Set());
		}

		this.#waiting.get(request.group)!.add(waiter);
		queue.addEntry({
			account: request.account, priority: highestPriorities[request.priority] ?? 'low', weight: 1, deadline: request.deadline, value: waiter,
		});
		this.#sweepTimer ??= setTimeout(() => {
			this.#sweep();
		}, sweepMs);
	}

	#pumpAll(): void {
		for (const group of this.#queues.keys()) {
			this.#pump(group);
		}
	}

	/** Places what can be placed; connections that are closed meanwhile make it look again instead of nesting. */
	#pump(group: string): void {
		if (this.#pumping.has(group)) {
			this.#pumping.set(group, true);
			return;
		}

		do {
			this.#pumping.set(group, false);
			this.#placeWaiting(group);
		} while (this.#pumping.get(group));

		this.#pumping.delete(group);
	}

	#placeWaiting(group: string): void {
		const queue = this.#queues.get(group);
		if (queue === undefined) {
			return;
		}

		while (queue.size > 0) {
			let candidate: Candidate | undefined;
			const entry = queue.removeNext(({value: waiter}: QueueEntry<Waiter>) => {
				candidate = this.#chooseCandidate(waiter, this.parts.clock.now() - waiter.queuedAt >= patienceMs);
				if (candidate !== undefined && candidate.idle === undefined) {
					this.#startOpening(waiter, candidate.pool);
				}

				return candidate?.idle !== undefined;
			});
			if (entry === undefined || candidate?.idle === undefined) {
				break;
			}

			const {pool, idle, isPrimary} = candidate;
			pool.take(idle);
			this.#observePlaced(entry.value.request);
			entry.value.settle({kind: 'placed', place: {pool, connection: idle, isPrimary}});
		}

		// Nobody can use what is idle now, so that it may make room.
		for (const waiter of this.#waiting.get(group)!) {
			const candidate = this.#chooseCandidate(waiter, true);
			if (candidate !== undefined && candidate.idle === undefined) {
				this.#startOpening(waiter, candidate.pool);
			}
		}
	}

	/** Lets a read look elsewhere when the instance that it waits for a connection to answers nothing. */
	#leaveSilent(waiter: Waiter, now: number): void {
		if (waiter.request.target === 'any' && waiter.openingAt?.tracker.getSilentSince(now) !== undefined) {
			waiter.excluded.add(waiter.openingAt.instance.id);
			waiter.openingAt = undefined;
		}
	}

	#observePlaced(request: PlaceRequest): void {
		let left = -1;
		for (const other of this.#waiting.get(request.group)!) {
			left += other.request.target === request.target ? 1 : 0;
		}

		this.#getEstimator(request).observePlaced(left, this.parts.clock.now());
	}

	#startOpening(waiter: Waiter, pool: InstancePool): void {
		if (waiter.openingAt === undefined) {
			waiter.openingAt = pool;
			void this.#open(waiter, pool);
		}
	}

	async #open(waiter: Waiter, pool: InstancePool): Promise<void> {
		const failure = await pool.open(waiter.request.account, this.#getLimit(pool.instance));
		waiter.openingAt = waiter.openingAt === pool ? undefined : waiter.openingAt;
		if (failure !== undefined && waiter.request.target === 'any' && failure.reason !== 'connection-limit' && failure.reason !== 'busy') {
			waiter.excluded.add(pool.instance.id);
		}

		this.#pump(waiter.request.group);
	}

	#chooseCandidate(waiter: Waiter, mayEvict: boolean): Candidate | undefined {
		const {request, excluded} = waiter;
		const now = this.parts.clock.now();
		const primaryId = this.parts.terms.getUsablePrimary(request.group);
		if (request.target === 'primary') {
			const pool = primaryId === undefined ? undefined : this.#pools.get(primaryId);
			return pool?.tracker.isUsable(now) === true && !this.#isLeaving(pool.instance, now) ? this.#findWay(pool, waiter, mayEvict, true) : undefined;
		}

		let best: Candidate | undefined;
		let bestMs = Number.POSITIVE_INFINITY;
		for (const instance of this.parts.instances.getGroupInstances(request.group)) {
			const pool = this.#pools.get(instance.id);
			const isPrimary = instance.id === primaryId;
			if (pool === undefined || excluded.has(instance.id) || !this.#isReadable(instance, pool, request, now)) {
				continue;
			}

			const candidate = this.#findWay(pool, waiter, mayEvict, isPrimary);
			if (candidate !== undefined) {
				const costMs = (pool.tracker.estimateMs(pool.busyCount, now) * (isPrimary ? primaryReadFactor : 1)) + (candidate.idle === undefined ? openCostMs : 0) + (instance.zone === this.parts.zone ? 0 : crossZoneMs);
				if (costMs < bestMs) {
					bestMs = costMs;
					best = candidate;
				}
			}
		}

		return best;
	}

	#findWay(pool: InstancePool, {request, openingAt}: Waiter, mayEvict: boolean, isPrimary: boolean): Candidate | undefined {
		if (pool.tracker.isSaturated()) {
			return undefined;
		}

		const idle = pool.findIdle(request.account);
		const isPossible = idle !== undefined || (openingAt === undefined && pool.canOpen(this.#getLimit(pool.instance), mayEvict));
		return isPossible ? {pool, idle, isPrimary} : undefined;
	}

	/** Says whether a primary that is draining may no longer be used, because no successor was found in time. */
	#isLeaving(instance: Instance, now: number): boolean {
		const since = this.parts.instances.getDrainingSince(instance.id);
		return since !== undefined && now - since > this.parts.getSettings().drainMs - discoveryMs;
	}

	#isReadable(instance: Instance, pool: InstancePool, request: PlaceRequest, now: number): boolean {
		if (instance.state === 'draining' || !pool.tracker.isUsable(now) || pool.tracker.getSilentSince(now) !== undefined) {
			return false;
		}

		return this.parts.terms.isUsablePrimary(request.group, instance.id) || (request.since !== undefined && pool.tracker.isLikelyToHold(request.since, now));
	}

	#sweep(): void {
		this.#sweepTimer = undefined;
		const now = this.parts.clock.now();
		for (const [group, queue] of this.#queues) {
			for (const {value: waiter} of queue.removeExpired(now)) {
				this.parts.metrics.addCount('place_expired');
				const {request} = waiter;
				const isPrimaryMissing = request.target === 'primary' && this.parts.terms.getUsablePrimary(group) === undefined;
				waiter.settle({kind: 'refused', refusal: isPrimaryMissing ? refusals.noPrimary(group) : refusals.overloaded(group, retryAfterMs)});
			}

			for (const waiter of this.#waiting.get(group) ?? []) {
				this.#leaveSilent(waiter, now);
				const refusal = this.#checkPrimary(waiter.request);
				if (refusal !== undefined) {
					queue.removeEntry(waiter);
					waiter.settle({kind: 'refused', refusal});
				}
			}

			this.#pump(group);
		}

		if (this.countWaiting() > 0) {
			this.#sweepTimer ??= setTimeout(() => {
				this.#sweep();
			}, sweepMs);
		}
	}

	#getLimit(instance: Instance): number {
		const total = this.parts.configuration.getGroup(instance.group)?.maxConnections ?? 1;
		const isYoung = this.parts.clock.now() - this.#startedAt < lingerMs;
		return Math.max(1, Math.floor((total * (isYoung ? youngPart : 1)) / this.#members));
	}

	#observeInstance(before: Instance | undefined, after: Instance | undefined): void {
		const isReplaced = before !== undefined && (before.bornMs !== after?.bornMs || before.address !== after?.address);
		if (isReplaced) {
			this.#pools.get(before.id)?.close();
			this.#pools.delete(before.id);
		}

		if (after !== undefined && !this.#pools.has(after.id)) {
			this.#pools.set(after.id, new InstancePool(after, {
				...this.parts, onFreed: () => {
					this.#pump(after.group);
				},
			}));
		}

		if (after !== undefined) {
			this.#pump(after.group);
		}
	}
}
