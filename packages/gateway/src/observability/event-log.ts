import process from 'node:process';
import {
	eventCatalogue, type EventImportance, type EventName, type EventFieldsByName,
} from '@chicorysaddle/model';
import {Roarr, ROARR} from 'roarr';

/** Destination of log lines. */
export type LogOutput = {
	write(text: string): unknown;
	/** Number of bytes that the reader has not taken yet. */
	readonly writableLength: number;
};

/** Maximum number of lines per second by importance; further lines are dropped and counted. */
const maxLinesPerSecond: Readonly<Record<EventImportance, number>> = {state: 200, refusal: 20, success: 2};

/** Maximum number of bytes buffered for a slow reader of the output; while more are buffered, lines are dropped. */
const maxBufferedBytes = 262_144;

/** Window over which lines are counted for the rate limits, in milliseconds. */
const rateWindowMs = 1000;

/** Maximum number of events that are remembered as logged; the oldest are forgotten, and logged again. */
const maxRememberedEvents = 1000;

/** Writes events as JSON lines, with bounded rate and memory; a line that cannot be written is dropped and counted. */
export class EventLog {
	readonly #roarr;
	#windowEndsAt = 0;
	readonly #writtenLines: Record<EventImportance, number> = {state: 0, refusal: 0, success: 0};
	#omittedLines = 0;
	/** Identities of events that were logged, the oldest first. */
	readonly #loggedIdentities = new Set<string>();
	readonly #counts = new Map<EventName, number>();

	/** @param vm - Name of this VM, included in every line; undefined while it is not known. */
	constructor(vm: string | undefined, private readonly output: LogOutput = process.stdout) {
		this.#roarr = Roarr.child(vm === undefined ? {} : {vm});
		ROARR.write = message => {
			try {
				this.output.write(`${message}\n`);
			} catch {
				// Nothing reads the log any more; what it reports goes on.
				this.#omittedLines += 1;
			}
		};
	}

	/**
	 * Logs an event from the event catalogue, or drops it if the rate limit of its importance or the buffer limit is reached.
	 * @param fields - Event fields as defined in the catalogue.
	 */
	logEvent<Name extends EventName>(name: Name, fields: EventFieldsByName<Name>): void {
		this.#counts.set(name, this.countEvents(name) + 1);
		try {
			this.#writeEvent(name, fields);
		} catch {
			// What is logged has been done already, so an output that fails must not undo or repeat it.
			this.#omittedLines += 1;
		}
	}

	#writeEvent<Name extends EventName>(name: Name, fields: EventFieldsByName<Name>): void {
		const now = Date.now();
		if (now >= this.#windowEndsAt || now < this.#windowEndsAt - rateWindowMs) {
			this.#startWindow(now);
		}

		const {importance} = eventCatalogue[name];
		if (this.#writtenLines[importance] >= maxLinesPerSecond[importance] || this.output.writableLength > maxBufferedBytes) {
			this.#omittedLines += 1;
			return;
		}

		this.#writtenLines[importance] += 1;
		this.#roarr.info({...(fields as Record<string, string | number | boolean | undefined | Record<string, number>>)}, name);
	}

	/**
	 * Logs an event unless it has been logged.
	 * @param identity - Identifies the event among those of its name.
	 */
	logEventOnce<Name extends EventName>(name: Name, identity: string, fields: EventFieldsByName<Name>): void {
		const eventIdentity = `${name} ${identity}`;
		if (this.#loggedIdentities.has(eventIdentity)) {
			return;
		}

		const [oldest] = this.#loggedIdentities;
		if (oldest !== undefined && this.#loggedIdentities.size >= maxRememberedEvents) {
			this.#loggedIdentities.delete(oldest);
		}

		this.#loggedIdentities.add(eventIdentity);
		this.logEvent(name, fields);
	}

	/** Records that a line was lost after it was handed to the output. */
	recordLostLine(): void {
		this.#omittedLines += 1;
	}

	/** Returns the number of events of a name, with those whose lines were dropped. */
	countEvents(name: EventName): number {
		return this.#counts.get(name) ?? 0;
	}

	#startWindow(now: number): void {
		this.#windowEndsAt = now + rateWindowMs;
		this.#writtenLines.state = 0;
		this.#writtenLines.refusal = 0;
		this.#writtenLines.success = 0;
		if (this.#omittedLines > 0 && this.output.writableLength <= maxBufferedBytes) {
			this.#roarr.info({lines: this.#omittedLines}, 'log.omitted');
			this.#omittedLines = 0;
		}
	}
}
