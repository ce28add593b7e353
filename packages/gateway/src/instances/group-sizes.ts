import {type Clock} from '../ports/index.js';
import {type InstanceRegistry} from './instance-registry.js';

/** Time after which an instance that is not listed any more counts as gone for good, in milliseconds; it may return meanwhile. */
export const instanceRetentionMs = 60_000;

type GroupSize = {readonly count: number; readonly at: number};

/** Keeps the number of instances that each group has, counting those that left the list a short time ago. */
export class GroupSizes {
	/** Largest number of listed instances of each group, and when they were last seen, in milliseconds. */
	readonly #sizes = new Map<string, GroupSize>();

	constructor(private readonly instances: InstanceRegistry, private readonly clock: Clock) {
		instances.onChanged((_before, after) => {
			if (after !== undefined) {
				this.countInstances(after.group);
			}
		});
	}

	/** Returns the number of instances of a group, listed now or a short time ago. */
	countInstances(group: string): number {
		const now = this.clock.now();
		const count = [...this.instances.getGroupInstances(group)].length;
		const known = this.#sizes.get(group);
		if (known === undefined || count >= known.count || now - known.at > instanceRetentionMs) {
			this.#sizes.set(group, {count, at: now});
			return count;
		}

		return known.count;
	}
}
