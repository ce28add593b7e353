import {isDeepStrictEqual} from 'node:util';
import {Left, type Either} from 'purify-ts';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type Clock} from '../ports/index.js';
import {delay} from './delay.js';
import {formatError, formatErrorMessage} from './format-error.js';
import {readLimitMs, readRepeatedly} from './read-repeatedly.js';
import {type ListenerLists, ServiceListeners} from './service-listeners.js';
import {type ProcessSignal} from './signal-buffer.js';

/** Phase of a process; it is part of the line that the process ends with. */
export type ProcessPhase = 'loading-settings' | 'binding' | 'serving' | 'stopping';

/** Time before the end of the grace period at which a shutdown that has not ended is given up, in milliseconds. */
const abandonMarginMs = 100;

/** Interval at which the settings are read again at the start, in milliseconds: their file may have been complete in itself, but cut off, when it was read. */
const settingsCheckMs = 1000;

/** Service that a process runs. */
export type SupervisedService<Settings> = ListenerLists & {
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	/** Starts to act for the VM; called when all listeners are bound. */
	start(): Promise<void>;
	/** Applies settings that were read again, or logs the reason why they could not be read. */
	applySettings(settings: Either<string, Settings>): void;
	/** Finishes what was begun and leaves the cluster. */
	drain(): Promise<void>;
	/** Returns the time from a signal until the process has to have ended, in milliseconds. */
	getGraceMs(): number;
};

/** Program of a process. */
export type SupervisedProgram<Settings> = {
	readonly loadSettings: () => Either<string, Settings>;
	readonly createService: (settings: Settings) => SupervisedService<Settings>;
};

/** Dependencies of a `ProcessSupervisor`. */
export type ProcessSupervisorDependencies = {
	readonly clock: Clock;
	/** Log until the settings are known. */
	readonly log: EventLog;
	/** Writes to standard error. */
	readonly writeError: (text: string) => void;
	/** Ends the process. */
	readonly exit: (code: number) => void;
};

/** Takes a process through its phases, and decides what ends it: SIGTERM, an error that nothing handles, or a condition at the start that does not pass. */
export class ProcessSupervisor<Settings> {
	#phase: ProcessPhase = 'loading-settings';
	#log: EventLog;
	#metrics: GatewayMetrics | undefined;
	readonly #stop = new AbortController();
	#end: {code: number; reason: string} | undefined;
	#isReloadDue = false;
	#reload: AbortController | undefined;
	/** Settings that were read last. */
	#settings: Settings | undefined;
	#service: SupervisedService<Settings> | undefined;

	constructor(private readonly program: SupervisedProgram<Settings>, private readonly dependencies: ProcessSupervisorDependencies) {
		this.#log = dependencies.log;
	}

	get phase(): ProcessPhase {
		return this.#phase;
	}

	/** Handles a signal: SIGTERM ends the process in order, SIGHUP has the settings read again as soon as the service runs. */
	handleSignal(signal: ProcessSignal): void {
		if (signal === 'SIGTERM') {
			this.#requestEnd(0, signal);
		} else if (this.#phase === 'serving') {
			void this.#reloadSettings();
		} else {
			this.#isReloadDue = true;
		}
	}

	/** Handles an error that nothing caught: the process ends in order, since what was interrupted is not known. */
	handleException(error: unknown): void {
		this.#log.logEvent('process.failed', {phase: this.#phase, error: formatError(error)});
		this.#metrics?.addCount('uncaught_exceptions');
		this.#requestEnd(1, formatErrorMessage(error));
	}

	/** Handles the failure of a background task that nothing awaits: the process goes on. */
	handleRejection(reason: unknown): void {
		this.#log.logEvent('task.failed', {task: 'unknown', error: formatError(reason)});
		this.#metrics?.addCount('task_failed');
	}

	/** Handles an error of the output of the log: the line is lost, and the process goes on. */
	handleOutputError(): void {
		this.#log.recordLostLine();
		this.#metrics?.addCount('log_lines_lost');
	}

	/** Runs the program until the end of the process. */
	async run(): Promise<void> {
		try {
			await this.#runPhases();
		} catch (error) {
			this.#log.logEvent('process.failed', {phase: this.#phase, error: formatError(error)});
			this.#requestEnd(1, formatErrorMessage(error));
		}

		const {code, reason} = this.#end ?? {code: 1, reason: 'unknown'};
		this.#log.logEvent('process.ended', {phase: this.#phase, code, reason});
		this.dependencies.exit(code);
	}

	async #runPhases(): Promise<void> {
		const service = await this.#bindService();
		if (service === undefined) {
			return;
		}

		await service.start();
		this.#phase = 'serving';
		if (this.#isReloadDue) {
			void this.#reloadSettings();
		}

		void this.#confirmSettings();
		await this.#waitForEnd();
		await this.#drainService(service);
	}

	/** Creates the service and binds its addresses, with the settings that are in force when all are bound; returns undefined if the process is to end. */
	async #bindService(): Promise<SupervisedService<Settings> | undefined> {
		for (let settings = await this.#loadSettings(); settings !== undefined; settings = await this.#loadSettings()) {
			const service = this.program.createService(settings);
			this.#service = service;
			this.#log = service.log;
			this.#metrics = service.metrics;
			this.#phase = 'binding';
			const listeners = new ServiceListeners(service, {clock: this.dependencies.clock, log: this.#log, signal: this.#stop.signal});
			if (await this.#bindListeners(listeners) && !this.#areSettingsChanged()) {
				return service;
			}

			listeners.close();
			if (!this.#stop.signal.aborted) {
				this.#log.logEvent('settings.changed', {});
			}
		}

		return undefined;
	}

	/** Returns whether the addresses were bound before the settings changed. */
	async #bindListeners(listeners: ServiceListeners): Promise<boolean> {
		const bound = new AbortController();
		try {
			return await Promise.race([listeners.bind(), this.#waitForOtherSettings(bound.signal)]);
		} finally {
			bound.abort();
		}
	}

	async #waitForOtherSettings(signal: AbortSignal): Promise<false> {
		do {
			await delay(settingsCheckMs, signal);
		} while (!signal.aborted && !this.#areSettingsChanged());

		return false;
	}

	/** Returns whether other settings than those that were read last can be read. */
	#areSettingsChanged(): boolean {
		return this.program.loadSettings().map(settings => !isDeepStrictEqual(settings, this.#settings)).orDefault(false);
	}

	/** Reads the settings again after the start, because no signal follows if they were being written when they were read, until two readings agree. */
	async #confirmSettings(): Promise<void> {
		const deadline = this.dependencies.clock.now() + readLimitMs;
		let isConfirmed = false;
		while (!isConfirmed && this.dependencies.clock.now() < deadline) {
			await delay(settingsCheckMs, this.#stop.signal);
			if (this.#stop.signal.aborted) {
				return;
			}

			const reading = this.program.loadSettings();
			isConfirmed = reading.isRight() && isDeepStrictEqual(reading.extract(), this.#settings);
			if (reading.isRight() && !isConfirmed) {
				await this.#reloadSettings();
			}
		}
	}

	async #loadSettings(): Promise<Settings | undefined> {
		const settings = await readRepeatedly(() => {
			// What the signal announced is part of the first reading; later ones are answered with a line when the service runs.
			this.#isReloadDue &&= this.#phase !== 'loading-settings';
			return this.program.loadSettings();
		}, {
			clock: this.dependencies.clock, signal: this.#stop.signal, onFailed: reason => {
				this.dependencies.writeError(`chicorysaddle: ${reason}\n`);
				this.#log.logEvent('settings.unreadable', {reason});
			},
		});
		settings.ifLeft(reason => {
			this.#requestEnd(1, reason);
		});
		this.#settings = this.#stop.signal.aborted ? undefined : settings.toMaybe().extract();
		return this.#settings;
	}

	/** Reads the settings again, as often as necessary, since the signal is sent once only; a later signal begins anew. */
	async #reloadSettings(): Promise<void> {
		this.#reload?.abort();
		const reload = new AbortController();
		this.#reload = reload;
		const settings = await readRepeatedly(this.program.loadSettings, {
			clock: this.dependencies.clock, signal: reload.signal, onFailed: reason => {
				this.#service?.applySettings(Left(reason));
			},
		});
		if (!reload.signal.aborted) {
			this.#settings = settings.orDefault(this.#settings!);
			this.#service?.applySettings(settings.mapLeft(reason => `not read again: ${reason}`));
		}
	}

	async #waitForEnd(): Promise<void> {
		if (!this.#stop.signal.aborted) {
			await new Promise<void>(resolve => {
				this.#stop.signal.addEventListener('abort', () => {
					resolve();
				});
			});
		}
	}

	async #drainService(service: SupervisedService<Settings>): Promise<void> {
		this.#phase = 'stopping';
		this.#reload?.abort();
		const isDrained = await Promise.race([this.#tryDrain(service), this.#delayUntilAbandoned(service)]);
		if (!isDrained) {
			this.#end = {code: this.#end?.code ?? 1, reason: `${this.#end?.reason ?? ''}; the shutdown did not end in time`};
		}
	}

	async #tryDrain(service: SupervisedService<Settings>): Promise<boolean> {
		try {
			await service.drain();
		} catch (error) {
			this.handleRejection(error);
		}

		return true;
	}

	async #delayUntilAbandoned(service: SupervisedService<Settings>): Promise<boolean> {
		await delay(Math.max(0, service.getGraceMs() - abandonMarginMs));
		return false;
	}

	/** Requests the end of the process; the first request determines its exit code and the reason that is logged. */
	#requestEnd(code: number, reason: string): void {
		this.#end ??= {code, reason};
		this.#stop.abort();
	}
}
