import {type EventLog} from '../observability/index.js';
import {type Instance, isInstanceUnchanged} from './instance.js';

/** Called for each instance that was added (`before` is undefined), changed, or removed (`after` is undefined). */
export type InstanceListener = (before: Instance | undefined, after: Instance | undefined) => void;

/** Registered database instances, by id. */
export class InstanceRegistry {
	#instances = new Map<string, Instance>();
	readonly #listeners: InstanceListener[] = [];
	readonly #drainingSince = new Map<string, number>();
	#appliedAt: number | undefined;

	constructor(private readonly log: EventLog) {}

	/** Monotonic time of the last update, in milliseconds; undefined before the first. */
	get appliedAt(): number | undefined {
		return this.#appliedAt;
	}

	/** Returns the monotonic time at which an instance was first seen draining, in milliseconds; undefined if it is not draining. */
	getDrainingSince(id: string): number | undefined {
		return this.#drainingSince.get(id);
	}

	/** Returns the instance with an id, undefined if there is none. */
	getInstance(id: string): Instance | undefined {
		return this.#instances.get(id);
	}

	/** Returns the instances of a group. */
	getGroupInstances(group: string): Instance[] {
		return [...this.#instances.values()].filter(instance => instance.group === group);
	}

	/** Returns all instances. */
	getInstances(): Iterable<Instance> {
		return this.#instances.values();
	}

	/** Adds a listener for added, changed and removed instances. */
	onChanged(listener: InstanceListener): void {
		this.#listeners.push(listener);
	}

	/**
	 * Replaces the list of instances and notifies listeners of each difference; a missing instance counts as removed.
	 * @param now - Monotonic time, in milliseconds.
	 */
	setInstances(instances: readonly Instance[], now: number): void {
		const before = this.#instances;
		this.#instances = new Map(instances.map(instance => [instance.id, instance]));
		this.#appliedAt = now;
		for (const instance of instances) {
			if (instance.state === 'ready') {
				// The instance may have restarted under the same id.
				this.#drainingSince.delete(instance.id);
			} else if (!this.#drainingSince.has(instance.id)) {
				this.#drainingSince.set(instance.id, now);
			}

			const previous = before.get(instance.id);
			if (previous === undefined || !isInstanceUnchanged(previous, instance)) {
				this.#notifyListeners(previous, instance);
			}
		}

		for (const removed of before.values()) {
			if (!this.#instances.has(removed.id)) {
				this.#drainingSince.delete(removed.id);
				this.#notifyListeners(removed, undefined);
			}
		}
	}

	#notifyListeners(before: Instance | undefined, after: Instance | undefined): void {
		const instance = (after ?? before)!;
		this.log.logEvent('instance.changed', {
			instance: instance.id, group: instance.group, address: instance.address, state: after?.state ?? 'gone', role: instance.reportedRole, bornMs: instance.bornMs,
		});
		for (const listener of this.#listeners) {
			listener(before, after);
		}
	}
}
