import {type EventLog} from '../observability/index.js';
import {type Instance, isCold, isInstanceUnchanged} from './instance.js';

/** Called for each instance that was added (`before` is undefined), changed, or removed (`after` is undefined). */
export type InstanceListener = (before: Instance | undefined, after: Instance | undefined) => void;

/** Registered database instances, by id. */
export class InstanceRegistry {
	#instances = new Map<string, Instance>();
	/** Instances as they registered themselves. */
	#listed: readonly Instance[] = [];
	#evacuatedZones: ReadonlySet<string> = new Set();
	readonly #listeners: InstanceListener[] = [];
	readonly #drainingSince = new Map<string, number>();
	/** Monotonic times until which instances are cold, in milliseconds. */
	readonly #coldUntil = new Map<string, number>();
	#appliedAt: number | undefined;

	constructor(private readonly log: EventLog) {}

	/** Monotonic time of the last update, in milliseconds; undefined before the first. */
	get appliedAt(): number | undefined {
		return this.#appliedAt;
	}

	/** Returns the monotonic time at which an instance was first listed as draining, in milliseconds; undefined if it is not. */
	getDrainingSince(id: string): number | undefined {
		return this.#drainingSince.get(id);
	}

	/** Returns whether an instance is still cold. */
	isCold(id: string, now: number): boolean {
		return now < (this.#coldUntil.get(id) ?? Number.NEGATIVE_INFINITY);
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

	/** Returns all instances as they registered themselves, also those of evacuated zones, which the other methods return as draining. */
	getListedInstances(): readonly Instance[] {
		return this.#listed;
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
		this.#recordColdness(instances, now);
		this.#recordDraining(instances, now);
		this.#listed = [...instances];
		this.#appliedAt = now;
		this.#apply();
	}

	/** Sets the zones whose instances count as draining, and notifies listeners of each difference. */
	setEvacuatedZones(zones: Iterable<string>): void {
		this.#evacuatedZones = new Set(zones);
		if (this.#appliedAt !== undefined) {
			this.#apply();
		}
	}

	#apply(): void {
		const before = this.#instances;
		const instances = this.#listed.map(instance => this.#evacuatedZones.has(instance.zone) ? {...instance, state: 'draining' as const} : instance);
		this.#instances = new Map(instances.map(instance => [instance.id, instance]));
		for (const instance of instances) {
			const previous = before.get(instance.id);
			if (previous === undefined || !isInstanceUnchanged(previous, instance)) {
				this.#notifyListeners(previous, instance);
			}
		}

		for (const removed of before.values()) {
			if (!this.#instances.has(removed.id)) {
				this.#coldUntil.delete(removed.id);
				// Listeners ask whether it had drained.
				this.#notifyListeners(removed, undefined);
				this.#drainingSince.delete(removed.id);
			}
		}
	}

	#recordDraining(instances: readonly Instance[], now: number): void {
		for (const {id, state} of instances) {
			if (state === 'ready') {
				// The instance may have restarted under the same id.
				this.#drainingSince.delete(id);
			} else if (!this.#drainingSince.has(id)) {
				this.#drainingSince.set(id, now);
			}
		}
	}

	/** Records until when instances are cold. The remaining time that an entry states was true when it was written, so it counts from the first list with the entry. */
	#recordColdness(instances: readonly Instance[], now: number): void {
		const known = new Map(this.#listed.map(instance => [instance.id, instance]));
		for (const instance of instances) {
			const previous = known.get(instance.id);
			if (!isCold(instance)) {
				this.#coldUntil.delete(instance.id);
			} else if (previous?.bornMs !== instance.bornMs || previous.coldRemainingMs !== instance.coldRemainingMs) {
				this.#coldUntil.set(instance.id, now + instance.coldRemainingMs!);
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
