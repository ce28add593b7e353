import {getEventDefinition} from '@chicorysaddle/model';
import {type LogLine} from './log-line.js';

/** A line of an explanation, with why it is there. */
export type ExplainedLine = LogLine & {
	readonly relation: 'request' | 'connection' | 'cause';
};

/** Time before the first line of a request in which a cause is looked for, milliseconds: longer than a failover. */
const causeBeforeMs = 6000;

/** Time after its last line, milliseconds: what ends the trouble tells about it, too. */
const causeAfterMs = 1500;

function isRelevant(line: LogLine, vms: ReadonlySet<string>, group: unknown): boolean {
	const event = getEventDefinition(line.event);
	if (event?.isPossibleCause !== true || (event.scope === 'vm' && !vms.has(line.vm))) {
		return false;
	}

	const lineGroup = line.fields.group;
	return lineGroup === undefined || group === undefined || lineGroup === group;
}

/** Names a connection across VMs; lines without one have nothing in common. */
function describeConnection(line: LogLine): string | undefined {
	const {connection} = line.fields;
	return typeof connection === 'string' ? `${line.vm} ${connection}` : undefined;
}

/**
 * Finds what led to a request's answer.
 * @param id - Id of a request or of a connection.
 * @param lines - Lines of any number of VMs, in any order.
 * @returns The request's lines, those of its connection, and what its VM believed around them, by time.
 */
export function explainRequest(id: string, lines: readonly LogLine[]): ExplainedLine[] {
	const own = lines.filter(line => line.fields.request === id || line.fields.connection === id);
	if (own.length === 0) {
		return [];
	}

	const vms = new Set(own.map(line => line.vm));
	const connections = new Set(own.map(line => describeConnection(line)));
	const group = own.find(line => line.fields.group !== undefined)?.fields.group;
	const times = own.map(line => line.time);
	const from = Math.min(...times) - causeBeforeMs;
	const to = Math.max(...times) + causeAfterMs;
	return lines.flatMap<ExplainedLine>(line => {
		if (own.includes(line)) {
			return [{...line, relation: 'request'}];
		}

		if (line.time < from || line.time > to) {
			return [];
		}

		const connection = describeConnection(line);
		if (connection !== undefined && connections.has(connection)) {
			return [{...line, relation: 'connection'}];
		}

		return isRelevant(line, vms, group) ? [{...line, relation: 'cause'}] : [];
	}).toSorted((a, b) => a.time - b.time);
}

/** Writes a line of an explanation, with its time after the request's first line. */
export function formatExplainedLine(line: ExplainedLine, startedAt: number): string {
	const seconds = ((line.time - startedAt) / 1000).toFixed(3);
	const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ');
	return `${seconds.padStart(8)} s  ${line.relation.padEnd(10)}  ${line.vm}  ${line.event}  ${fields}`;
}
