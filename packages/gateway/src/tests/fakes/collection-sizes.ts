import {Session} from 'node:inspector';

/** Own field of an object that may be private. */
type Field = readonly [name: string, value: unknown];

type PrivateProperty = {readonly name: string; readonly value?: {readonly objectId?: string}};

/** Place at which the inspector puts a value, so that the walk can follow it. */
const slot: {value: unknown} = {value: undefined};

/** Reads the private fields of objects, which reflection does not show. */
class PrivateFieldReader {
	readonly #session = new Session();

	constructor() {
		this.#session.connect();
		(globalThis as {inspectedSlot?: typeof slot}).inspectedSlot = slot;
	}

	getFields(target: unknown): Field[] {
		slot.value = target;
		const fields: Field[] = [];
		for (const {name, value} of this.#getPrivateProperties()) {
			if (value?.objectId !== undefined) {
				slot.value = undefined;
				this.#session.post('Runtime.callFunctionOn', {objectId: value.objectId, functionDeclaration: 'function () { inspectedSlot.value = this; }'});
				fields.push([name, slot.value]);
			}
		}

		this.#session.post('Runtime.releaseObjectGroup', {objectGroup: 'walk'});
		return fields;
	}

	close(): void {
		this.#session.disconnect();
		slot.value = undefined;
	}

	#getPrivateProperties(): readonly PrivateProperty[] {
		let objectId = '';
		// The session is connected to this thread, so its answers are there when a call returns.
		this.#session.post('Runtime.evaluate', {expression: 'inspectedSlot.value', objectGroup: 'walk'}, (_error, {result}) => {
			objectId = result.objectId!;
		});
		let properties: readonly PrivateProperty[] = [];
		this.#session.post('Runtime.getProperties', {objectId, ownProperties: true}, (_error, result?: {readonly privateProperties?: readonly PrivateProperty[]}) => {
			properties = result?.privateProperties ?? [];
		});
		return properties;
	}
}

/**
 * Sums the sizes of the collections that are reachable from an object, also through private fields, by their path of classes and fields.
 * @param isOutside - Returns whether an object is not followed.
 */
export function measureCollections(root: unknown, isOutside: (value: unknown) => boolean): Map<string, number> {
	const reader = new PrivateFieldReader();
	const sizes = new Map<string, number>();
	const visited = new Set<unknown>();
	const pending: Field[] = [['', root]];
	const follow = (path: string, value: unknown) => {
		if (typeof value === 'object' && value !== null && !visited.has(value) && !isOutside(value)) {
			visited.add(value);
			pending.push([path, value]);
		}
	};

	const followAll = (path: string, values: Iterable<unknown>, size: number) => {
		sizes.set(path, (sizes.get(path) ?? 0) + size);
		for (const value of values) {
			follow(`${path}[]`, value);
		}
	};

	for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
		const [path, value] = next;
		if (value instanceof Map) {
			followAll(path, [...value.keys(), ...value.values()], value.size);
		} else if (value instanceof Set) {
			followAll(path, value, value.size);
		} else if (Array.isArray(value)) {
			followAll(path, value, value.length);
		} else if (!ArrayBuffer.isView(value)) {
			const constructor = (Object.getPrototypeOf(value) as {readonly constructor: unknown} | undefined)?.constructor as {readonly name: string} | undefined ?? Object;
			const isInstance = constructor !== Object;
			const name = isInstance ? constructor.name : path;
			const properties = Object.entries(Object.getOwnPropertyDescriptors(value));
			if (!isInstance) {
				sizes.set(`${path}{}`, (sizes.get(`${path}{}`) ?? 0) + properties.length);
			}

			for (const [key, descriptor] of properties) {
				follow(isInstance ? `${name}.${key}` : `${path}{}`, descriptor.value);
			}

			for (const [key, field] of isInstance ? reader.getFields(value) : []) {
				follow(`${name}.${key}`, field);
			}
		}
	}

	reader.close();
	return sizes;
}
