import {type Either, Left, Right} from 'purify-ts';
import {
	FairQueue, type GroupState, type InstanceView, type Priority, type QueuePolicy, type ReadChoice,
} from '@chicorysaddle/decisions';
import {type Refusal, refusals} from '@chicorysaddle/model';
import {type Clock} from '../observability/index.js';
import {type EndpointConnectionPort, type EndpointConnectionPool} from '../endpoints/index.js';

/** A connection to an instance, held for one request or transaction. */
export type Placement = {
	readonly instance: InstanceView;
	readonly connection: EndpointConnectionPort;
	/** Time that the instance may take to reach the requested position, in milliseconds. */
	readonly waitMs: number;
	/**
	 * Returns the connection to the pool.
	 * @param isClean - Whether the connection holds no state of the request; otherwise it is closed.
	 */
	release(isClean: boolean): void;
};

/** A request for a connection. */
export type PlacementRequest = {
	readonly account: string;
	readonly priority: Priority;
	/** Weight of the account in the queue. */
	readonly weight: number;
	/** Time until which the request may wait, in monotonic milliseconds. */
	readonly deadline: number;
	/** Chooses an instance from the current state of the group. */
	chooseInstance(now: number): ReadChoice;
};

type Waiter = {
	readonly request: PlacementRequest;
	readonly resolve: (placement: Either<Refusal, Placement>) => void;
	/** Whether an instance that can serve the request existed at the last attempt to place it. */
	hadUsableInstance: boolean;
};

/** Retry delay given to a caller whose group has all endpoints in evacuated zones, in milliseconds. */
const evacuatedRetryMs = 1000;

/** Interval at which the queue is checked for passed deadlines, in milliseconds. */
const sweepIntervalMs = 20;

/** Assigns the connections of one group to requests, and queues the requests that have to wait. */
export class Dispatcher {
	readonly #queue: FairQueue<Waiter>;
	#sweepTimer: NodeJS.Timeout | undefined;

	constructor(private readonly group: GroupState, private readonly getPool: (instance: string) => EndpointConnectionPool | undefined, private readonly clock: Clock, policy: QueuePolicy) {
		this.#queue = new FairQueue(policy);
	}

	/** Number of queued requests. */
	get waitingCount(): number {
		return this.#queue.size;
	}

	/** Waits for a connection to an instance that can serve a request; refuses at once if the estimated wait ends after the deadline. */
	async acquirePlacement(request: PlacementRequest): Promise<Either<Refusal, Placement>> {
		if (this.group.isEvacuated) {
			return Left(refusals.groupEvacuated(this.group.name, evacuatedRetryMs));
		}

		const now = this.clock.getNow();
		if (this.#queue.size === 0) {
			const placement = this.#tryPlace(request, now);
			if (placement !== undefined) {
				return Right(placement);
			}
		}

		const expectedMs = this.#estimateWaitMs(request);
		if (now + expectedMs > request.deadline) {
			return Left(refusals.overloaded(this.group.name, Math.ceil(expectedMs)));
		}

		return new Promise(resolve => {
			this.#queue.addEntry({
				account: request.account,
				priority: request.priority,
				weight: request.weight,
				deadline: request.deadline,
				value: {request, resolve, hadUsableInstance: true},
			});
			this.placeQueuedRequests();
		});
	}

	/** Assigns free connections to queued requests and refuses those whose deadline has passed. */
	placeQueuedRequests(): void {
		const now = this.clock.getNow();
		for (const entry of this.#queue.removeExpired(now)) {
			entry.value.resolve(Left(entry.value.hadUsableInstance ? refusals.deadlineNotRun() : refusals.noPrimary(this.group.name)));
		}

		this.#refuseIfEvacuated();
		let placement: Placement | undefined;
		const canPlace = (waiter: Waiter) => {
			placement = this.#tryPlace(waiter.request, now, waiter);
			return placement !== undefined;
		};

		for (;;) {
			const entry = this.#queue.removeNext(candidate => canPlace(candidate.value));
			if (entry === undefined) {
				break;
			}

			entry.value.resolve(Right(placement!));
		}

		this.#scheduleSweep();
	}

	/** Refuses all queued requests if no endpoint is left outside evacuated zones. */
	#refuseIfEvacuated(): void {
		while (this.group.isEvacuated && this.#queue.size > 0) {
			this.#queue.removeNext(() => true)!.value.resolve(Left(refusals.groupEvacuated(this.group.name, evacuatedRetryMs)));
		}
	}

	#scheduleSweep(): void {
		if (this.#queue.size > 0 && this.#sweepTimer === undefined) {
			this.#sweepTimer = setTimeout(() => {
				this.#sweepTimer = undefined;
				this.placeQueuedRequests();
			}, sweepIntervalMs);
		}
	}

	#tryPlace(request: PlacementRequest, now: number, waiter?: Waiter): Placement | undefined {
		const choice = request.chooseInstance(now);
		if (waiter !== undefined) {
			waiter.hadUsableInstance = choice.kind !== 'none';
		}

		if (choice.kind !== 'send') {
			return undefined;
		}

		const pool = this.getPool(choice.instance.name);
		const connection = pool?.acquireConnection();
		return pool === undefined || connection === undefined ? undefined : this.#createPlacement(choice.instance, pool, connection, choice.waitMs);
	}

	#createPlacement(instance: InstanceView, pool: EndpointConnectionPool, connection: EndpointConnectionPort, waitMs: number): Placement {
		instance.inUse += 1;
		return {
			instance, connection, waitMs,
			release: isClean => {
				instance.inUse -= 1;
				pool.releaseConnection(connection, isClean);
				this.placeQueuedRequests();
			},
		};
	}

	/**
	 * Estimates the time that a request waits in the queue, in milliseconds, from the mean latency and the number of requests ahead of it.
	 * Fair queueing serves one request of each other account between two requests of this account; the whole queue is the upper bound.
	 */
	#estimateWaitMs(request: PlacementRequest): number {
		const reachable = this.group.instances.filter(instance => instance.isReachable);
		const concurrency = reachable.reduce((sum, instance) => sum + instance.limit, 0);
		if (concurrency === 0 || this.#queue.size === 0) {
			return 0;
		}

		const latencyMs = reachable.reduce((sum, instance) => sum + instance.latencyMs, 0) / reachable.length;
		const ownCount = this.#queue.getAccountSize(request.account);
		const maxOtherAccounts = Math.max(1, this.#queue.size - ownCount);
		const requestsAhead = Math.min(this.#queue.size, (ownCount * maxOtherAccounts) + 1);
		return (requestsAhead * latencyMs) / concurrency;
	}
}
