import {readFile} from 'node:fs/promises';
import {findSettingLine} from '@chicorysaddle/model';
import {type Either, Left, Right} from 'purify-ts';
import {parse, TomlError} from 'smol-toml';
import {type z} from 'zod';
import {type Settings, settingsSchema} from './settings.js';

/** Returns a colon and the line of a setting, empty if the line is not found. */
function formatLineSuffix(text: string, path: readonly PropertyKey[]): string {
	const line = findSettingLine(text, String(path.at(-1) ?? ''));
	return line === undefined ? '' : `:${line}`;
}

function formatIssue(file: string, text: string, issue: z.core.$ZodIssue): string {
	const path = issue.code === 'unrecognized_keys' ? [...issue.path, ...issue.keys] : issue.path;
	return `${file}${formatLineSuffix(text, path)}: ${path.join('.') || 'settings'}: ${issue.message}`;
}

/**
 * Parses and validates settings in TOML.
 * @param file - File name for error messages.
 * @param text - Content of the file.
 * @returns The settings, or one message per error.
 */
export function parseSettings(file: string, text: string): Either<string[], Settings> {
	try {
		const result = settingsSchema.safeParse(parse(text));
		return result.success ? Right(result.data) : Left(result.error.issues.map(issue => formatIssue(file, text, issue)));
	} catch (error) {
		if (error instanceof TomlError) {
			return Left([`${file}:${error.line}:${error.column}: ${error.message.split('\n', 1)[0] ?? ''}`]);
		}

		throw error;
	}
}

/** Reads and validates a settings file; returns one message per error. */
export async function loadSettings(file: string): Promise<Either<string[], Settings>> {
	try {
		return parseSettings(file, await readFile(file, 'utf8'));
	} catch (error) {
		return Left([`${file}: cannot be read: ${error instanceof Error ? error.message : String(error)}`]);
	}
}
