import {type ClassNumbers, type QueueLoad, type SummedLoad} from '@chicorysaddle/decisions';
import {type QueueLoadMessage, type SummedLoadMessage} from '@chicorysaddle/protocol/coordination';

/** Creates the message of a queue's load. */
export function createQueueLoadMessage({group, target, waiting, placedPerS, accounts, largest}: QueueLoad): QueueLoadMessage {
	return [group, target, createNumbers(waiting), createNumbers(placedPerS), accounts, Object.fromEntries(largest)];
}

/** Parses the loads of a heartbeat; returns undefined if it has none. */
export function parseQueueLoads(messages: readonly QueueLoadMessage[] | undefined): QueueLoad[] | undefined {
	return messages?.map(message => parseQueueLoad(message));
}

/** Creates the messages of summed loads; returns undefined if there are none, so that a report without loads does not grow. */
export function createSummedLoadMessages(loads: readonly SummedLoad[]): SummedLoadMessage[] | undefined {
	return loads.length === 0 ? undefined : loads.map(load => ({load: createQueueLoadMessage(load), vms: load.vms, ageMs: load.ageMs}));
}

/** Parses the loads of a report. */
export function parseSummedLoads(messages: readonly SummedLoadMessage[] | undefined): SummedLoad[] {
	return (messages ?? []).map(({load, vms, ageMs}) => ({...parseQueueLoad(load), vms, ageMs}));
}

function parseQueueLoad([group, target, waiting, placedPerS, accounts, largest]: QueueLoadMessage): QueueLoad {
	return {
		group, target, waiting: parseNumbers(waiting), placedPerS: parseNumbers(placedPerS), accounts, largest: new Map(Object.entries(largest)),
	};
}

function createNumbers({high, normal, low}: ClassNumbers): [number, number, number] {
	return [high, normal, low];
}

function parseNumbers([high, normal, low]: readonly [number, number, number]): ClassNumbers {
	return {high, normal, low};
}
