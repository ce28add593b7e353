import {create} from '@bufbuild/protobuf';
import {comparePositions, isAtLeast, type LogPosition} from '@chicorysaddle/model';
import {type GroupState} from '@chicorysaddle/decisions';
import {ProbeRequestSchema} from '@chicorysaddle/protocol';
import {type Clock} from '../observability/index.js';
import {type EndpointConnectionPort, formatPosition, parseInstanceStatus} from '../endpoints/index.js';

/** Whether a write is held by a replica in the term it was written in. */
export type Confirmation = 'confirmed' | 'unconfirmed' | 'timed-out';

type PendingWrite = {
	readonly position: LogPosition;
	/** Term in which the write was answered. */
	readonly term: number;
	readonly deadline: number;
	readonly resolve: (confirmation: Confirmation) => void;
};

const maxProbeWaitMs = 500;

/** Waits until replicas hold the writes that a primary has answered. */
export class WriteConfirmer {
	#pending: PendingWrite[] = [];
	readonly #polledReplicas = new Set<string>();

	/**
	 * @param group - What is known of the group.
	 * @param getControl - Returns the control connection of an instance.
	 * @param clock - Monotonic time.
	 */
	constructor(private readonly group: GroupState, private readonly getControl: (instance: string) => EndpointConnectionPort | undefined, private readonly clock: Clock) {}

	/**
	 * Waits until a replica holds a write.
	 * @param position - Position of the write.
	 * @param term - Term in which the primary answered it.
	 * @param deadline - Time to stop waiting.
	 */
	async waitForConfirmation(position: LogPosition, term: number, deadline: number): Promise<Confirmation> {
		const known = this.#getConfirmation({
			position, term, deadline, resolve: () => undefined,
		});
		if (known !== undefined) {
			return known;
		}

		return new Promise(resolve => {
			this.#pending.push({
				position, term, deadline, resolve,
			});
			this.#startPolling();
			setTimeout(() => {
				this.#resolveExpired();
			}, Math.max(1, deadline - this.clock.getNow() + 1));
		});
	}

	/** Re-examines the pending writes after news of the group. */
	recheckPendingWrites(): void {
		this.#resolvePending(write => this.#getConfirmation(write));
	}

	#startPolling(): void {
		for (const replica of this.group.replicas) {
			if (!this.#polledReplicas.has(replica.name) && this.getControl(replica.name) !== undefined) {
				this.#polledReplicas.add(replica.name);
				void this.#pollReplica(replica.name);
			}
		}
	}

	async #pollReplica(name: string): Promise<void> {
		const failurePauseMs = 50;
		while (this.#pending.length > 0) {
			const isAnswered = await this.#probeReplica(name);
			this.recheckPendingWrites();
			if (!isAnswered) {
				await new Promise(resolve => {
					setTimeout(resolve, failurePauseMs);
				});
			}
		}

		this.#polledReplicas.delete(name);
	}

	async #probeReplica(name: string): Promise<boolean> {
		const control = this.getControl(name);
		const view = this.group.getInstance(name);
		const held = view?.position;
		const missing = this.#pending.map(write => write.position).filter(position => held === undefined || !isAtLeast(held, position));
		if (control === undefined || view === undefined) {
			return false;
		}

		const [first] = missing.toSorted(comparePositions);
		const sentAt = this.clock.getNow();
		const request = create(ProbeRequestSchema, first === undefined ? {} : {atLeast: formatPosition(first), maxWaitMs: maxProbeWaitMs});
		const status = await control.probe(request, {timeoutMs: maxProbeWaitMs * 2});
		status.ifRight(answer => {
			view.observeReport(parseInstanceStatus(answer), sentAt);
		});
		return status.isRight();
	}

	#getConfirmation({position, term}: PendingWrite): Confirmation | undefined {
		if (this.group.instances.some(instance => instance.term > term)) {
			return 'unconfirmed';
		}

		const others = this.group.instances.filter(instance => instance.name !== this.group.primaryName);
		// A copy counts only with an entry of this term behind it: one of an older term may yet be overruled.
		return others.some(replica => replica.term === term && replica.position.term === term && isAtLeast(replica.position, position)) ? 'confirmed' : undefined;
	}

	#resolveExpired(): void {
		const now = this.clock.getNow();
		this.#resolvePending(write => (write.deadline <= now ? 'timed-out' : undefined));
	}

	#resolvePending(judge: (write: PendingWrite) => Confirmation | undefined): void {
		const pending = this.#pending;
		this.#pending = [];
		for (const write of pending) {
			const confirmation = judge(write);
			if (confirmation === undefined) {
				this.#pending.push(write);
			} else {
				write.resolve(confirmation);
			}
		}
	}
}
