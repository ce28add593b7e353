import {type EventLog} from '../observability/index.js';
import {type Instance, isInstanceUnchanged} from './instance.js';

/** Called with an instance that was added, changed (`before` and `after`) or removed. */
export type InstanceListener = (before: Instance | undefined, after: Instance | undefined) => void;

/** Knows which instances there are. */
export class InstanceRegistry {
	#instances = new Map<string, Instance>();
	readonly #listeners: InstanceListener[] = [];
	readonly #drainingSince = new Map<string, number>();
	#appliedAt: number | undefined;

	constructor(private readonly log: EventLog) {}

	/** Time of the last list, undefined before the first. */
	get appliedAt(): number | undefined {
		return this.#appliedAt;
	}

	/** Returns since when an instance is known to be draining, steady milliseconds. */
	getDrainingSince(id: string): number | undefined {
		return this.#drainingSince.get(id);
	}

	getInstance(id: string): Instance | undefined {
		return this.#instances.get(id);
	}

	getGroupInstances(group: string): Instance[] {
		return [...this.#instances.values()].filter(instance => instance.group === group);
	}

	getInstances(): Iterable<Instance> {
		return this.#instances.values();
	}

	onChanged(listener: InstanceListener): void {
		this.#listeners.push(listener);
	}

	/**
	 * Takes in the whole list; an instance that is missing from it is gone.
	 * @param now - Steady time in milliseconds.
	 */
	setInstances(instances: readonly Instance[], now: number): void {
		const before = this.#instances;
		this.#instances = new Map(instances.map(instance => [instance.id, instance]));
		this.#appliedAt = now;
		for (const instance of instances) {
			if (instance.state === 'ready') {
				// It may have started again under its former id.
				this.#drainingSince.delete(instance.id);
			} else if (!this.#drainingSince.has(instance.id)) {
				this.#drainingSince.set(instance.id, now);
			}

			const previous = before.get(instance.id);
			if (previous === undefined || !isInstanceUnchanged(previous, instance)) {
				this.#notifyListeners(previous, instance);
			}
		}

		for (const known of before.values()) {
			if (!this.#instances.has(known.id)) {
				this.#drainingSince.delete(known.id);
				this.#notifyListeners(known, undefined);
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
