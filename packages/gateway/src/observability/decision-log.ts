import process from 'node:process';
import {
	eventCatalogue, type EventImportance, type EventName, type EventFieldsByName,
} from '@chicorysaddle/model';
import {Roarr, ROARR} from 'roarr';

/** Where lines go. */
export type LogOutput = {
	write(text: string): unknown;
	/** Bytes that wait for the reader. */
	readonly writableLength: number;
};

/** Lines of one importance that are written in one second; what is beyond is counted. */
const linesPerS: Readonly<Record<EventImportance, number>> = {state: 200, refusal: 20, success: 2};

/** Bytes that may wait for a slow reader of standard output before lines are dropped. */
const maxWaitingBytes = 262_144;

const windowMs = 1000;

/** Writes decisions as JSON lines, bounded in rate and in memory. */
export class DecisionLog {
	readonly #roarr;
	#windowEndsAt = 0;
	readonly #written: Record<EventImportance, number> = {state: 0, refusal: 0, success: 0};
	#omitted = 0;

	/** @param vm - Name of this VM, on every line. */
	constructor(vm: string, private readonly output: LogOutput = process.stdout) {
		this.#roarr = Roarr.child({vm});
		ROARR.write = message => {
			this.output.write(`${message}\n`);
		};
	}

	/**
	 * Logs an event of the catalogue, unless its importance had its lines of this second.
	 * @param name - Name in the catalogue.
	 * @param fields - Inputs and outcome.
	 */
	logEvent<Name extends EventName>(name: Name, fields: EventFieldsByName<Name>): void {
		const now = Date.now();
		if (now >= this.#windowEndsAt || now < this.#windowEndsAt - windowMs) {
			this.#startWindow(now);
		}

		const {importance} = eventCatalogue[name];
		if (this.#written[importance] >= linesPerS[importance] || this.output.writableLength > maxWaitingBytes) {
			this.#omitted += 1;
			return;
		}

		this.#written[importance] += 1;
		this.#roarr.info({...(fields as Record<string, string | number | boolean | undefined | Record<string, number>>)}, name);
	}

	#startWindow(now: number): void {
		this.#windowEndsAt = now + windowMs;
		this.#written.state = 0;
		this.#written.refusal = 0;
		this.#written.success = 0;
		if (this.#omitted > 0 && this.output.writableLength <= maxWaitingBytes) {
			this.#roarr.info({lines: this.#omitted}, 'log.omitted');
			this.#omitted = 0;
		}
	}
}
