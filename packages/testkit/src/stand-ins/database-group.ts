import {type DatabaseInstance} from './database-instance.js';

const tickMs = 3;

/** A group of instances with asynchronous replication from the primary. */
export class DatabaseGroup {
	#timer: NodeJS.Timeout | undefined;

	constructor(readonly name: string, readonly instances: readonly DatabaseInstance[]) {
		instances[0]!.isPrimary = true;
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.replicate(performance.now());
		}, tickMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Returns the primary of the highest term. */
	getPrimary(): DatabaseInstance {
		return this.instances.filter(instance => instance.isPrimary).toSorted((a, b) => b.term - a.term)[0]!;
	}

	replicate(now: number): void {
		for (const replica of this.instances) {
			const source = this.#findSource(replica);
			if (source !== undefined) {
				copyLog(source, replica, now);
			}
		}
	}

	#findSource(replica: DatabaseInstance): DatabaseInstance | undefined {
		const isConnected = (instance: DatabaseInstance) => instance.health === 'up' && !instance.isCutOff;
		const source = this.instances.filter(instance => instance.isPrimary && isConnected(instance)).toSorted((a, b) => b.term - a.term)[0];
		return source === undefined || source === replica || !isConnected(replica) || source.term < replica.term ? undefined : source;
	}
}

function copyLog(source: DatabaseInstance, replica: DatabaseInstance, now: number): void {
	if (source.term > replica.term) {
		replica.fence(source.term, source.promoter);
	}

	replica.lastContactAt = now;
	let shared = replica.log.length;
	while (shared > 0 && replica.log[shared - 1]!.position.term !== source.log[shared - 1]?.position.term) {
		shared -= 1;
	}

	replica.truncate(shared);
	replica.isSynced = true;
	const visibleUntil = now - replica.lagMs;
	for (let entry = source.log[replica.log.length]; entry !== undefined && entry.writtenAt <= visibleUntil; entry = source.log[replica.log.length]) {
		replica.applyEntry(entry);
	}

	replica.syncedAt = visibleUntil;
}
