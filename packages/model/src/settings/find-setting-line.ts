/**
 * Finds the line of a settings file that sets a key.
 * @param text - Contents of the file, in TOML.
 * @param key - Last part of the key's path.
 * @returns The line number, from one; undefined when no line sets the key.
 */
export function findSettingLine(text: string, key: string): number | undefined {
	const index = text.split('\n').findIndex(line => line.trimStart().startsWith(key) && /^\s*[\w\-]+\s*=/v.test(line));
	return key === '' || index === -1 ? undefined : index + 1;
}
