import {Backoff} from '@chicorysaddle/decisions';
import {type DecisionLog} from '../observability/index.js';
import {type Clock, type CoordinationTable} from '../ports/index.js';
import {type Instance} from './instance.js';
import {type InstanceRegistry} from './instance-registry.js';

/** Interval at which the list is read, milliseconds: well inside the time in which a draining instance may still be used. */
const readIntervalMs = 1000;

/** Pause after a call that failed, and the longest after several, milliseconds. */
const failurePauseMs = 300;
const longestPauseMs = readIntervalMs;

/** Time for a call, milliseconds. */
const callTimeoutMs = 1000;

/** Time after an outage of the store for which an instance may be missing because its entry lapsed meanwhile, milliseconds. */
const lapseGraceMs = 2500;

/** Keeps the list of instances up to date. */
export class InstanceKeeper {
	#isStopped = false;
	#outageEndedAt = Number.NEGATIVE_INFINITY;
	#isAway = false;
	#isReading = true;
	#wake: (() => void) | undefined;

	readonly #backoff: Backoff;

	/** @param random - Returns numbers from zero up to one. */
	constructor(
		private readonly table: CoordinationTable,
		private readonly registry: InstanceRegistry,
		private readonly clock: Clock,
		random: () => number,
		private readonly log: DecisionLog,
	) {
		this.#backoff = new Backoff(failurePauseMs, longestPauseMs, random);
	}

	/** Reads the list until it is stopped. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			const isRead = this.#isReading ? await this.#read() : true;
			await new Promise<void>(resolve => {
				const timer = setTimeout(resolve, isRead ? readIntervalMs : this.#backoff.getNextDelayMs());
				this.#wake = () => {
					clearTimeout(timer);
					resolve();
				};
			});
		}
	}

	/** Sets whether this VM reads the list itself; the coordinator tells it otherwise. */
	setReading(isReading: boolean): void {
		const isNew = isReading && !this.#isReading;
		this.#isReading = isReading;
		if (isNew) {
			this.#wake?.();
		}
	}

	/** Takes in the list that the coordinator has. */
	applyReported(instances: readonly Instance[]): void {
		this.registry.applyList(instances, this.clock.now());
	}

	stop(): void {
		this.#isStopped = true;
		this.#wake?.();
	}

	async #read(): Promise<boolean> {
		const result = await this.table.readInstances(callTimeoutMs);
		const now = this.clock.now();
		if (result.kind === 'failed') {
			this.#observeStore(false, `${result.failure.reason}: ${result.failure.message}`);
			return false;
		}

		if (this.#isAway) {
			this.#outageEndedAt = now;
		}

		this.#backoff.reset();
		this.#observeStore(true, '');
		this.registry.applyList(now < this.#outageEndedAt + lapseGraceMs ? this.#addLapsed(result.value) : result.value, now);
		return true;
	}

	#addLapsed(instances: readonly Instance[]): Instance[] {
		const ids = new Set(instances.map(instance => instance.id));
		return [...instances, ...[...this.registry.getAll()].filter(instance => !ids.has(instance.id))];
	}

	#observeStore(isThere: boolean, why: string): void {
		if (this.#isAway === isThere) {
			this.#isAway = !isThere;
			this.log.logEvent(isThere ? 'store.regained' : 'store.lost', {call: 'instances', why});
		}
	}
}
