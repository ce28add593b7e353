import {type Either, Left, Right} from 'purify-ts';
import {
	FairQueue, type GroupState, type InstanceView, type Priority, type QueuePolicy, type ReadChoice,
} from '@chicorysaddle/decisions';
import {type Refusal, refusals} from '@chicorysaddle/model';
import {type Clock} from '../observability/index.js';
import {type EndpointConnectionPort, type EndpointConnectionPool} from '../endpoints/index.js';

/** A connection to an instance, held for one request. */
export type Placement = {
	readonly instance: InstanceView;
	readonly connection: EndpointConnectionPort;
	/** Time that the instance may take to reach the wanted position, in milliseconds. */
	readonly waitMs: number;
	/** Gives the connection back; one that may hold state of the request is closed. */
	release(isClean: boolean): void;
};

/** What a request asks of the dispatcher. */
export type PlacementRequest = {
	readonly account: string;
	readonly priority: Priority;
	readonly weight: number;
	readonly deadline: number;
	/** Chooses an instance by what is known now. */
	chooseInstance(now: number): ReadChoice;
};

type Waiter = {
	readonly request: PlacementRequest;
	readonly resolve: (slot: Either<Refusal, Placement>) => void;
	hadUsableInstance: boolean;
};

const sweepIntervalMs = 20;

/** Hands the connections of one group to the requests that wait for them. */
export class Dispatcher {
	readonly #queue: FairQueue<Waiter>;
	#sweepTimer: NodeJS.Timeout | undefined;

	constructor(private readonly group: GroupState, private readonly getPool: (instance: string) => EndpointConnectionPool | undefined, private readonly clock: Clock, policy: QueuePolicy) {
		this.#queue = new FairQueue(policy);
	}

	/** Number of requests that wait. */
	get waitingCount(): number {
		return this.#queue.size;
	}

	/** Waits for a connection to an instance that can serve a request. */
	async acquirePlacement(request: PlacementRequest): Promise<Either<Refusal, Placement>> {
		const now = this.clock.getNow();
		if (this.#queue.size === 0) {
			const slot = this.#tryPlace(request, now);
			if (slot !== undefined) {
				return Right(slot);
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
			this.placeWaiting();
		});
	}

	/** Places what can be placed and refuses what has run out of time. */
	placeWaiting(): void {
		const now = this.clock.getNow();
		for (const entry of this.#queue.removeExpired(now)) {
			entry.value.resolve(Left(entry.value.hadUsableInstance ? refusals.deadlineNotRun() : refusals.noPrimary(this.group.name)));
		}

		let slot: Placement | undefined;
		const canPlace = (waiting: Waiter) => {
			slot = this.#tryPlace(waiting.request, now, waiting);
			return slot !== undefined;
		};

		for (;;) {
			const entry = this.#queue.removeNext(candidate => canPlace(candidate.value));
			if (entry === undefined) {
				break;
			}

			entry.value.resolve(Right(slot!));
		}

		this.#scheduleSweep();
	}

	#scheduleSweep(): void {
		if (this.#queue.size > 0 && this.#sweepTimer === undefined) {
			this.#sweepTimer = setTimeout(() => {
				this.#sweepTimer = undefined;
				this.placeWaiting();
			}, sweepIntervalMs);
		}
	}

	#tryPlace(request: PlacementRequest, now: number, waiting?: Waiter): Placement | undefined {
		const choice = request.chooseInstance(now);
		if (waiting !== undefined) {
			waiting.hadUsableInstance = choice.kind !== 'none';
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
				this.placeWaiting();
			},
		};
	}

	/** Expected wait: the own account's requests first in its turn, or the whole queue, whichever is less. */
	#estimateWaitMs(request: PlacementRequest): number {
		const usable = this.group.instances.filter(instance => instance.isReachable);
		const room = usable.reduce((sum, instance) => sum + instance.limit, 0);
		if (room === 0 || this.#queue.size === 0) {
			return 0;
		}

		const latencyMs = usable.reduce((sum, instance) => sum + instance.latencyMs, 0) / usable.length;
		const own = this.#queue.getAccountSize(request.account);
		const accounts = Math.max(1, this.#queue.size - own);
		const ahead = Math.min(this.#queue.size, (own * accounts) + 1);
		return (ahead * latencyMs) / room;
	}
}
