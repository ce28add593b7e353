import {type FakeInstance} from './fake-instance.js';

const replicationIntervalMs = 3;

/** Group of fake instances with asynchronous replication from the primary, which is the first instance at the start. */
export class FakeGroup {
	#timer: NodeJS.Timeout | undefined;

	constructor(readonly name: string, readonly instances: readonly FakeInstance[]) {
		instances[0]!.isPrimary = true;
	}

	/** Starts replication. */
	start(): void {
		this.#timer = setInterval(() => {
			this.replicate(performance.now());
		}, replicationIntervalMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Returns the primary with the highest term. */
	getPrimary(): FakeInstance {
		return this.instances.filter(instance => instance.isPrimary).toSorted((a, b) => b.term - a.term)[0]!;
	}

	/** Copies the log of the primary to every connected replica. */
	replicate(now: number): void {
		for (const replica of this.instances) {
			const source = this.#findReplicationSource(replica);
			if (source !== undefined) {
				replicateLog(source, replica, now);
			}
		}
	}

	#findReplicationSource(replica: FakeInstance): FakeInstance | undefined {
		const isConnected = (instance: FakeInstance) => instance.health === 'up' && !instance.isIsolated;
		const source = this.instances.filter(instance => instance.isPrimary && isConnected(instance)).toSorted((a, b) => b.term - a.term)[0];
		return source === undefined || source === replica || !isConnected(replica) || source.term < replica.term ? undefined : source;
	}
}

function replicateLog(source: FakeInstance, replica: FakeInstance, now: number): void {
	if (source.term > replica.term) {
		replica.fence(source.term, source.promoter);
	}

	replica.lastPrimaryContactAt = now;
	let commonLength = replica.log.length;
	while (commonLength > 0 && replica.log[commonLength - 1]!.position.term !== source.log[commonLength - 1]?.position.term) {
		commonLength -= 1;
	}

	replica.truncateLog(commonLength);
	replica.isSynced = true;
	const visibleUntil = now - replica.lagMs;
	for (let entry = source.log[replica.log.length]; entry !== undefined && entry.writtenAt <= visibleUntil; entry = source.log[replica.log.length]) {
		replica.applyEntry(entry);
	}

	replica.syncedAt = visibleUntil;
}
