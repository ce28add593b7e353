/** A decision as a VM logged it. */
export type LogLine = {
	/** Unix time in milliseconds by the VM's own clock. */
	readonly time: number;
	readonly vm: string;
	readonly event: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** Fields that every line carries and that explain nothing. */
const omittedFields = new Set(['vm', 'logLevel']);

/**
 * Reads one line of a log; what stands before the JSON object is left out.
 * @returns The decision, or undefined where the line holds none.
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
		// A line that was cut off: the others are still of use.
		return undefined;
	}
}
