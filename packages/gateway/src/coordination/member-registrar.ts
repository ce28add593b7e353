import {type EventLog} from '../observability/index.js';
import {type Clock, type CoordinationStore, type SharedRowWrite} from '../ports/index.js';
import {type BackgroundTasks} from '../tasks/index.js';
import {type Coordinator} from './coordinator.js';
import {type CoordinatorLease} from './coordinator-lease.js';
import {
	createMemberWrite, getMemberKey, getRegistrations, maxRowsPerWrite, parseSharedRows, type Registration,
} from './shared-rows.js';

/** Time without a heartbeat after which a VM's row is removed, in milliseconds. */
const memberTimeoutMs = 20_000;

/** Interval between two checks of the member rows, in milliseconds. */
const checkIntervalMs = 5000;

/** Interval between two checks while VMs are connected that are not registered, in milliseconds. */
const registrationIntervalMs = 1000;

/** Timeout of a read of the shared rows, in milliseconds. */
const readTimeoutMs = 800;

/** Dependencies of a `MemberRegistrar`. */
export type MemberRegistrarDependencies = {
	readonly coordinatorLease: CoordinatorLease;
	readonly coordinator: Coordinator;
	readonly store: CoordinationStore;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly tasks: BackgroundTasks;
};

/** Keeps the member rows of the store in line with the VMs that the coordinator hears: registers connected ones and removes silent ones. */
export class MemberRegistrar {
	#checkedAt = Number.NEGATIVE_INFINITY;
	#checkCount = 0;

	constructor(private readonly dependencies: MemberRegistrarDependencies) {}

	/** Number of checks that were completed. */
	get checkCount(): number {
		return this.#checkCount;
	}

	/** Checks the rows if that is due; only the coordinator may call this. */
	checkIfDue(): void {
		const {clock, coordinator} = this.dependencies;
		const elapsedMs = clock.now() - this.#checkedAt;
		if (elapsedMs > checkIntervalMs || (elapsedMs > registrationIntervalMs && coordinator.getUnregisteredMembers().length > 0)) {
			this.#checkedAt = clock.now();
			this.dependencies.tasks.run('registration', async () => this.#check());
		}
	}

	/** Makes the next check due at once. */
	requireCheck(): void {
		this.#checkedAt = Number.NEGATIVE_INFINITY;
	}

	async #check(): Promise<void> {
		const {store, coordinator, log} = this.dependencies;
		const result = await store.readSharedRows(readTimeoutMs);
		if (result.kind === 'failed') {
			return;
		}

		const registrations = getRegistrations(parseSharedRows(result.value, log));
		coordinator.setRegisteredMembers(registrations);
		await this.#registerConnected(registrations);
		await this.#removeSilent(registrations);
		this.#checkCount += 1;
	}

	async #registerConnected(rows: ReadonlyMap<string, Registration>): Promise<void> {
		const writes = this.dependencies.coordinator.getUnregisteredMembers().map(({vm, content}) => createMemberWrite(vm, content, rows.get(vm)?.version ?? 0));
		await this.#writeInBatches(writes, (batch, version) => {
			this.dependencies.log.logEvent('members.registered', {count: batch.length, version});
		});
	}

	async #removeSilent(rows: ReadonlyMap<string, Registration>): Promise<void> {
		const {coordinator, log} = this.dependencies;
		const silentVms = coordinator.getSilentVms(memberTimeoutMs);
		for (const vm of silentVms.filter(name => !rows.has(name))) {
			coordinator.removeMember(vm);
		}

		const silentRows = silentVms.flatMap(vm => rows.get(vm) ?? []);
		const writes = silentRows.map(({vm, version}) => ({key: getMemberKey(vm), expectedVersion: version, value: undefined}));
		await this.#writeInBatches(writes, batch => {
			for (const {vm} of silentRows.filter(row => batch.some(write => write.key === getMemberKey(row.vm)))) {
				log.logEvent('member.removed', {member: vm, silentMs: memberTimeoutMs});
				coordinator.removeMember(vm);
			}
		});
	}

	async #writeInBatches(writes: readonly SharedRowWrite[], onWritten: (batch: readonly SharedRowWrite[], version: number) => void): Promise<void> {
		for (let start = 0; start < writes.length; start += maxRowsPerWrite) {
			const batch = writes.slice(start, start + maxRowsPerWrite);
			const versions = await this.dependencies.coordinatorLease.writeRowsIfHeld(batch);
			if (versions === undefined) {
				return;
			}

			onWritten(batch, Math.max(...versions.values()));
		}
	}
}
