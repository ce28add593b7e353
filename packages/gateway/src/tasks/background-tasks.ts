import {inspect} from 'node:util';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type Clock} from '../ports/index.js';

/** Minimum interval between two log lines about errors of one task, in milliseconds. */
const logIntervalMs = 1000;

/** Delay before a loop is started again after its first error, in milliseconds; it doubles with each further error. */
const initialRestartDelayMs = 100;

/** Maximum delay before a loop is started again, in milliseconds. */
const maxRestartDelayMs = 1000;

/** Runs operations and callbacks that nothing awaits: an error in one is counted and logged, and reaches neither the others nor the process. */
export class BackgroundTasks {
	/** Monotonic times at which errors were last logged, by task, in milliseconds. */
	readonly #loggedAt = new Map<string, number>();

	readonly #failureCounts = new Map<string, number>();

	constructor(private readonly log: EventLog, private readonly metrics: GatewayMetrics, private readonly clock: Clock) {}

	/** Starts an operation that nothing awaits. */
	run(task: string, operation: () => Promise<unknown>): void {
		void this.#runOnce(task, operation);
	}

	/** Starts an operation that lasts until it is stopped, and starts it again after a delay whenever it fails. */
	runLoop(task: string, operation: () => Promise<unknown>, isStopped: () => boolean): void {
		void this.#runUntilStopped(task, operation, isStopped);
	}

	/** Calls a function; returns whether it succeeded. */
	tryCall(task: string, callback: () => void): boolean {
		try {
			callback();
			return true;
		} catch (error) {
			this.recordFailure(task, error);
			return false;
		}
	}

	/** Creates a callback, for a timer or an event, that does not throw. */
	createCallback<Arguments extends unknown[]>(task: string, callback: (...arguments_: Arguments) => void): (...arguments_: Arguments) => void {
		return (...arguments_) => {
			this.tryCall(task, () => {
				callback(...arguments_);
			});
		};
	}

	/** Counts an error of a task, and logs it unless an error of that task was logged just before. */
	recordFailure(task: string, error: unknown): void {
		this.metrics.addCount('task_failed');
		this.#failureCounts.set(task, this.countFailures(task) + 1);
		const now = this.clock.now();
		if (now - (this.#loggedAt.get(task) ?? Number.NEGATIVE_INFINITY) >= logIntervalMs) {
			this.#loggedAt.set(task, now);
			this.log.logEvent('task.failed', {task, error: error instanceof Error ? error.stack ?? error.message : inspect(error)});
		}
	}

	/** Returns the number of errors of a task so far. */
	countFailures(task: string): number {
		return this.#failureCounts.get(task) ?? 0;
	}

	async #runUntilStopped(task: string, operation: () => Promise<unknown>, isStopped: () => boolean): Promise<void> {
		for (let delayMs = initialRestartDelayMs; !isStopped() && !await this.#runOnce(task, operation); delayMs = Math.min(maxRestartDelayMs, delayMs * 2)) {
			await delay(delayMs);
		}
	}

	/** Returns whether the operation succeeded. */
	async #runOnce(task: string, operation: () => Promise<unknown>): Promise<boolean> {
		try {
			await operation();
			return true;
		} catch (error) {
			this.recordFailure(task, error);
			return false;
		}
	}
}

async function delay(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
