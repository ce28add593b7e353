import {type GatewayConfiguration} from '../configuration/index.js';
import {type Instance} from '../instances/index.js';
import {type StoreVersion} from './store-version.js';

/** A row shared by all VMs; version 0 denotes an absent row. */
export type SharedRow = {
	readonly key: string;
	readonly value: string;
	readonly version: StoreVersion;
};

/** A write that is applied only if the row is at the expected version. */
export type SharedRowWrite = {
	readonly key: string;
	readonly expectedVersion: StoreVersion;
	/** New value; undefined deletes the row. */
	readonly value: string | undefined;
};

/** Reason why a store call failed. */
export type StoreFailure = {
	/**
	 * `busy` and `refused` mean that the call had no effect; `lost` means that it may have had one; `doubted` means that a poll was given up because its connection may be dead.
	 * `history-gone` means that the store no longer has the changes after a version; `invalid` means an unexpected response.
	 */
	readonly reason: 'busy' | 'refused' | 'lost' | 'doubted' | 'history-gone' | 'invalid';
	readonly message: string;
};

/** Result of a store call. */
export type StoreResult<T> = {readonly kind: 'ok'; readonly value: T} | {readonly kind: 'failed'; readonly failure: StoreFailure};

/** Result of a conditional write. */
export type WriteResult = {
	/** Whether all rows were at their expected versions, so that they were written. */
	readonly isApplied: boolean;
	/** Version of the written rows, zero if the write was not applied. */
	readonly version: StoreVersion;
};

/** Called with the number of bytes of a response received so far. */
export type ProgressHandler = (receivedBytes: number) => void;

/** The platform store: shared rows, registered instances and the configuration. */
export type CoordinationStore = {
	/** Highest era of the store that a response stated; it rises when the store was restored from an older copy. */
	readonly era: number;
	/** Number of rises of the era since the first response. */
	readonly restoreCount: number;
	/** Reads a consistent snapshot of all shared rows. */
	readSharedRows(timeoutMs: number): Promise<StoreResult<readonly SharedRow[]>>;
	/** Applies all writes, or none when a row is not at its expected version. */
	writeSharedRows(writes: readonly SharedRowWrite[], timeoutMs: number): Promise<StoreResult<WriteResult>>;
	/** Reads the registered instances. */
	readInstances(timeoutMs: number): Promise<StoreResult<readonly Instance[]>>;
	/** Reads the latest configuration and the store version of that read; the timeout is the time without a byte, since a configuration may be large. */
	readConfiguration(timeoutMs: number, onProgress?: ProgressHandler): Promise<StoreResult<VersionedConfiguration>>;
	/** Long-polls for a configuration newer than a store version; the configuration is undefined if none appeared within `waitMs`. The timeout applies until the first byte of the response. */
	pollConfiguration(afterVersion: StoreVersion, waitMs: number, timeoutMs: number, onProgress?: ProgressHandler): Promise<StoreResult<VersionedConfiguration>>;
};

/** A configuration, if there is one, and the store version to continue polling from. */
export type VersionedConfiguration = {
	readonly configuration: GatewayConfiguration | undefined;
	readonly storeVersion: StoreVersion;
	/** Evacuated zones that were read together with the configuration; absent if the store has none of their rows to tell of. */
	readonly evacuations?: EvacuationRows;
};

/** Evacuated zones as read from the store: all of them, or those whose rows changed since the polled version. */
export type EvacuationRows = {
	/** Whether `evacuated` holds every evacuated zone. */
	readonly isWhole: boolean;
	readonly evacuated: readonly string[];
	/** Zones whose evacuation ended; empty in a whole reading. */
	readonly ended: readonly string[];
};
