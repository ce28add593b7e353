import {type Logger} from './logger.js';

/** A task that runs repeatedly, with a delay after each run, until it is stopped. */
export class RepeatedTask {
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	/**
	 * @param name - Name of the task in the log.
	 * @param getDelayMs - Returns the delay before the next run, in milliseconds.
	 * @param task - Function to run; an error is logged and the task runs again.
	 * @param logger - Logger for failed runs.
	 */
	constructor(private readonly name: string, private readonly getDelayMs: () => number, private readonly task: () => Promise<void> | void, private readonly logger: Logger) {}

	/** Runs the task at once and then after each delay. */
	start(): void {
		void this.#run();
	}

	/** Prevents further runs; a run in progress continues. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	async #run(): Promise<void> {
		try {
			await this.task();
		} catch (error) {
			this.logger.error('repeated task failed', {task: this.name, error: String(error)});
		}

		if (!this.#isStopped) {
			this.#timer = setTimeout(() => {
				void this.#run();
			}, this.getDelayMs());
		}
	}
}
