import {type Either} from 'purify-ts';
import {type Refusal} from '@chicorysaddle/model';

/** A row of the table; version zero stands for an absent row. */
export type TableRow = {
	readonly key: string;
	readonly version: number;
	readonly value: string;
};

/** A write that applies only if the row is at the expected version. */
export type ConditionalWrite = {
	readonly key: string;
	/** Version that the row must have; zero requires that it is absent. */
	readonly expectedVersion: number;
	readonly value: string;
};

/** Outcome of a compare-and-set. */
export type CompareAndSetResult = {
	readonly applied: boolean;
	/** Key of a row that is not at the expected version, empty if the writes were applied. */
	readonly conflictingKey: string;
};

/** The platform's transactional table. */
export type Table = {
	/** Reads rows, one a key in the order of the keys; an absent row has version zero. */
	readRows(keys: readonly string[]): Promise<Either<Refusal, TableRow[]>>;
	/** Applies all writes or none; after a lost response the outcome is unknown. */
	compareAndSet(writes: readonly ConditionalWrite[]): Promise<Either<Refusal, CompareAndSetResult>>;
};
