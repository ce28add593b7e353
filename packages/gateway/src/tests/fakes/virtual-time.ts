import {mock} from 'node:test';
import {type Clock} from '../../ports/index.js';

/** Step of virtual time, milliseconds. */
const stepMs = 5;

/** Time that only moves when a test says so: timers, the steady clock and the time of day. */
export class VirtualTime implements Clock {
	#now = 0;
	#wallOffset = 1_700_000_000_000;

	constructor() {
		// A test that failed may have left them.
		mock.timers.reset();
		mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	}

	now(): number {
		return this.#now;
	}

	getWallTime(): number {
		return this.#now + this.#wallOffset;
	}

	/** Lets the time of day jump. */
	jumpWallTime(ms: number): void {
		this.#wallOffset += ms;
	}

	/** Lets time pass. */
	async advance(ms: number): Promise<void> {
		for (let passed = 0; passed < ms; passed += stepMs) {
			this.#now += stepMs;
			mock.timers.tick(stepMs);
			await flush();
		}
	}

	/** Lets time pass until something is there. */
	async waitFor<T>(promise: Promise<T>, atMostMs = 20_000): Promise<T> {
		const state = {isSettled: false};
		void (async () => {
			try {
				await promise;
			} finally {
				state.isSettled = true;
			}
		})();

		for (let passed = 0; !state.isSettled && passed < atMostMs; passed += stepMs) {
			await this.advance(stepMs);
		}

		if (!state.isSettled) {
			throw new Error(`nothing came within ${atMostMs} ms`);
		}

		return promise;
	}

	stop(): void {
		mock.timers.reset();
	}
}

/** Lets everything run that is due without time passing. */
async function flush(): Promise<void> {
	for (let turn = 0; turn < 4; turn++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
