import process from 'node:process';
import {Roarr, ROARR, logLevels} from 'roarr';

type LogLevel = keyof typeof logLevels;

/** Values that a log line may carry. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes JSON lines to standard output, in a process that was started with Roarr switched on. */
export class Logger {
	readonly #roarr;
	readonly #minLevel: number;

	/**
	 * @param level - Lowest level that is written.
	 * @param context - Values that every line carries.
	 */
	constructor(level: LogLevel, context: LogFields) {
		this.#minLevel = logLevels[level];
		this.#roarr = Roarr.child({...context});
		ROARR.write = message => {
			process.stdout.write(`${message}\n`);
		};
	}

	debug(message: string, context: LogFields = {}): void {
		this.#write('debug', message, context);
	}

	info(message: string, context: LogFields = {}): void {
		this.#write('info', message, context);
	}

	warn(message: string, context: LogFields = {}): void {
		this.#write('warn', message, context);
	}

	error(message: string, context: LogFields = {}): void {
		this.#write('error', message, context);
	}

	#write(level: 'debug' | 'info' | 'warn' | 'error', message: string, context: LogFields): void {
		if (logLevels[level] >= this.#minLevel) {
			this.#roarr[level]({...context}, message);
		}
	}
}
