import {logStart, type LogPosition} from '@chicorysaddle/model';

/** One change of one row. */
export type WriteOperation = {readonly statement: 'put' | 'append'; readonly key: string; readonly value: string; readonly tag: string};

/** One entry of the log, applied whole. */
export type LogEntry = {
	readonly position: LogPosition;
	readonly operations: readonly WriteOperation[];
	readonly recordId: string;
	readonly bodyHash: string;
	readonly writtenAt: number;
};

/** Health of an instance. */
export type InstanceHealth = 'up' | 'dead' | 'hung';

/** One instance of a database group that keeps everything in memory. */
export class FakeInstance {
	term = 1;
	promoter = 'initial';
	isPrimary = false;
	health: InstanceHealth = 'up';
	/** Whether it is cut off from the other instances. */
	isIsolated = false;
	/** Delay of replication to this instance, in milliseconds. */
	lagMs = 5;
	/** Whether its log is known to be a prefix of the primary's of its term. */
	isSynced = true;
	lastPrimaryContactAt = 0;
	/** Everything written before this time is held. */
	syncedAt = 0;
	runningCount = 0;
	log: LogEntry[] = [];
	readonly #data = new Map<string, string>();
	readonly #records = new Map<string, LogEntry>();

	constructor(readonly name: string, readonly zone: string, readonly slots: number, readonly connections: number) {}

	get position(): LogPosition {
		return this.log.at(-1)?.position ?? logStart;
	}

	getValue(key: string): string {
		return this.#data.get(key) ?? '';
	}

	getRecord(recordId: string): LogEntry | undefined {
		return recordId === '' ? undefined : this.#records.get(recordId);
	}

	/** Appends an entry of this instance's own term. */
	appendEntry(operations: readonly WriteOperation[], recordId: string, bodyHash: string, now: number): LogEntry {
		const entry = {
			position: {term: this.term, offset: this.log.length + 1}, operations, recordId, bodyHash, writtenAt: now,
		};
		this.applyEntry(entry);
		return entry;
	}

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

	/** Drops the entries from an index on. */
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

	/** Refuses every term below the given one; a term belongs to one promoter. */
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
