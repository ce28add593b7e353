/** Formats a thrown value for the log, with its stack if it has one; never throws. */
export function formatError(error: unknown): string {
	try {
		return error instanceof Error ? error.stack ?? error.message : String(error);
	} catch {
		return 'an error that cannot be formatted';
	}
}

/** Formats a thrown value as one line without its stack; never throws. */
export function formatErrorMessage(error: unknown): string {
	try {
		return error instanceof Error ? error.message : String(error);
	} catch {
		return 'an error that cannot be formatted';
	}
}
