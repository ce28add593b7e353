import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {
	explainRequest, formatExplanationLine, type LogLine, parseLogLine,
} from '../explain/index.js';
import {exitCodes} from './command-context.js';

async function readLogLines(input: NodeJS.ReadableStream): Promise<LogLine[]> {
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
 * Prints the log lines that explain how a request was answered.
 * @param id - Id of the request or of the connection.
 * @param files - Log files of any number of VMs; standard input when empty.
 * @returns The exit code.
 */
export async function showExplanation(id: string, files: readonly string[]): Promise<number> {
	const inputs = files.length === 0 ? [process.stdin] : files.map(file => createReadStream(file));
	const linesByInput = await Promise.all(inputs.map(async input => readLogLines(input)));
	const lines = linesByInput.flat();
	const explanation = explainRequest(id, lines);
	const firstRequestLine = explanation.find(line => line.relation === 'request');
	if (firstRequestLine === undefined) {
		process.stderr.write(`no request or connection "${id}" in ${lines.length} log lines; the log holds only a sample of successes, and refusals only up to a rate\n`);
		return exitCodes.invalidInput;
	}

	process.stdout.write(`${explanation.map(line => formatExplanationLine(line, firstRequestLine.time)).join('\n')}\n`);
	return exitCodes.success;
}
