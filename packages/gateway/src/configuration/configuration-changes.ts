import {
	array, Codec, number, oneOf, string, tuple, unknown,
} from 'purify-ts';
import {createMapCodec, getOwnValue} from '@chicorysaddle/model';

/** Consecutive items of the former list: index of the first, and their number. */
const copiedItemsCodec = Codec.interface({copy: tuple([number, number])});

/** Items that the former list does not have. */
const addedItemsCodec = Codec.interface({add: array(unknown)});

const listChangesCodec = array(oneOf([copiedItemsCodec, addedItemsCodec]));

/** Changes between two serialized configurations: lists as segments, everything else as it is afterwards; `keys` states the order. */
const changesCodec = Codec.interface({keys: array(string), lists: createMapCodec(listChangesCodec), values: createMapCodec(unknown)});

type ListChanges = Array<{copy: [number, number]} | {add: unknown[]}>;

function createListChanges(before: readonly unknown[], after: readonly unknown[]): ListChanges {
	const indexes = new Map(before.map((item, index) => [JSON.stringify(item), index]));
	const changes: ListChanges = [];
	for (const item of after) {
		const last = changes.at(-1);
		const index = indexes.get(JSON.stringify(item));
		if (index !== undefined && last !== undefined && 'copy' in last && last.copy[0] + last.copy[1] === index) {
			last.copy[1] += 1;
		} else if (index !== undefined) {
			changes.push({copy: [index, 1]});
		} else if (last !== undefined && 'add' in last) {
			last.add.push(item);
		} else {
			changes.push({add: [item]});
		}
	}

	return changes;
}

/**
 * Creates the changes that lead from one serialized configuration to another.
 * @returns Their serialized form.
 */
export function createConfigurationChanges(before: string, after: string): string {
	const former = JSON.parse(before) as Record<string, unknown>;
	const newer = JSON.parse(after) as Record<string, unknown>;
	const lists = new Map<string, ListChanges>();
	const values = new Map<string, unknown>();
	for (const [key, value] of Object.entries(newer)) {
		const formerValue = getOwnValue(former, key);
		if (Array.isArray(value) && Array.isArray(formerValue)) {
			lists.set(key, createListChanges(formerValue, value));
		} else {
			values.set(key, value);
		}
	}

	return JSON.stringify({keys: Object.keys(newer), lists: Object.fromEntries(lists), values: Object.fromEntries(values)});
}

/**
 * Applies changes to a serialized configuration.
 * @returns The serialized configuration that results; undefined if the changes are malformed. The caller has to check its digest.
 */
export function applyConfigurationChanges(before: string, changes: string): string | undefined {
	const former = JSON.parse(before) as Record<string, unknown>;
	return changesCodec.decode(JSON.parse(changes)).map(({keys, lists, values}) => JSON.stringify(Object.fromEntries(keys.map(key => {
		const formerValue = getOwnValue(former, key);
		const items = Array.isArray(formerValue) ? formerValue as unknown[] : [];
		const list = getOwnValue(lists, key)?.flatMap(segment => 'copy' in segment ? items.slice(segment.copy[0], segment.copy[0] + segment.copy[1]) : segment.add);
		return [key, list ?? getOwnValue(values, key)];
	})))).toMaybe().extract();
}
