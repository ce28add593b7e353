import {AsyncLocalStorage} from 'node:async_hooks';
import {type TestCluster} from './test-cluster.js';

/** Suspends VMs of a cluster: their timers and messages wait until they are resumed, while the clocks go on. Ends with the virtual time of the cluster. */
export class Suspensions {
	readonly #currentVm = new AsyncLocalStorage<string>();
	/** What the suspended VMs have to do, by VM. */
	readonly #pending = new Map<string, Set<() => void>>();

	constructor(cluster: TestCluster) {
		const {setTimeout: startTimer, setInterval: startInterval, clearTimeout: stopTimer} = globalThis;
		const clearedTimers = new WeakSet();
		const wrap = (start: typeof startTimer) => (callback: () => void, ms?: number) => {
			const vm = this.#currentVm.getStore();
			if (vm === undefined) {
				return start(callback, ms);
			}

			const run = () => {
				if (!clearedTimers.has(timer)) {
					callback();
				}
			};

			const timer: NodeJS.Timeout = start(() => {
				this.#run(vm, run);
			}, ms);
			return timer;
		};

		Object.assign(globalThis, {
			setTimeout: wrap(startTimer), setInterval: wrap(startInterval as typeof startTimer), clearTimeout(timer: NodeJS.Timeout | undefined) {
				stopTimer(timer);
				if (timer !== undefined) {
					clearedTimers.add(timer);
				}
			},
		});
		cluster.network.runAt = (vm, callback) => {
			this.#run(vm, callback);
		};
	}

	/** Starts a VM that can be suspended. */
	async start(vm: string, start: () => Promise<void>): Promise<void> {
		await this.#currentVm.run(vm, start);
	}

	suspend(vm: string): void {
		this.#pending.set(vm, new Set());
	}

	resume(vm: string): void {
		const pending = this.#pending.get(vm) ?? [];
		this.#pending.delete(vm);
		for (const callback of pending) {
			this.#run(vm, callback);
		}
	}

	#run(vm: string, callback: () => void): void {
		const pending = this.#pending.get(vm);
		if (pending === undefined) {
			this.#currentVm.run(vm, callback);
		} else {
			pending.add(callback);
		}
	}
}
