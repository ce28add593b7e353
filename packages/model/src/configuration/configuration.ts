import {Either, Left, Right} from 'purify-ts';
import {
	type AccountLimits, type Endpoint, type ParsedRow, parseRow, type Route, type RowKind, type RowValues, type StoredRow,
} from './configuration-row.js';

/** A change of the configuration. */
export type ConfigurationChange = {
	/** Version that the change produces. */
	readonly version: number;
	/** Unique id of the write; after a lost response it shows whether this write or another one took the version. */
	readonly writeId: string;
	readonly author: string;
	readonly summary: string;
	readonly rows: readonly StoredRow[];
};

/** An endpoint with its name. */
export type NamedEndpoint = Endpoint & {readonly name: string};

type Tables = {[K in RowKind]: Map<string, RowValues[K]>};

function createTables(): Tables {
	return {
		account: new Map(), key: new Map(), group: new Map(), endpoint: new Map(), route: new Map(), secret: new Map(), voter: new Map(),
	};
}

/** The configuration at one version; changes are applied in order and never reverted. Getters of one row return undefined for an unknown name. */
export class Configuration {
	#version = 0;
	#tables = createTables();
	readonly #endpointsByGroup = new Map<string, NamedEndpoint[]>();

	/** Version of the last applied change, zero for none. */
	get version(): number {
		return this.#version;
	}

	getAccount(name: string): AccountLimits | undefined {
		return this.#tables.account.get(name);
	}

	getRoute(name: string): Route | undefined {
		return this.#tables.route.get(name);
	}

	/** Returns the routes of a group. */
	getRoutes(group: string): Route[] {
		return [...this.#tables.route.values()].filter(route => route.group === group);
	}

	/** Returns the account that owns the API key with a SHA-256 hash, undefined for an unknown key. */
	getAccountByKeyHash(hash: string): string | undefined {
		return this.#tables.key.get(hash)?.account;
	}

	/** Returns the key that signs session tokens, as 64 hexadecimal digits. */
	getSecret(name: string): string | undefined {
		return this.#tables.secret.get(name)?.key;
	}

	/** Returns whether a group records request ids with its writes; false for an unknown group. */
	isRecordingRequestIds(name: string): boolean {
		return this.#tables.group.get(name)?.recordsRequestIds ?? false;
	}

	hasGroup(name: string): boolean {
		return this.#tables.group.has(name);
	}

	getGroupNames(): string[] {
		return [...this.#tables.group.keys()];
	}

	/** Returns the names of the VMs that count towards majorities. */
	getVoterNames(): string[] {
		return [...this.#tables.voter.keys()];
	}

	getAccountNames(): string[] {
		return [...this.#tables.account.keys()];
	}

	/** Returns the endpoints of a group, including those that are leaving. */
	getEndpoints(group: string): readonly NamedEndpoint[] {
		return this.#endpointsByGroup.get(group) ?? [];
	}

	getEndpoint(name: string): NamedEndpoint | undefined {
		const endpoint = this.#tables.endpoint.get(name);
		return endpoint && {...endpoint, name};
	}

	getAllEndpoints(): NamedEndpoint[] {
		return [...this.#tables.endpoint].map(([name, endpoint]) => ({...endpoint, name}));
	}

	/** Returns the names of the evacuated availability zones. */
	getEvacuatedZones(): string[] {
		return [...new Set([...this.#tables.endpoint.values()].filter(({evacuated}) => evacuated === true).map(({zone}) => zone))].toSorted();
	}

	/** Returns every row in its stored form, ordered by key. */
	getRows(): StoredRow[] {
		return Object.entries(this.#tables)
			.flatMap(([kind, table]) => [...table].map(([name, value]) => ({key: `${kind}/${name}`, value: JSON.stringify(value)})))
			.toSorted((a, b) => (a.key < b.key ? -1 : 1));
	}

	/**
	 * Checks rows against the schema and against the rows they refer to.
	 * @param rows - Rows of a change.
	 * @returns The parsed rows, or all errors found.
	 */
	checkRows(rows: readonly StoredRow[]): Either<string[], ParsedRow[]> {
		const parsed = rows.map(row => parseRow(row));
		const errors = Either.lefts(parsed);
		const validRows = Either.rights(parsed);
		errors.push(...this.#checkReferences(validRows));
		return errors.length > 0 ? Left(errors) : Right(validRows);
	}

	/**
	 * Applies the next change.
	 * @param change - Change whose version follows the current one.
	 * @returns The parsed rows, or the reasons why the change was not applied.
	 */
	applyChange(change: ConfigurationChange): Either<string[], ParsedRow[]> {
		if (change.version !== this.#version + 1) {
			return Left([`change ${change.version} does not follow version ${this.#version}`]);
		}

		return this.checkRows(change.rows).ifRight(rows => {
			this.#storeRows(rows);
			this.#version = change.version;
		});
	}

	/**
	 * Replaces the whole configuration with a newer snapshot.
	 * @param version - Version of the snapshot; rejected unless it is newer than the current version.
	 * @param rows - All rows at that version.
	 */
	loadSnapshot(version: number, rows: readonly StoredRow[]): Either<string[], ParsedRow[]> {
		if (version <= this.#version) {
			return Left([`snapshot ${version} is not newer than version ${this.#version}`]);
		}

		const replacement = new Configuration();
		return replacement.checkRows(rows).ifRight(parsed => {
			this.#tables = createTables();
			this.#storeRows(parsed);
			this.#version = version;
		});
	}

	#storeRows(rows: readonly ParsedRow[]): void {
		for (const row of rows) {
			const table = this.#tables[row.kind] as Map<string, unknown>;
			if (row.value === undefined) {
				table.delete(row.name);
			} else {
				table.set(row.name, row.value);
			}
		}

		if (rows.some(row => row.kind === 'endpoint')) {
			this.#indexEndpoints();
		}
	}

	#indexEndpoints(): void {
		this.#endpointsByGroup.clear();
		for (const endpoint of this.getAllEndpoints()) {
			const list = this.#endpointsByGroup.get(endpoint.group) ?? [];
			list.push(endpoint);
			this.#endpointsByGroup.set(endpoint.group, list);
		}
	}

	#checkReferences(rows: readonly ParsedRow[]): string[] {
		const changed = new Map(rows.map(row => [`${row.kind}/${row.name}`, row.value !== undefined]));
		const isKnown = (kind: 'account' | 'group', name: string) => changed.get(`${kind}/${name}`) ?? this.#tables[kind].has(name);
		const errors: string[] = [];
		for (const row of rows) {
			if (row.kind === 'key' && row.value && !isKnown('account', row.value.account)) {
				errors.push(`key/${row.name}: no client account "${row.value.account}"`);
			}

			if ((row.kind === 'endpoint' || row.kind === 'route') && row.value && !isKnown('group', row.value.group)) {
				errors.push(`${row.kind}/${row.name}: no database group "${row.value.group}"`);
			}
		}

		return errors;
	}
}
