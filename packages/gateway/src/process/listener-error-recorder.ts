import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type Clock} from '../ports/index.js';
import {type ListenerName} from './bind-address.js';
import {formatErrorMessage} from './format-error.js';

/** Minimum time between log lines about one listener, in milliseconds. */
const logIntervalMs = 1000;

/** Dependencies of a `ListenerErrorRecorder`. */
export type ListenerErrorRecorderDependencies = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
};

/** Counts the errors of listening servers, and logs at most one of a listener a second. */
export class ListenerErrorRecorder {
	readonly #listeners = new Map<ListenerName, {loggedAt: number; count: number}>();

	constructor(private readonly dependencies: ListenerErrorRecorderDependencies) {}

	/** Records an error; the line that is logged counts those since the previous line. */
	recordError(listener: ListenerName, error: Error): void {
		const {clock, log, metrics} = this.dependencies;
		metrics.addCount('listener_errors');
		const state = this.#listeners.get(listener) ?? {loggedAt: Number.NEGATIVE_INFINITY, count: 0};
		this.#listeners.set(listener, state);
		state.count += 1;
		if (clock.now() - state.loggedAt >= logIntervalMs) {
			log.logEvent('listener.failed', {listener, count: state.count, error: formatErrorMessage(error)});
			state.loggedAt = clock.now();
			state.count = 0;
		}
	}
}
