import {getEventDefinition} from '@chicorysaddle/model';
import {type LogLine} from './log-line.js';

/** A log line of an explanation, and how it relates to the request. */
export type ExplanationLine = LogLine & {
	readonly relation: 'request' | 'connection' | 'cause';
};

/** Time before the first line of a request in which causes are searched, in milliseconds; longer than a failover. */
const causeLookbackMs = 6000;

/** Time after the last line in which causes are searched, in milliseconds; the end of a fault also helps to explain the response. */
const causeLookaheadMs = 1500;

function isPossibleCause(line: LogLine, vms: ReadonlySet<string>, group: unknown): boolean {
	const event = getEventDefinition(line.event);
	if (event?.isPossibleCause !== true || (event.scope === 'vm' && !vms.has(line.vm))) {
		return false;
	}

	const lineGroup = line.fields.group;
	return lineGroup === undefined || group === undefined || lineGroup === group;
}

/** Returns a key of a line's connection that is unique over all VMs, or undefined for a line without a connection. */
function getConnectionKey(line: LogLine): string | undefined {
	const {connection} = line.fields;
	return typeof connection === 'string' ? `${line.vm} ${connection}` : undefined;
}

/**
 * Finds the log lines that explain how a request was answered.
 * @param id - Id of a request or of a connection.
 * @param lines - Log lines of any number of VMs, in any order.
 * @returns The lines of the request and of its connection, and the possible causes near them, ordered by time; empty when the id has no line.
 */
export function explainRequest(id: string, lines: readonly LogLine[]): ExplanationLine[] {
	const requestLines = lines.filter(line => line.fields.request === id || line.fields.connection === id);
	if (requestLines.length === 0) {
		return [];
	}

	const vms = new Set(requestLines.map(line => line.vm));
	const connections = new Set(requestLines.map(line => getConnectionKey(line)));
	const group = requestLines.find(line => line.fields.group !== undefined)?.fields.group;
	const times = requestLines.map(line => line.time);
	const windowStart = Math.min(...times) - causeLookbackMs;
	const windowEnd = Math.max(...times) + causeLookaheadMs;
	return lines.flatMap<ExplanationLine>(line => {
		if (requestLines.includes(line)) {
			return [{...line, relation: 'request'}];
		}

		if (line.time < windowStart || line.time > windowEnd) {
			return [];
		}

		const connection = getConnectionKey(line);
		if (connection !== undefined && connections.has(connection)) {
			return [{...line, relation: 'connection'}];
		}

		return isPossibleCause(line, vms, group) ? [{...line, relation: 'cause'}] : [];
	}).toSorted((a, b) => a.time - b.time);
}

/**
 * Formats a line of an explanation.
 * @param startTime - Unix time in milliseconds that the printed time is relative to.
 */
export function formatExplanationLine(line: ExplanationLine, startTime: number): string {
	const seconds = ((line.time - startTime) / 1000).toFixed(3);
	const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ');
	return `${seconds.padStart(8)} s  ${line.relation.padEnd(10)}  ${line.vm}  ${line.event}  ${fields}`;
}
