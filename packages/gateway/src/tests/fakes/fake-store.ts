import {type GatewayConfiguration} from '../../configuration/index.js';
import {type Instance} from '../../instances/index.js';
import {
	type CoordinationStore, createStoreVersion, getEra, getVersionInEra, type ProgressHandler, type SharedRow, type SharedRowWrite, type StoreResult, type VersionedConfiguration, type WriteResult,
} from '../../ports/index.js';

/** Injected store fault: `busy` rejects calls, `silent` lets them time out, `answers-lost` applies writes but loses the responses. */
export type StoreFault = 'none' | 'busy' | 'silent' | 'answers-lost';

/** Older state of a store. */
export type StoreCopy = {readonly rows: ReadonlyMap<string, SharedRow>; readonly version: number; readonly evacuatedZones: ReadonlySet<string>};

/** In-memory store with injectable faults. */
export class FakeStore {
	readonly rows = new Map<string, SharedRow>();
	instances: Instance[] = [];
	configuration: GatewayConfiguration | undefined;
	readonly faultsByVm = new Map<string, StoreFault>();
	/** Whether `readInstances` succeeds. */
	areInstancesReadable = true;
	/** Fault for all VMs; unless `none`, it replaces those in `faultsByVm`. */
	fault: StoreFault = 'none';
	/** Zones with a row that marks them as evacuated. */
	readonly evacuatedZones = new Set<string>();
	/** Changes of those rows in this era. */
	readonly zoneChanges: Array<{readonly zone: string; readonly version: number}> = [];
	/** Returns the time after which an unanswered write is performed if its condition still holds, in milliseconds; undefined if it never is. */
	getLateMs: (writes: readonly SharedRowWrite[]) => number | undefined = () => undefined;
	version = 0;
	era = 0;
	readonly pollWaiters = new Set<() => void>();
	/** Time until a response, in milliseconds; a call that it exceeds gets none, but is performed. */
	responseDelayMs = 4;
	/** Called with the VM of each call. */
	onCall: (vm: string) => void = () => undefined;
	/** Number of chunks in which a configuration arrives. */
	chunkCount = 0;
	/** Returns the time that the next chunk takes to a VM, in milliseconds; infinite if it never arrives. */
	computeTransferMs: (vm: string) => number = () => 0;

	/** Sets the configuration and answers all waiting polls. */
	setConfiguration(configuration: GatewayConfiguration): void {
		this.version += 1;
		this.configuration = configuration;
		this.#wakePolls();
	}

	/** Writes or removes the row of an evacuated zone and answers all waiting polls. */
	setEvacuated(zone: string, isEvacuated: boolean): void {
		this.version += 1;
		if (isEvacuated) {
			this.evacuatedZones.add(zone);
		} else {
			this.evacuatedZones.delete(zone);
		}

		this.zoneChanges.push({zone, version: this.version});
		this.#wakePolls();
	}

	#wakePolls(): void {
		for (const wake of this.pollWaiters) {
			wake();
		}
	}

	/** Applies all writes, or none when a row is not at its expected version. */
	write(writes: readonly SharedRowWrite[]): WriteResult {
		if (writes.some(write => (this.rows.get(write.key)?.version ?? 0) !== write.expectedVersion)) {
			return {isApplied: false, version: 0};
		}

		this.version += 1;
		const version = createStoreVersion(this.era, this.version);
		for (const {key, value} of writes) {
			if (value === undefined) {
				this.rows.delete(key);
			} else {
				this.rows.set(key, {key, value, version});
			}
		}

		return {isApplied: true, version};
	}

	/** Writes a row without a condition, as another writer does. */
	putRow(key: string, value: string): void {
		this.version += 1;
		this.rows.set(key, {key, value, version: createStoreVersion(this.era, this.version)});
	}

	/** Takes a copy of the shared rows and the version. */
	takeCopy(): StoreCopy {
		return {rows: new Map(this.rows), version: this.version, evacuatedZones: new Set(this.evacuatedZones)};
	}

	/** Returns to an older copy, in the next era. */
	restore({rows, version, evacuatedZones}: StoreCopy): void {
		this.era += 1;
		this.version = version;
		this.rows.clear();
		this.zoneChanges.length = 0;
		this.evacuatedZones.clear();
		for (const zone of evacuatedZones) {
			this.evacuatedZones.add(zone);
		}

		for (const row of rows.values()) {
			this.rows.set(row.key, {...row, version: createStoreVersion(this.era, getVersionInEra(row.version))});
		}
	}
}

/** Store client of one VM. */
export class FakeStoreClient implements CoordinationStore {
	/** Highest era that a response stated. */
	era = 0;
	restoreCount = 0;
	#hasResponse = false;
	#isAborted = false;

	constructor(private readonly vm: string, private readonly store: FakeStore) {}

	/** Lets no further call reach the store, as the end of the process does. */
	abort(): void {
		this.#isAborted = true;
	}

	async readSharedRows(timeoutMs: number): Promise<StoreResult<readonly SharedRow[]>> {
		return this.#call(timeoutMs, () => [...this.store.rows.values()]);
	}

	async writeSharedRows(writes: readonly SharedRowWrite[], timeoutMs: number): Promise<StoreResult<WriteResult>> {
		return this.#call(timeoutMs, () => this.store.write(writes), writes);
	}

	async readInstances(timeoutMs: number): Promise<StoreResult<readonly Instance[]>> {
		return this.store.areInstancesReadable
			? this.#call(timeoutMs, () => [...this.store.instances])
			: {kind: 'failed', failure: {reason: 'busy', message: 'status 503'}};
	}

	async readConfiguration(timeoutMs: number, onProgress?: ProgressHandler): Promise<StoreResult<VersionedConfiguration>> {
		let passedMs = 0;
		for (let chunk = 0; chunk < this.store.chunkCount; chunk++) {
			const chunkMs = this.store.computeTransferMs(this.vm);
			passedMs += chunkMs;
			// A caller that observes the progress has a timeout for the time without a byte.
			if (chunkMs > timeoutMs || (onProgress === undefined && passedMs > timeoutMs)) {
				await pause(Math.min(chunkMs, timeoutMs));
				return {kind: 'failed', failure: {reason: 'lost', message: 'no answer'}};
			}

			await pause(chunkMs);
			onProgress?.(chunk + 1);
		}

		return this.#call(timeoutMs, () => ({configuration: this.store.configuration, storeVersion: createStoreVersion(this.store.era, this.store.version), evacuations: {isWhole: true, evacuated: [...this.store.evacuatedZones], ended: []}}));
	}

	async pollConfiguration(afterVersion: number, waitMs: number, timeoutMs: number, onProgress?: ProgressHandler): Promise<StoreResult<VersionedConfiguration>> {
		if (getEra(afterVersion) !== this.store.era) {
			return {kind: 'failed', failure: {reason: 'history-gone', message: 'status 410'}};
		}

		if (createStoreVersion(this.store.era, this.store.version) <= afterVersion) {
			await new Promise<void>(resolve => {
				const wake = () => {
					this.store.pollWaiters.delete(wake);
					resolve();
				};

				this.store.pollWaiters.add(wake);
				setTimeout(wake, waitMs);
			});
		}

		if (createStoreVersion(this.store.era, this.store.version) <= afterVersion) {
			return this.#call(timeoutMs, () => ({configuration: undefined, storeVersion: afterVersion, evacuations: {isWhole: false, evacuated: [], ended: []}}));
		}

		const result = await this.readConfiguration(timeoutMs, onProgress);
		if (getEra(afterVersion) !== this.store.era) {
			// The store was restored during the poll.
			return {kind: 'failed', failure: {reason: 'history-gone', message: 'status 410'}};
		}

		const changed = new Set(this.store.zoneChanges.filter(({version}) => version > getVersionInEra(afterVersion)).map(({zone}) => zone));
		const evacuated = [...changed].filter(zone => this.store.evacuatedZones.has(zone));
		const ended = [...changed].filter(zone => !this.store.evacuatedZones.has(zone));
		return result.kind === 'ok' ? {kind: 'ok', value: {...result.value, evacuations: {isWhole: false, evacuated, ended}}} : result;
	}

	async #call<T>(timeoutMs: number, operation: () => T, writes?: readonly SharedRowWrite[]): Promise<StoreResult<T>> {
		this.store.onCall(this.vm);
		if (this.#isAborted) {
			await pause(timeoutMs);
			return {kind: 'failed', failure: {reason: 'lost', message: 'no answer'}};
		}

		const fault = this.store.fault === 'none' ? this.store.faultsByVm.get(this.vm) ?? 'none' : this.store.fault;
		if (fault === 'busy') {
			return {kind: 'failed', failure: {reason: 'busy', message: 'status 503'}};
		}

		if (fault === 'answers-lost' && writes !== undefined) {
			operation();
		}

		const lateMs = fault === 'silent' && writes !== undefined ? this.store.getLateMs(writes) : undefined;
		if (lateMs !== undefined) {
			setTimeout(operation, lateMs);
		}

		if (fault === 'silent' || (fault === 'answers-lost' && writes !== undefined)) {
			await pause(timeoutMs);
			return {kind: 'failed', failure: {reason: 'lost', message: 'no answer'}};
		}

		const {responseDelayMs} = this.store;
		if (responseDelayMs > timeoutMs) {
			setTimeout(operation, responseDelayMs);
			await pause(timeoutMs);
			return {kind: 'failed', failure: {reason: 'lost', message: 'no answer'}};
		}

		await pause(responseDelayMs);
		this.restoreCount += this.#hasResponse && this.store.era > this.era ? 1 : 0;
		this.#hasResponse = true;
		this.era = this.store.era;
		return {kind: 'ok', value: operation()};
	}
}

async function pause(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
