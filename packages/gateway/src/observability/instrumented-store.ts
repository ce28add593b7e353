import {type CoordinationStore} from '../ports/index.js';
import {type GatewayMetrics} from './gateway-metrics.js';

/** Wraps a store so that calls are counted by name, and failures by name and reason. */
export function createInstrumentedStore(store: CoordinationStore, metrics: GatewayMetrics): CoordinationStore {
	const instrument = <Arguments extends unknown[], Result extends {readonly kind: 'ok'} | {readonly kind: 'failed'; readonly failure: {readonly reason: string}}>(name: string, call: (...arguments_: Arguments) => Promise<Result>) => async (...arguments_: Arguments): Promise<Result> => {
		metrics.addCount(`store_call_${name}`);
		const result = await call(...arguments_);
		if (result.kind === 'failed') {
			metrics.addCount(`store_failed_${name}_${result.failure.reason}`);
		}

		return result;
	};

	return {
		get era() {
			return store.era;
		},
		get restoreCount() {
			return store.restoreCount;
		},
		readSharedRows: instrument('read_shared', async timeoutMs => store.readSharedRows(timeoutMs)),
		writeSharedRows: instrument('write_shared', async (writes, timeoutMs) => store.writeSharedRows(writes, timeoutMs)),
		readInstances: instrument('read_instances', async timeoutMs => store.readInstances(timeoutMs)),
		readConfiguration: instrument('read_configuration', async (timeoutMs, onProgress) => store.readConfiguration(timeoutMs, onProgress)),
		pollConfiguration: instrument('poll_configuration', async (afterVersion, waitMs, timeoutMs, onProgress) => store.pollConfiguration(afterVersion, waitMs, timeoutMs, onProgress)),
	};
}
