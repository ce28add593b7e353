import {logStart, type LogPosition} from '@chicorysaddle/model';

/** One write to one row. */
export type WriteOperation = {readonly statement: 'put' | 'append'; readonly key: string; readonly value: string; readonly tag: string};

/** One log entry, applied atomically. */
export type LogEntry = {
	readonly position: LogPosition;
	readonly operations: readonly WriteOperation[];
	/** Id under which the request is recorded; empty if it is not. */
	readonly recordId: string;
	readonly bodyHash: string;
	/** Time of the write, in milliseconds on the monotonic clock. */
	readonly writtenAt: number;
};

/** Health of an instance; a `hung` instance accepts connections but never responds. */
export type InstanceHealth = 'up' | 'dead' | 'hung';

/** In-memory instance of a database group. */
export class FakeInstance {
	term = 1;
	promoter = 'initial';
	isPrimary = false;
	health: InstanceHealth = 'up';
	/** Whether the instance is isolated from the other instances of its group. */
	isIsolated = false;
	/** Replication lag of this instance, in milliseconds. */
	lagMs = 5;
	/** Whether the log is known to be a prefix of the log of the primary of the current term. */
	isSynced = true;
	/** Time of the last replication from a primary, in milliseconds on the monotonic clock. */
	lastPrimaryContactAt = 0;
	/** Time up to which the log contains every write of the primary, in milliseconds on the monotonic clock. */
	syncedAt = 0;
	/** Number of slots in use. */
	runningCount = 0;
	log: LogEntry[] = [];
	readonly #data = new Map<string, string>();
	readonly #records = new Map<string, LogEntry>();

	constructor(readonly name: string, readonly zone: string, readonly slots: number, readonly connections: number) {}

	/** Position of the last log entry. */
	get position(): LogPosition {
		return this.log.at(-1)?.position ?? logStart;
	}

	/** Returns the value of a row; empty if the row does not exist. */
	getValue(key: string): string {
		return this.#data.get(key) ?? '';
	}

	/** Returns the log entry of a recorded request, or undefined if there is none. */
	getRecord(recordId: string): LogEntry | undefined {
		return recordId === '' ? undefined : this.#records.get(recordId);
	}

	/** Appends and applies an entry of the current term. */
	appendEntry(operations: readonly WriteOperation[], recordId: string, bodyHash: string, now: number): LogEntry {
		const entry = {
			position: {term: this.term, offset: this.log.length + 1}, operations, recordId, bodyHash, writtenAt: now,
		};
		this.applyEntry(entry);
		return entry;
	}

	/** Appends an entry to the log and applies its writes. */
	applyEntry(entry: LogEntry): void {
		this.log.push(entry);
		if (entry.recordId !== '') {
			this.#records.set(entry.recordId, entry);
		}

		for (const {statement, key, value} of entry.operations) {
			const old = this.#data.get(key);
			this.#data.set(key, statement === 'append' && old !== undefined ? `${old},${value}` : value);
		}
	}

	/** Truncates the log to a length and rebuilds the data from the remaining entries. */
	truncateLog(length: number): void {
		if (length >= this.log.length) {
			return;
		}

		const kept = this.log.slice(0, length);
		this.log = [];
		this.#data.clear();
		this.#records.clear();
		for (const entry of kept) {
			this.applyEntry(entry);
		}
	}

	/** Accepts a term of a promoter, after which lower terms are refused; returns false if the term is lower than the current one or belongs to another promoter. */
	fence(term: number, promoter: string): boolean {
		if (term < this.term || (term === this.term && promoter !== this.promoter)) {
			return false;
		}

		if (term > this.term) {
			this.isPrimary = false;
			this.isSynced = false;
		}

		this.term = term;
		this.promoter = promoter;
		return true;
	}
}
