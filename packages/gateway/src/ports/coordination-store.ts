import {type GatewayConfiguration} from '../configuration/index.js';
import {type Instance} from '../instances/index.js';

/** A row that the VMs share; version zero stands for an absent row. */
export type SharedRow = {
	readonly key: string;
	readonly value: string;
	readonly version: number;
};

/** A write that holds only while the row is at a version. */
export type SharedRowWrite = {
	readonly key: string;
	readonly expectedVersion: number;
	/** Absent to remove the row. */
	readonly value: string | undefined;
};

/** Why the store gave no usable answer. */
export type StoreFailure = {
	/** `busy` and `refused` mean that nothing was done; `lost` that it may have been. */
	readonly reason: 'busy' | 'refused' | 'lost' | 'history-gone' | 'invalid';
	readonly message: string;
};

/** Result of a call to the store. */
export type StoreResult<T> = {readonly kind: 'ok'; readonly value: T} | {readonly kind: 'failed'; readonly failure: StoreFailure};

/** Answer to a conditional write. */
export type WriteResult = {
	readonly isApplied: boolean;
	/** Version of the written rows when applied. */
	readonly version: number;
};

/** Rows and objects of the platform that the gateway reads and writes. */
export type CoordinationStore = {
	/** Reads all shared rows as of one moment. */
	readSharedRows(timeoutMs: number): Promise<StoreResult<readonly SharedRow[]>>;
	writeSharedRows(writes: readonly SharedRowWrite[], timeoutMs: number): Promise<StoreResult<WriteResult>>;
	readInstances(timeoutMs: number): Promise<StoreResult<readonly Instance[]>>;
	/** Reads the newest configuration with the version of the store at that moment. */
	readConfiguration(timeoutMs: number): Promise<StoreResult<VersionedConfiguration>>;
	/** Waits for a configuration newer than a version of the store; empty when the wait ended without one. */
	pollConfiguration(afterVersion: number, waitMs: number, timeoutMs: number): Promise<StoreResult<VersionedConfiguration>>;
};

/** A configuration, if there was one, and the store's version from which to go on waiting. */
export type VersionedConfiguration = {
	readonly configuration: GatewayConfiguration | undefined;
	readonly storeVersion: number;
};
