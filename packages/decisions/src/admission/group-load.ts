import {type QueueTarget, type SummedLoad} from './queue-load.js';

/** Age at which a load no longer counts, in milliseconds: three heartbeats. */
export const loadLifetimeMs = 1200;

/** Age up to which a load counts in full, in milliseconds: a heartbeat and a report of an unhindered coordinator. */
const fullAgeMs = 800;

/** What a VM knows of the load of the groups on all VMs; each sum decays to nothing with its age. */
export class GroupLoad {
	readonly #loads = new Map<string, {readonly load: SummedLoad; readonly observedAt: number}>();

	/**
	 * Sets the loads of all queues; one that is not listed has none.
	 * @param sentAt - Monotonic time to which the ages of the loads refer, in milliseconds.
	 */
	setLoads(loads: readonly SummedLoad[], sentAt: number): void {
		this.#loads.clear();
		for (const load of loads) {
			this.#loads.set(`${load.target} ${load.group}`, {load, observedAt: sentAt - Math.max(0, load.ageMs)});
		}
	}

	/** Removes the load of a queue, because it no longer says anything about the present. */
	removeLoad(group: string, target: QueueTarget): void {
		this.#loads.delete(`${target} ${group}`);
	}

	/** Returns the groups of which a load is known. */
	getGroups(): Set<string> {
		return new Set([...this.#loads.values()].map(({load}) => load.group));
	}

	/** Returns the load of a queue with the waiting requests that still count at its age, undefined if there is none. */
	getLoad(group: string, target: QueueTarget, now: number): SummedLoad | undefined {
		const entry = this.#loads.get(`${target} ${group}`);
		if (entry === undefined) {
			return undefined;
		}

		const ageMs = now - entry.observedAt;
		if (ageMs >= loadLifetimeMs) {
			return undefined;
		}

		const fraction = Math.min(1, (loadLifetimeMs - ageMs) / (loadLifetimeMs - fullAgeMs));
		const {waiting} = entry.load;
		return {...entry.load, waiting: {high: waiting.high * fraction, normal: waiting.normal * fraction, low: waiting.low * fraction}};
	}
}
