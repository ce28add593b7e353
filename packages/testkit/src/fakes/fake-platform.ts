import {createServer, type Http2Server} from 'node:http2';
import {type AddressInfo} from 'node:net';
import {
	Code, ConnectError, createContextKey, createContextValues,
} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {
	type CompareAndSetRequest, ObjectService, type ReadRequest, TableService, VmListService,
} from '@chicorysaddle/protocol';
import {type ListedVm} from '@chicorysaddle/store';

const sourceAddressKey = createContextKey<string>('', {description: 'source address'});

/** In-memory platform services (table, object store and VM list) with injectable faults. */
export class FakePlatform {
	/** Whether the table and the object store are unavailable. */
	isDown = false;
	/** Delay of each response of the table and the object store, in milliseconds. */
	responseDelayMs = 2;
	/** Returns whether the response to a table write is lost after the write was applied. */
	isWriteResponseLost: () => boolean = () => false;
	/** Source addresses for which the table and the object store are unavailable. */
	readonly blockedSources = new Set<string>();
	/** Returns the VM list for a source address. */
	listVms: (source: string) => ListedVm[] = () => [];
	/** Number of table operations received. */
	readonly counters = {reads: 0, writes: 0};
	readonly #rows = new Map<string, {version: number; value: string}>();
	readonly #objects = new Map<string, Uint8Array>();
	#server: Http2Server | undefined;

	get port(): number {
		return (this.#server!.address() as AddressInfo).port;
	}

	async start(): Promise<void> {
		const adapter = connectNodeAdapter({
			routes: router => {
				router.service(TableService, {
					read: async (request, context) => {
						this.counters.reads += 1;
						await this.#injectFaults(context.values.get(sourceAddressKey));
						return this.#read(request);
					},
					compareAndSet: async (request, context) => {
						this.counters.writes += 1;
						await this.#injectFaults(context.values.get(sourceAddressKey));
						const response = this.#compareAndSet(request);
						if (this.isWriteResponseLost()) {
							throw new ConnectError('injected fault: the write was applied but its response is lost', Code.Unavailable);
						}

						return response;
					},
				});
				router.service(ObjectService, {
					put: async (request, context) => {
						await this.#injectFaults(context.values.get(sourceAddressKey));
						this.#objects.set(request.key, request.body);
						return {};
					},
					get: async (request, context) => {
						await this.#injectFaults(context.values.get(sourceAddressKey));
						const body = this.#objects.get(request.key);
						return {found: body !== undefined, body: body ?? new Uint8Array()};
					},
				});
				router.service(VmListService, {list: (_request, context) => ({vms: this.listVms(context.values.get(sourceAddressKey))})});
			},
			contextValues: request => createContextValues().set(sourceAddressKey, request.socket.remoteAddress ?? ''),
		});
		this.#server = createServer(adapter);
		await new Promise<void>(resolve => {
			this.#server!.listen(0, '127.0.0.1', resolve);
		});
	}

	stop(): void {
		this.#server?.close();
	}

	async #injectFaults(source: string): Promise<void> {
		await new Promise(resolve => {
			setTimeout(resolve, this.responseDelayMs);
		});
		if (this.isDown || this.blockedSources.has(source)) {
			throw new ConnectError('injected fault: the store is unavailable', Code.Unavailable);
		}
	}

	#read(request: ReadRequest): {rows: Array<{key: string; version: bigint; value: string}>} {
		return {
			rows: request.keys.map(key => {
				const row = this.#rows.get(key);
				return {key, version: BigInt(row?.version ?? 0), value: row?.value ?? ''};
			}),
		};
	}

	#compareAndSet(request: CompareAndSetRequest): {applied: boolean; conflictingKey: string} {
		const conflict = request.writes.find(write => (this.#rows.get(write.key)?.version ?? 0) !== Number(write.expectedVersion));
		if (conflict !== undefined) {
			return {applied: false, conflictingKey: conflict.key};
		}

		for (const write of request.writes) {
			this.#rows.set(write.key, {version: Number(write.expectedVersion) + 1, value: write.value});
		}

		return {applied: true, conflictingKey: ''};
	}
}
