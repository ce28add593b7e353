import {type ConfigurationView} from '../configuration/index.js';
import {type InstanceRegistry, type LogHolderRegistry} from '../instances/index.js';
import {type Clock} from '../ports/index.js';
import {type InstanceStatusReader} from '../positions/index.js';
import {type CoordinatorLease} from './coordinator-lease.js';
import {
	createHoldersWrite, getHoldersKey, type HoldersContent, type HoldersRow, maxRowsPerWrite, type SharedState,
} from './shared-rows.js';

/** Time after a failed write before the next one, in milliseconds. */
const retryDelayMs = 1000;

/** Interval at which instances that have stated nothing yet are asked, in milliseconds. */
const confirmationIntervalMs = 1000;

/** Dependencies of a `LogHolderWriter`. */
export type LogHolderWriterDependencies = {
	readonly coordinatorLease: CoordinatorLease;
	readonly configuration: ConfigurationView;
	readonly instances: InstanceRegistry;
	readonly logHolders: LogHolderRegistry;
	readonly statusReader: InstanceStatusReader;
	readonly clock: Clock;
};

/** Keeps the rows that name the instances which may hold acknowledged commits, for a coordinator that has not seen them; only groups whose commits are acknowledged by replicas have one. */
export class LogHolderWriter {
	/** Rows as this VM read or wrote them last, by group. */
	#rows: ReadonlyMap<string, HoldersRow> = new Map();
	#isWriting = false;
	#failedAt = Number.NEGATIVE_INFINITY;
	#confirmedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly dependencies: LogHolderWriterDependencies) {
		dependencies.coordinatorLease.onReadBack(state => {
			this.recordRows(state);
		});
	}

	/** Records the rows as they are in the store, and the instances that they name. */
	recordRows({holders}: SharedState): void {
		this.#rows = holders;
		for (const [group, {content}] of holders) {
			if (content !== undefined) {
				this.dependencies.logHolders.addKnown(group, content.instances);
			}
		}
	}

	/** Asks the instances that have joined for their status, since an entry may be that of another writer; only the coordinator may call this. */
	async confirmIfDue(): Promise<void> {
		const {clock, configuration, logHolders, statusReader} = this.dependencies;
		if (clock.now() - this.#confirmedAt < confirmationIntervalMs) {
			return;
		}

		this.#confirmedAt = clock.now();
		const unconfirmed = [...configuration.getGroups()].flatMap(({name, syncReplicas = 0}) => syncReplicas === 0 ? [] : logHolders.getUnconfirmed(name));
		for (const {instance} of await statusReader.readStatuses(unconfirmed)) {
			logHolders.confirmInstance(instance.id);
		}
	}

	/** Writes the rows of the groups whose instances have changed; only the coordinator may call this. */
	async writeIfChanged(): Promise<void> {
		const {clock, coordinatorLease, instances} = this.dependencies;
		if (this.#isWriting || !coordinatorLease.isHeld() || instances.appliedAt === undefined || clock.now() - this.#failedAt < retryDelayMs) {
			return;
		}

		const changed = this.#findChanged().slice(0, maxRowsPerWrite);
		if (changed.length === 0) {
			return;
		}

		this.#isWriting = true;
		try {
			await this.#write(changed);
		} finally {
			this.#isWriting = false;
		}
	}

	#findChanged(): Array<readonly [string, HoldersContent]> {
		const {configuration, logHolders} = this.dependencies;
		return [...configuration.getGroups()].flatMap(({name, syncReplicas = 0}) => {
			const holders = syncReplicas === 0 ? [] : logHolders.getHolders(name).filter(({departure}) => departure !== 'restarted');
			const content = {instances: holders.map(({id, address, coveringPosition}) => ({id, address, coveringPosition})).toSorted((a, b) => a.id < b.id ? -1 : 1)};
			const isWritten = JSON.stringify(content) === JSON.stringify(this.#rows.get(name)?.content);
			return holders.length === 0 || isWritten ? [] : [[name, content] as const];
		});
	}

	async #write(changed: ReadonlyArray<readonly [string, HoldersContent]>): Promise<void> {
		const writes = changed.map(([group, content]) => createHoldersWrite(group, content, this.#rows.get(group)?.version ?? 0));
		const versions = await this.dependencies.coordinatorLease.writeRowsIfHeld(writes);
		if (versions === undefined) {
			this.#failedAt = this.dependencies.clock.now();
			return;
		}

		for (const [group, {instances}] of changed) {
			this.dependencies.logHolders.addKnown(group, instances);
		}

		this.#rows = new Map([...this.#rows, ...changed.map(([group, content]) => [group, {content, version: versions.get(getHoldersKey(group))!}] as const)]);
	}
}
