import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {
	explainRequest, formatExplainedLine, type LogLine, parseLogLine,
} from '../explain/index.js';
import {exitCodes} from './command-context.js';

async function readLines(input: NodeJS.ReadableStream): Promise<LogLine[]> {
	const lines: LogLine[] = [];
	for await (const text of createInterface({input})) {
		const line = parseLogLine(text);
		if (line !== undefined) {
			lines.push(line);
		}
	}

	return lines;
}

/**
 * Prints what led to a request's answer, from the logs of any number of VMs.
 * @param id - Id of the request or the connection.
 * @param files - Files with logs; standard input where there are none.
 */
export async function explain(id: string, files: readonly string[]): Promise<number> {
	const inputs = files.length === 0 ? [process.stdin] : files.map(file => createReadStream(file));
	const logs = await Promise.all(inputs.map(async input => readLines(input)));
	const lines = logs.flat();
	const explained = explainRequest(id, lines);
	const first = explained.find(line => line.relation === 'request');
	if (first === undefined) {
		process.stderr.write(`no line of "${id}" among ${lines.length} lines; successes are sampled, and refusals beyond a rate are counted only\n`);
		return exitCodes.bad;
	}

	process.stdout.write(`${explained.map(line => formatExplainedLine(line, first.time)).join('\n')}\n`);
	return exitCodes.done;
}
