/** An event that a VM logged. */
export type LogLine = {
	/** Unix time in milliseconds, by the clock of the VM. */
	readonly time: number;
	/** Name of the VM; empty when the line does not name it. */
	readonly vm: string;
	readonly event: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** Fields that are on every line and left out of explanations. */
const omittedFields = new Set(['vm', 'logLevel']);

/**
 * Parses one line of a log; a prefix before the JSON object is ignored.
 * @returns The event, or undefined when the line holds none.
 */
export function parseLogLine(text: string): LogLine | undefined {
	const jsonStart = text.indexOf('{"context":');
	if (jsonStart === -1) {
		return undefined;
	}

	try {
		const {context, message, time} = JSON.parse(text.slice(jsonStart)) as {context: Record<string, unknown>; message: string; time: number};
		const fields = Object.fromEntries(Object.entries(context).filter(([name]) => !omittedFields.has(name)));
		return {
			time, vm: typeof context.vm === 'string' ? context.vm : '', event: message, fields,
		};
	} catch {
		// A truncated line is skipped, so that the rest of the log can be used.
		return undefined;
	}
}
