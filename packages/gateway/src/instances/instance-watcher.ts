import {Backoff} from '@chicorysaddle/decisions';
import {type EventLog} from '../observability/index.js';
import {type Clock, type CoordinationStore} from '../ports/index.js';
import {type Instance} from './instance.js';
import {type InstanceRegistry} from './instance-registry.js';

/** Poll interval, in milliseconds; well below the time for which a draining instance still accepts statements. */
const pollIntervalMs = 1000;

/** Initial backoff after failed calls, in milliseconds. */
const initialBackoffMs = 300;

/** Maximum backoff after failed calls, in milliseconds. */
const maxBackoffMs = pollIntervalMs;

/** Timeout of a store call, in milliseconds. */
const callTimeoutMs = 1000;

/** Time after a store outage, or after its return from an older copy, for which missing instances are kept, in milliseconds: their entries may have expired or been lost. */
const expiryGraceMs = 2500;

/** Updates the instance registry from the store, or from the list reported by the coordinator. */
export class InstanceWatcher {
	#isStopped = false;
	#outageEndedAt = Number.NEGATIVE_INFINITY;
	#isStoreUnavailable = false;
	#restoreCount = 0;
	#isPolling = true;
	/** Ends the current wait between reads. */
	#wake: (() => void) | undefined;

	#readCount = 0;
	readonly #backoff: Backoff;

	/** @param random - Returns numbers from 0 (inclusive) to 1 (exclusive). */
	constructor(
		private readonly store: CoordinationStore,
		private readonly registry: InstanceRegistry,
		private readonly clock: Clock,
		random: () => number,
		private readonly log: EventLog,
	) {
		this.#backoff = new Backoff(initialBackoffMs, maxBackoffMs, random);
	}

	/** Number of lists that were read from the store and applied. */
	get readCount(): number {
		return this.#readCount;
	}

	/** Whether polling was stopped. */
	get isStopped(): boolean {
		return this.#isStopped;
	}

	/** Polls the store for the list of instances until stopped; may be called again after an error. */
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

	/** Sets whether this VM polls the store; otherwise the coordinator reports the list. */
	setPolling(isPolling: boolean): void {
		const isResumed = isPolling && !this.#isPolling;
		this.#isPolling = isPolling;
		if (isResumed) {
			this.#wake?.();
		}
	}

	/** Applies the list reported by the coordinator. */
	applyReportedInstances(instances: readonly Instance[]): void {
		this.registry.setInstances(instances, this.clock.now());
	}

	/** Stops polling; a call in progress still completes. */
	stop(): void {
		this.#isStopped = true;
		this.#wake?.();
	}

	/** Reads the list of instances and applies it; returns whether the call succeeded. */
	async #read(): Promise<boolean> {
		const result = await this.store.readInstances(callTimeoutMs);
		const now = this.clock.now();
		if (result.kind === 'failed') {
			this.#recordStoreAvailability(false, `${result.failure.reason}: ${result.failure.message}`);
			return false;
		}

		if (this.#isStoreUnavailable || this.store.restoreCount !== this.#restoreCount) {
			this.#outageEndedAt = now;
			this.#restoreCount = this.store.restoreCount;
		}

		this.#backoff.reset();
		this.#recordStoreAvailability(true, '');
		this.registry.setInstances(now < this.#outageEndedAt + expiryGraceMs ? this.#addLostEntries(result.value) : result.value, now);
		this.#readCount += 1;
		return true;
	}

	/** Adds the known instances that are missing from a list, and keeps those draining that are known to drain: only another process of an instance becomes ready again. */
	#addLostEntries(instances: readonly Instance[]): Instance[] {
		const ids = new Set(instances.map(instance => instance.id));
		const listedBefore = this.registry.getListedInstances();
		const listed = instances.map(instance => {
			const known = listedBefore.find(({id}) => id === instance.id);
			return known?.state === 'draining' && known.bornMs === instance.bornMs ? known : instance;
		});
		return [...listed, ...listedBefore.filter(instance => !ids.has(instance.id))];
	}

	/** Logs when the store becomes unavailable or available again. */
	#recordStoreAvailability(isAvailable: boolean, reason: string): void {
		if (this.#isStoreUnavailable === isAvailable) {
			this.#isStoreUnavailable = !isAvailable;
			this.log.logEvent(isAvailable ? 'store.regained' : 'store.lost', {call: 'instances', why: reason});
		}
	}
}
