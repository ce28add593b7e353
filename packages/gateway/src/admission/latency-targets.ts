import {type Priority, type QueueTarget} from '@chicorysaddle/decisions';
import {
	type ConfigurationView, type DatabaseRoute, type GatewayConfiguration, getPriorityClass,
} from '../configuration/index.js';

/** Looks up the target latencies of the routes that use a queue. */
export class LatencyTargets {
	readonly #targets = new Map<string, number | undefined>();
	#configuration: GatewayConfiguration | undefined;

	constructor(private readonly configuration: ConfigurationView) {}

	/** Returns the lowest target latency of the routes of a class that use a queue, in milliseconds; undefined if there are none. */
	getTargetMs(group: string, target: QueueTarget, priority: Priority): number | undefined {
		const {configuration} = this.configuration;
		if (configuration !== this.#configuration) {
			this.#configuration = configuration;
			this.#targets.clear();
		}

		const key = `${target} ${priority} ${group}`;
		if (!this.#targets.has(key)) {
			const routes = configuration?.routes.filter(route => route.group === group && isUsing(route, target) && getPriorityClass(route.priority) === priority) ?? [];
			this.#targets.set(key, routes.length === 0 ? undefined : Math.max(1, Math.min(...routes.map(({targetLatencyMs}) => targetLatencyMs))));
		}

		return this.#targets.get(key);
	}
}

/** Returns whether requests of a route may wait in a queue: reads that a replica may serve wait in the queue for any instance, writes in that for the primary. */
function isUsing({consistency}: DatabaseRoute, target: QueueTarget): boolean {
	return target === 'primary' || consistency !== 'primary';
}
