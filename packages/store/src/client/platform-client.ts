import {type Client, createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {
	type Either, EitherAsync, Just, type Maybe, Nothing,
} from 'purify-ts';
import {type Refusal, refusals} from '@chicorysaddle/model';
import {ObjectService, TableService, VmListService} from '@chicorysaddle/protocol';
import {
	type CompareAndSetResult, type ConditionalWrite, type ListedVm, type ObjectStore, type Table, type TableRow, type VmList,
} from '../ports/index.js';
import {createHttp2SessionOptions} from './http2-session-options.js';

/** Options of a platform client. */
export type PlatformClientOptions = {
	/** Address of the platform as host:port. */
	readonly address: string;
	/** Timeout of a call, in milliseconds. */
	readonly timeoutMs: number;
	/** Source IP address of connections; undefined leaves the choice to the operating system. */
	readonly sourceAddress?: string | undefined;
};

/** Numbers of calls to the platform by operation, and of those that failed. */
export type PlatformCounters = {
	reads: number;
	writes: number;
	objectReads: number;
	objectWrites: number;
	listReads: number;
	failures: number;
};

/** Client of the platform's table, object store and VM list. */
export class PlatformClient implements Table, ObjectStore, VmList {
	readonly counters: PlatformCounters = {
		reads: 0, writes: 0, objectReads: 0, objectWrites: 0, listReads: 0, failures: 0,
	};

	readonly #table: Client<typeof TableService>;
	readonly #objects: Client<typeof ObjectService>;
	readonly #vmList: Client<typeof VmListService>;

	readonly #sessions: Http2SessionManager;

	constructor(private readonly options: PlatformClientOptions) {
		const baseUrl = `http://${options.address}`;
		const sessionOptions = createHttp2SessionOptions(options.sourceAddress);
		this.#sessions = new Http2SessionManager(baseUrl, {}, sessionOptions);
		const transport = createConnectTransport({
			baseUrl, httpVersion: '2', useBinaryFormat: true, sessionManager: this.#sessions,
		});
		this.#table = createClient(TableService, transport);
		this.#objects = createClient(ObjectService, transport);
		this.#vmList = createClient(VmListService, transport);
	}

	async readRows(keys: readonly string[]): Promise<Either<Refusal, TableRow[]>> {
		this.counters.reads += 1;
		return this.#call(async timeout => {
			const response = await this.#table.read({keys: [...keys]}, timeout);
			return response.rows.map(row => ({key: row.key, version: Number(row.version), value: row.value}));
		});
	}

	async compareAndSet(writes: readonly ConditionalWrite[]): Promise<Either<Refusal, CompareAndSetResult>> {
		this.counters.writes += 1;
		const rows = writes.map(write => ({key: write.key, expectedVersion: BigInt(write.expectedVersion), value: write.value}));
		return this.#call(async timeout => {
			const response = await this.#table.compareAndSet({writes: rows}, timeout);
			return {applied: response.applied, conflictingKey: response.conflictingKey};
		});
	}

	async writeObject(key: string, body: Uint8Array): Promise<Either<Refusal, void>> {
		this.counters.objectWrites += 1;
		return this.#call(async timeout => {
			await this.#objects.put({key, body}, timeout);
		});
	}

	async readObject(key: string): Promise<Either<Refusal, Maybe<Uint8Array>>> {
		this.counters.objectReads += 1;
		return this.#call(async timeout => {
			const response = await this.#objects.get({key}, timeout);
			return response.found ? Just(response.body) : (Nothing);
		});
	}

	async listVms(): Promise<Either<Refusal, ListedVm[]>> {
		this.counters.listReads += 1;
		return this.#call(async timeout => {
			const response = await this.#vmList.list({}, timeout);
			return response.vms.map(vm => ({
				name: vm.name, address: vm.address, zone: vm.zone, state: vm.state === 'leaving' ? 'leaving' : 'live',
			}));
		});
	}

	/** Closes the connection. */
	close(): void {
		this.#sessions.abort();
	}

	async #call<T>(send: (options: {timeoutMs: number}) => Promise<T>): Promise<Either<Refusal, T>> {
		const result = await EitherAsync(async () => send({timeoutMs: this.options.timeoutMs})).run();
		return result.mapLeft(error => {
			this.counters.failures += 1;
			return refusals.storeUnavailable(error instanceof Error ? error.message : String(error));
		});
	}
}
