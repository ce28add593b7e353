import process from 'node:process';
import {Roarr, ROARR, logLevels} from 'roarr';

type LogLevel = keyof typeof logLevels;

/** Structured fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Ignores errors of standard output and standard error, such as that of a full disk: the process goes on without its log. It replaces the listener of Roarr, which throws all errors but EPIPE. */
export function handleOutputErrors(): void {
	ROARR.teardown?.();
	for (const stream of [process.stdout, process.stderr]) {
		stream.on('error', () => {
			// The line is lost.
		});
	}
}

/** Writes JSON lines to standard output; needs `ROARR_LOG=true` in the environment before Roarr is loaded. */
export class Logger {
	readonly #roarr;
	readonly #minLevel: number;

	/**
	 * @param level - Minimum level that is written.
	 * @param fields - Fields that are added to every line.
	 */
	constructor(level: LogLevel, fields: LogFields) {
		this.#minLevel = logLevels[level];
		this.#roarr = Roarr.child({...fields});
		ROARR.write = message => {
			process.stdout.write(`${message}\n`);
		};
	}

	debug(message: string, fields: LogFields = {}): void {
		this.#write('debug', message, fields);
	}

	info(message: string, fields: LogFields = {}): void {
		this.#write('info', message, fields);
	}

	warn(message: string, fields: LogFields = {}): void {
		this.#write('warn', message, fields);
	}

	error(message: string, fields: LogFields = {}): void {
		this.#write('error', message, fields);
	}

	#write(level: 'debug' | 'info' | 'warn' | 'error', message: string, fields: LogFields): void {
		if (logLevels[level] >= this.#minLevel) {
			this.#roarr[level]({...fields}, message);
		}
	}
}
