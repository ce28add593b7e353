import {type CoordinationStore, type StoreResult} from '../ports/index.js';
import {type BackgroundTasks} from './background-tasks.js';

/** Wraps a store so that an error of its client is a failure of the call, which may have had an effect. */
export function createContainedStore(store: CoordinationStore, tasks: BackgroundTasks): CoordinationStore {
	const contain = async <T>(call: () => Promise<StoreResult<T>>): Promise<StoreResult<T>> => {
		try {
			return await call();
		} catch (error) {
			tasks.recordFailure('store call', error);
			return {kind: 'failed', failure: {reason: 'lost', message: 'the call caused an error'}};
		}
	};

	return {
		get era() {
			return store.era;
		},
		get restoreCount() {
			return store.restoreCount;
		},
		readSharedRows: async timeoutMs => contain(async () => store.readSharedRows(timeoutMs)),
		writeSharedRows: async (writes, timeoutMs) => contain(async () => store.writeSharedRows(writes, timeoutMs)),
		readInstances: async timeoutMs => contain(async () => store.readInstances(timeoutMs)),
		readConfiguration: async (timeoutMs, onProgress) => contain(async () => store.readConfiguration(timeoutMs, onProgress)),
		pollConfiguration: async (afterVersion, waitMs, timeoutMs, onProgress) => contain(async () => store.pollConfiguration(afterVersion, waitMs, timeoutMs, onProgress)),
	};
}
