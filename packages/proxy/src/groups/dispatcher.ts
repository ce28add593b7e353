import {type Either, Left, Right} from 'purify-ts';
import {
	FairQueue, type GroupState, type InstanceView, type Priority, type QueuePolicy, type ReadChoice,
} from '@chicorysaddle/decisions';
import {type Refusal, refusals} from '@chicorysaddle/model';
import {type Clock} from '../observability/index.js';
import {type EndpointConnectionPort, type EndpointPool} from '../endpoints/index.js';

/** A connection to an instance, held for one request. */
export type Slot = {
	readonly instance: InstanceView;
	readonly connection: EndpointConnectionPort;
	/** Time that the instance may take to reach the wanted position, in milliseconds. */
	readonly waitMs: number;
	/** Gives the connection back; one that may hold state of the request is closed. */
	release(isClean: boolean): void;
};

/** What a request asks of the dispatcher. */
export type SlotRequest = {
	readonly account: string;
	readonly priority: Priority;
	readonly weight: number;
	readonly deadline: number;
	/** Chooses an instance by what is known now. */
	choose(now: number): ReadChoice;
};

type Waiting = {
	readonly request: SlotRequest;
	readonly resolve: (slot: Either<Refusal, Slot>) => void;
	wasPlaceable: boolean;
};

const sweepMs = 20;

/** Hands the connections of one group to the requests that wait for them. */
export class Dispatcher {
	readonly #queue: FairQueue<Waiting>;
	#timer: NodeJS.Timeout | undefined;

	constructor(private readonly group: GroupState, private readonly getPool: (instance: string) => EndpointPool | undefined, private readonly clock: Clock, policy: QueuePolicy) {
		this.#queue = new FairQueue(policy);
	}

	/** Number of requests that wait. */
	get waiting(): number {
		return this.#queue.size;
	}

	/** Waits for a connection to an instance that can serve a request. */
	async acquireSlot(request: SlotRequest): Promise<Either<Refusal, Slot>> {
		const now = this.clock.getNow();
		if (this.#queue.size === 0) {
			const slot = this.#place(request, now);
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
				value: {request, resolve, wasPlaceable: true},
			});
			this.advance();
		});
	}

	/** Places what can be placed and refuses what has run out of time. */
	advance(): void {
		const now = this.clock.getNow();
		for (const entry of this.#queue.removeExpired(now)) {
			entry.value.resolve(Left(entry.value.wasPlaceable ? refusals.deadlineNotRun() : refusals.noPrimary(this.group.name)));
		}

		let slot: Slot | undefined;
		const canPlace = (waiting: Waiting) => {
			slot = this.#place(waiting.request, now, waiting);
			return slot !== undefined;
		};

		for (;;) {
			const entry = this.#queue.removeNext(candidate => canPlace(candidate.value));
			if (entry === undefined) {
				break;
			}

			entry.value.resolve(Right(slot!));
		}

		this.#schedule();
	}

	#schedule(): void {
		if (this.#queue.size > 0 && this.#timer === undefined) {
			this.#timer = setTimeout(() => {
				this.#timer = undefined;
				this.advance();
			}, sweepMs);
		}
	}

	#place(request: SlotRequest, now: number, waiting?: Waiting): Slot | undefined {
		const choice = request.choose(now);
		if (waiting !== undefined) {
			waiting.wasPlaceable = choice.kind !== 'none';
		}

		if (choice.kind !== 'send') {
			return undefined;
		}

		const pool = this.getPool(choice.instance.name);
		const connection = pool?.takeConnection();
		return pool === undefined || connection === undefined ? undefined : this.#createSlot(choice.instance, pool, connection, choice.waitMs);
	}

	#createSlot(instance: InstanceView, pool: EndpointPool, connection: EndpointConnectionPort, waitMs: number): Slot {
		instance.inUse += 1;
		return {
			instance, connection, waitMs,
			release: isClean => {
				instance.inUse -= 1;
				pool.returnConnection(connection, isClean);
				this.advance();
			},
		};
	}

	/** Expected wait: the own account's requests first in its turn, or the whole queue, whichever is less. */
	#estimateWaitMs(request: SlotRequest): number {
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
