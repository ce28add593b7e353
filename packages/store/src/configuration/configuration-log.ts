import {type Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {
	type ConfigurationChange, type Refusal, refusals, type StoredRow,
} from '@chicorysaddle/model';
import {type ObjectStore} from '../ports/object-store.js';
import {type Table, type TableRow} from '../ports/table.js';

const headKey = 'configuration/head';
/** Number of versions between snapshots. */
export const snapshotInterval = 64;

const rowSchema = z.object({key: z.string(), value: z.string().optional()});
const headSchema = z.object({version: z.number(), snapshotVersion: z.number()});
const changeSchema = z.object({
	version: z.number(), writeId: z.string(), author: z.string(), summary: z.string(), rows: z.array(rowSchema),
});
const referenceSchema = z.object({writeId: z.string()});
const snapshotSchema = z.object({version: z.number(), rows: z.array(rowSchema)});

/** Head of the log: the newest version and the version of the newest snapshot, zero for none, and the version of the row that holds both. */
export type ConfigurationHead = z.infer<typeof headSchema> & {readonly rowVersion: number};

/** All rows of the configuration at one version. */
export type ConfigurationSnapshot = {readonly version: number; readonly rows: readonly StoredRow[]};

/** Outcome of writing a change. */
export type ChangeWriteResult =
	| {readonly kind: 'written'}
	/** Another change, which is returned, took the version. */
	| {readonly kind: 'conflict'; readonly change: ConfigurationChange};

/**
 * Log of configuration changes in the platform's table and object store.
 * A write stores the change, and a snapshot if one is due, as objects and then takes the version by a compare-and-set of the head.
 */
export class ConfigurationLog {
	constructor(private readonly table: Table, private readonly objects: ObjectStore) {}

	/** Reads the head of the log. */
	async readHead(): Promise<Either<Refusal, ConfigurationHead>> {
		const rows = await this.table.readRows([headKey]);
		return rows.chain(([row]) => parseHeadRow(row));
	}

	/** Reads the change that produced a version. */
	async readChange(version: number): Promise<Either<Refusal, ConfigurationChange>> {
		const rows = await this.table.readRows([getChangeKey(version)]);
		const reference = rows.chain(([row]) => parseJson(referenceSchema, row?.value ?? '', `change ${version}`));
		if (reference.isLeft()) {
			return reference;
		}

		const {writeId} = reference.unsafeCoerce();
		const body = await this.#readObject(getBodyKey(writeId));
		return body.chain(text => parseJson(changeSchema, text, `change ${version}`)).map(change => ({...change, version}));
	}

	/** Reads the snapshot of a version, which is the head's `snapshotVersion`. */
	async readSnapshot(version: number): Promise<Either<Refusal, ConfigurationSnapshot>> {
		const body = await this.#readObject(getSnapshotKey(version));
		return body.chain(text => parseJson(snapshotSchema, text, `snapshot ${version}`));
	}

	/**
	 * Writes the next change.
	 * After a conflict or a lost response, reads which write took the version.
	 * @param change - Change whose version follows the head's.
	 * @param snapshot - New snapshot, if one is due.
	 */
	async writeChange(change: ConfigurationChange, snapshot?: ConfigurationSnapshot): Promise<Either<Refusal, ChangeWriteResult>> {
		const writtenBodies = await this.#writeBodies(change, snapshot);
		const head = writtenBodies.isLeft() ? (writtenBodies as unknown as Either<Refusal, ConfigurationHead>) : await this.readHead();
		if (head.isLeft()) {
			return head;
		}

		const current = head.unsafeCoerce();
		if (current.version !== change.version - 1) {
			return this.#resolveWriteOutcome(change);
		}

		const written = await this.table.compareAndSet([
			{
				key: headKey,
				expectedVersion: current.rowVersion,
				value: JSON.stringify({version: change.version, snapshotVersion: snapshot?.version ?? current.snapshotVersion}),
			},
			{key: getChangeKey(change.version), expectedVersion: 0, value: JSON.stringify({writeId: change.writeId})},
		]);
		const isApplied = written.map(result => result.applied).orDefault(false);
		return isApplied ? Right({kind: 'written'}) : this.#resolveWriteOutcome(change);
	}

	/** Reads whether a change or another one took its version. */
	async #resolveWriteOutcome(change: ConfigurationChange): Promise<Either<Refusal, ChangeWriteResult>> {
		const head = await this.readHead();
		if (head.isLeft()) {
			return head;
		}

		if (head.unsafeCoerce().version < change.version) {
			return Left(refusals.storeUnavailable(`version ${change.version} was not taken`));
		}

		const committedChange = await this.readChange(change.version);
		return committedChange.map(committed => (committed.writeId === change.writeId ? {kind: 'written'} : {kind: 'conflict', change: committed}));
	}

	async #writeBodies(change: ConfigurationChange, snapshot?: ConfigurationSnapshot): Promise<Either<Refusal, void>> {
		const put = await this.objects.writeObject(getBodyKey(change.writeId), encodeJson(change));
		return put.isLeft() || snapshot === undefined ? put : this.objects.writeObject(getSnapshotKey(snapshot.version), encodeJson(snapshot));
	}

	async #readObject(key: string): Promise<Either<Refusal, string>> {
		const object = await this.objects.readObject(key);
		return object.chain(body => body
			.map(bytes => new TextDecoder().decode(bytes))
			.toEither(refusals.storeUnavailable(`no object "${key}"`)));
	}
}

function getChangeKey(version: number): string {
	return `configuration/change/${version}`;
}

function getBodyKey(writeId: string): string {
	return `configuration/body/${writeId}`;
}

function getSnapshotKey(version: number): string {
	return `configuration/snapshot/${version}`;
}

function encodeJson(value: unknown): Uint8Array {
	return new TextEncoder().encode(JSON.stringify(value));
}

function parseHeadRow(row: TableRow | undefined): Either<Refusal, ConfigurationHead> {
	return row === undefined || row.version === 0
		? Right({version: 0, snapshotVersion: 0, rowVersion: 0})
		: parseJson(headSchema, row.value, headKey).map(head => ({...head, rowVersion: row.version}));
}

function parseJson<T>(schema: z.ZodType<T>, text: string, description: string): Either<Refusal, T> {
	try {
		return Right(schema.parse(JSON.parse(text)));
	} catch {
		return Left(refusals.storeUnavailable(`${description} cannot be read`));
	}
}
