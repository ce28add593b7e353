import process from 'node:process';
import {Roarr, ROARR, logLevels} from 'roarr';

type Level = keyof typeof logLevels;

/** Values that a log line may carry. */
export type LogContext = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes JSON lines to standard output, in a process that was started with Roarr switched on. */
export class Logger {
	readonly #roarr;
	readonly #lowest: number;

	/**
	 * @param level - Lowest level that is written.
	 * @param context - Values that every line carries.
	 */
	constructor(level: Level, context: LogContext) {
		this.#lowest = logLevels[level];
		this.#roarr = Roarr.child({...context});
		ROARR.write = message => {
			process.stdout.write(`${message}\n`);
		};
	}

	debug(message: string, context: LogContext = {}): void {
		this.#write('debug', message, context);
	}

	info(message: string, context: LogContext = {}): void {
		this.#write('info', message, context);
	}

	warn(message: string, context: LogContext = {}): void {
		this.#write('warn', message, context);
	}

	error(message: string, context: LogContext = {}): void {
		this.#write('error', message, context);
	}

	#write(level: 'debug' | 'info' | 'warn' | 'error', message: string, context: LogContext): void {
		if (logLevels[level] >= this.#lowest) {
			this.#roarr[level]({...context}, message);
		}
	}
}
