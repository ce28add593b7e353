import {type FakeInstance} from '../fakes/fake-database.js';
import {
	createConfiguration, statements, TestCluster, type TestCaller,
} from '../fakes/test-cluster.js';

/** Time without a heartbeat after which an entry lapses, in milliseconds. */
const entryTimeoutMs = 3600;

/** A cluster whose commits are acknowledged once one replica has received them, with callers that write all the time. */
export class SynchronousCluster {
	readonly cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	readonly acknowledged = new Set<string>();
	#isStopped = false;
	#isPaused = false;
	#writers: Array<Promise<void>> = [];

	get database() {
		return this.cluster.database;
	}

	/** The primary, the replica that receives every commit, and the other one. */
	get instances(): readonly [FakeInstance, FakeInstance, FakeInstance] {
		const [primary, synchronized, lagging] = this.database.instances;
		return [primary!, synchronized!, lagging!];
	}

	async start(syncReplicas = 1): Promise<void> {
		Object.assign(this.database.options, {
			promoteMs: 600, stepDownMs: 1000, lagMs: 5, syncReplicas,
		});
		await this.cluster.start(createConfiguration(1, {groups: [{name: 'db', maxConnections: 30, syncReplicas}]}));
		this.#writers = ['vm1', 'vm2', 'vm3'].map(async vm => this.#write(vm));
		await this.cluster.time.advance(1000);
	}

	/** Writes the entries of the running instances that reach the store. */
	list(isListed: (instance: FakeInstance) => boolean = () => true): void {
		const {database, store} = this.cluster;
		const listed = new Set(database.instances.filter(instance => isListed(instance)).map(({id}) => id));
		store.instances = database.createInstances().filter(({id}) => listed.has(id));
	}

	/** Makes one replica deaf, so that from now on only the other one makes commits acknowledged. */
	async loseLagging(): Promise<void> {
		this.instances[2].isDeaf = true;
		await this.cluster.time.advance(1500);
	}

	/** Makes the primary and the replica that has every commit silent; lets their entries lapse, if the time is long enough for that. */
	async darkenHolders(durationMs: number): Promise<void> {
		const [primary, synchronized, lagging] = this.instances;
		primary.isDark = true;
		synchronized.isDark = true;
		await this.cluster.time.advance(Math.min(durationMs, entryTimeoutMs));
		if (durationMs > entryTimeoutMs) {
			this.list(instance => instance === lagging);
			await this.cluster.time.advance(durationMs - entryTimeoutMs);
		}
	}

	/** Ends that, after a further time. */
	async returnHolders(delayMs: number): Promise<void> {
		const [primary, synchronized] = this.instances;
		await this.cluster.time.advance(delayMs);
		primary.isDark = false;
		synchronized.isDark = false;
		this.list();
	}

	async restartVms(vms: readonly string[]): Promise<void> {
		for (const vm of vms) {
			this.cluster.killVm(vm);
		}

		for (const vm of vms) {
			await this.cluster.startVm(vm);
		}
	}

	/** Stops writing for a while. */
	pause(): void {
		this.#isPaused = true;
	}

	resume(): void {
		this.#isPaused = false;
	}

	/** Returns whether a write is acknowledged within a time. */
	async isServed(timeoutMs: number): Promise<boolean> {
		const count = this.acknowledged.size;
		const deadline = this.cluster.time.now() + timeoutMs;
		while (this.acknowledged.size === count && this.cluster.time.now() < deadline) {
			await this.cluster.time.advance(50);
		}

		return this.acknowledged.size > count;
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		await this.cluster.time.waitFor(Promise.all(this.#writers));
		this.cluster.stop();
	}

	async #write(vm: string): Promise<void> {
		while (!this.#isStopped) {
			const gateway = this.cluster.gateways.get(vm)?.gateway;
			const caller = gateway?.isReady === true && !this.#isPaused ? this.cluster.openSession(vm, 'strict') : undefined;
			await this.#writeWith(caller);
			caller?.disconnect();
			await wait(50);
		}
	}

	async #writeWith(caller: TestCaller | undefined): Promise<void> {
		for (let count = 0; count < 10 && caller?.rejection === undefined && caller?.isClosed === false && !this.#isStopped && !this.#isPaused; count++) {
			const answer = await Promise.race([caller.send(statements.write), wait(3000)]);
			if (answer?.result.kind === 'completed') {
				this.acknowledged.add(caller.requestId);
			}

			await wait(40);
		}
	}
}

async function wait(ms: number): Promise<undefined> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
	return undefined;
}
