import {type Logger} from './logger.js';

/** A task that runs again and again until it is stopped. */
export class RepeatedTask {
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	/**
	 * @param name - Name for the log.
	 * @param getDelayMs - Returns the pause before the next run.
	 * @param task - What to do.
	 * @param logger - Where failures go.
	 */
	constructor(private readonly name: string, private readonly getDelayMs: () => number, private readonly task: () => Promise<void> | void, private readonly logger: Logger) {}

	/** Runs the task at once and then after every pause. */
	start(): void {
		void this.#run();
	}

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
