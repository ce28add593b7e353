/** Returns the value of a name in an object that serves as a map; undefined if the object itself lacks the name, also where every object inherits a property of that name. */
export function getOwnValue<T>(map: Readonly<Record<string, T>>, name: string): T | undefined {
	return Object.hasOwn(map, name) ? map[name] : undefined;
}
