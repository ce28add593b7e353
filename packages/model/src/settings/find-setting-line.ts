/**
 * Finds where a key is set in a file of settings.
 * @param text - Contents of the file, TOML.
 * @param key - Last part of the key's path.
 * @returns The line counted from one, undefined when the key is not there.
 */
export function findSettingLine(text: string, key: string): number | undefined {
	const index = text.split('\n').findIndex(line => line.trimStart().startsWith(key) && /^\s*[\w\-]+\s*=/v.test(line));
	return key === '' || index === -1 ? undefined : index + 1;
}
