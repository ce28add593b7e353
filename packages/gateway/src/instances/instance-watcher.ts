import {Backoff} from '@chicorysaddle/decisions';
import {type EventLog} from '../observability/index.js';
import {type Clock, type CoordinationStore} from '../ports/index.js';
import {type Instance} from './instance.js';
import {type InstanceRegistry} from './instance-registry.js';

/** Interval at which the list is read, milliseconds: well inside the time in which a draining instance may still be used. */
const pollIntervalMs = 1000;

/** Pause after a call that failed, and the longest after several, milliseconds. */
const initialBackoffMs = 300;
const maxBackoffMs = pollIntervalMs;

/** Time for a call, milliseconds. */
const callTimeoutMs = 1000;

/** Time after an outage of the store for which an instance may be missing because its entry lapsed meanwhile, milliseconds. */
const expiryGraceMs = 2500;

/** Keeps the list of instances up to date. */
export class InstanceWatcher {
	#isStopped = false;
	#outageEndedAt = Number.NEGATIVE_INFINITY;
	#isStoreUnavailable = false;
	#isPolling = true;
	#wake: (() => void) | undefined;

	readonly #backoff: Backoff;

	/** @param random - Returns numbers from zero up to one. */
	constructor(
		private readonly store: CoordinationStore,
		private readonly registry: InstanceRegistry,
		private readonly clock: Clock,
		random: () => number,
		private readonly log: EventLog,
	) {
		this.#backoff = new Backoff(initialBackoffMs, maxBackoffMs, random);
	}

	/** Reads the list until it is stopped. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			const isSuccessful = this.#isPolling ? await this.#read() : true;
			await new Promise<void>(resolve => {
				const timer = setTimeout(resolve, isSuccessful ? pollIntervalMs : this.#backoff.getNextDelayMs());
				this.#wake = () => {
					clearTimeout(timer);
					resolve();
				};
			});
		}
	}

	/** Sets whether this VM reads the list itself; the coordinator tells it otherwise. */
	setPolling(isPolling: boolean): void {
		const isResumed = isPolling && !this.#isPolling;
		this.#isPolling = isPolling;
		if (isResumed) {
			this.#wake?.();
		}
	}

	/** Takes in the list that the coordinator has. */
	applyReportedInstances(instances: readonly Instance[]): void {
		this.registry.setInstances(instances, this.clock.now());
	}

	stop(): void {
		this.#isStopped = true;
		this.#wake?.();
	}

	async #read(): Promise<boolean> {
		const result = await this.store.readInstances(callTimeoutMs);
		const now = this.clock.now();
		if (result.kind === 'failed') {
			this.#recordStoreAvailability(false, `${result.failure.reason}: ${result.failure.message}`);
			return false;
		}

		if (this.#isStoreUnavailable) {
			this.#outageEndedAt = now;
		}

		this.#backoff.reset();
		this.#recordStoreAvailability(true, '');
		this.registry.setInstances(now < this.#outageEndedAt + expiryGraceMs ? this.#addExpiredInstances(result.value) : result.value, now);
		return true;
	}

	#addExpiredInstances(instances: readonly Instance[]): Instance[] {
		const ids = new Set(instances.map(instance => instance.id));
		return [...instances, ...[...this.registry.getInstances()].filter(instance => !ids.has(instance.id))];
	}

	#recordStoreAvailability(isAvailable: boolean, why: string): void {
		if (this.#isStoreUnavailable === isAvailable) {
			this.#isStoreUnavailable = !isAvailable;
			this.log.logEvent(isAvailable ? 'store.regained' : 'store.lost', {call: 'instances', why});
		}
	}
}
