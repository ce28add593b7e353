import {create} from '@bufbuild/protobuf';
import {comparePositions, isAtLeast, type LogPosition} from '@chicorysaddle/model';
import {type GroupState} from '@chicorysaddle/decisions';
import {ProbeRequestSchema} from '@chicorysaddle/protocol';
import {type Clock} from '../observability/index.js';
import {type EndpointConnectionPort, formatPosition, parseInstanceStatus} from '../endpoints/index.js';

/** Result of waiting for a replica to hold a write: `unconfirmed` if a later term began first, `timed-out` if the deadline passed first. */
export type Confirmation = 'confirmed' | 'unconfirmed' | 'timed-out';

type PendingWrite = {
	readonly position: LogPosition;
	/** Term in which the primary responded to the write. */
	readonly term: number;
	/** Time to stop waiting, in monotonic milliseconds. */
	readonly deadline: number;
	readonly resolve: (confirmation: Confirmation) => void;
};

/** Maximum time that a replica delays its response to a probe until it reaches a position, in milliseconds. */
const maxProbeWaitMs = 500;

/** Waits until a replica of a group holds the writes that the primary has executed. */
export class WriteConfirmer {
	#pending: PendingWrite[] = [];
	readonly #polledReplicas = new Set<string>();

	/**
	 * @param group - State of the group.
	 * @param getControl - Returns the control connection of an instance.
	 * @param clock - Monotonic clock.
	 */
	constructor(private readonly group: GroupState, private readonly getControl: (instance: string) => EndpointConnectionPort | undefined, private readonly clock: Clock) {}

	/**
	 * Waits until a replica holds a write, a later term begins or the deadline passes.
	 * @param position - Position of the write.
	 * @param term - Term in which the primary responded to it.
	 * @param deadline - Time to stop waiting, in monotonic milliseconds.
	 */
	async waitForConfirmation(position: LogPosition, term: number, deadline: number): Promise<Confirmation> {
		const confirmation = this.#getConfirmation({
			position, term, deadline, resolve: () => undefined,
		});
		if (confirmation !== undefined) {
			return confirmation;
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

	/** Re-evaluates the pending writes after a change in the state of the group. */
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
		const retryDelayMs = 50;
		while (this.#pending.length > 0) {
			const hasResponded = await this.#probeReplica(name);
			this.recheckPendingWrites();
			if (!hasResponded) {
				await new Promise(resolve => {
					setTimeout(resolve, retryDelayMs);
				});
			}
		}

		this.#polledReplicas.delete(name);
	}

	async #probeReplica(name: string): Promise<boolean> {
		const control = this.getControl(name);
		const instance = this.group.getInstance(name);
		const heldPosition = instance?.position;
		const missingPositions = this.#pending.map(write => write.position).filter(position => heldPosition === undefined || !isAtLeast(heldPosition, position));
		if (control === undefined || instance === undefined) {
			return false;
		}

		const [earliestMissing] = missingPositions.toSorted(comparePositions);
		const sentAt = this.clock.getNow();
		const request = create(ProbeRequestSchema, earliestMissing === undefined ? {} : {atLeast: formatPosition(earliestMissing), maxWaitMs: maxProbeWaitMs});
		const status = await control.probe(request, {timeoutMs: maxProbeWaitMs * 2});
		status.ifRight(response => {
			instance.recordReport(parseInstanceStatus(response), sentAt);
		});
		return status.isRight();
	}

	#getConfirmation({position, term}: PendingWrite): Confirmation | undefined {
		if (this.group.instances.some(instance => instance.term > term)) {
			return 'unconfirmed';
		}

		const replicas = this.group.instances.filter(instance => instance.name !== this.group.primaryName);
		// A replica whose last log entry is of an older term does not confirm the write, because a later primary may still overwrite its log.
		return replicas.some(replica => replica.term === term && replica.position.term === term && isAtLeast(replica.position, position)) ? 'confirmed' : undefined;
	}

	#resolveExpired(): void {
		const now = this.clock.getNow();
		this.#resolvePending(write => (write.deadline <= now ? 'timed-out' : undefined));
	}

	#resolvePending(getConfirmation: (write: PendingWrite) => Confirmation | undefined): void {
		const pending = this.#pending;
		this.#pending = [];
		for (const write of pending) {
			const confirmation = getConfirmation(write);
			if (confirmation === undefined) {
				this.#pending.push(write);
			} else {
				write.resolve(confirmation);
			}
		}
	}
}
