import {type CoordinationTable} from '../ports/index.js';
import {type GatewayMetrics} from './gateway-metrics.js';

/** Wraps the store's tables so that each call is counted by its name, and each failure by its reason. */
export function countTableCalls(table: CoordinationTable, metrics: GatewayMetrics): CoordinationTable {
	const count = <Arguments extends unknown[], Result extends {readonly kind: 'ok'} | {readonly kind: 'failed'; readonly failure: {readonly reason: string}}>(name: string, call: (...arguments_: Arguments) => Promise<Result>) => async (...arguments_: Arguments): Promise<Result> => {
		metrics.addCount(`store_call_${name}`);
		const result = await call(...arguments_);
		if (result.kind === 'failed') {
			metrics.addCount(`store_failed_${name}_${result.failure.reason}`);
		}

		return result;
	};

	return {
		readSharedRows: count('read_shared', async timeoutMs => table.readSharedRows(timeoutMs)),
		writeSharedRows: count('write_shared', async (writes, timeoutMs) => table.writeSharedRows(writes, timeoutMs)),
		readInstances: count('read_instances', async timeoutMs => table.readInstances(timeoutMs)),
		readConfiguration: count('read_configuration', async timeoutMs => table.readConfiguration(timeoutMs)),
		pollConfiguration: count('poll_configuration', async (afterVersion, waitMs, timeoutMs) => table.pollConfiguration(afterVersion, waitMs, timeoutMs)),
	};
}
