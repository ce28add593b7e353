import process from 'node:process';
import {type GetStatusResponse} from '@chicorysaddle/protocol';
import {CommandContext, type CommonFlags, exitCodes} from './command-context.js';

/** Options of the live view. */
export type TopFlags = CommonFlags & {
	/** Seconds between two pictures. */
	readonly every?: number;
	/** Number of pictures; without end where absent. */
	readonly rounds?: number;
};

const clearScreen = '\u001B[2J\u001B[H';
const barLength = 20;

function formatBar(part: number): string {
	const filled = Math.round(Math.min(1, Math.max(0, part)) * barLength);
	return '#'.repeat(filled).padEnd(barLength, '.');
}

/** Returns how much a number has grown a second. */
function getPerSecond(now: bigint, before: bigint | undefined, seconds: number): number {
	return before === undefined ? 0 : Number(now - before) / seconds;
}

/** Writes one picture: what has happened between two statuses of a VM. */
export function formatTop(status: GetStatusResponse, before: GetStatusResponse | undefined, seconds: number): string[] {
	const accounts = status.accounts.map(account => {
		const known = before?.accounts.find(other => other.account === account.account);
		return {
			name: account.account,
			served: getPerSecond(account.served, known?.served, seconds),
			refused: getPerSecond(account.refused, known?.refused, seconds),
			tokens: account.tokens,
		};
	});
	const most = Math.max(1, ...accounts.map(account => account.served));
	return [
		`${status.vm} ${status.state}, configuration ${status.configurationVersion}, word of ${Math.round(status.freshnessAgeMs)} ms ago, waiting ${status.counters['queue.waiting'] ?? 0}, transactions ${status.counters['transactions.open'] ?? 0}`,
		'',
		'client account        admitted/s refused/s tokens',
		...accounts.toSorted((a, b) => b.served - a.served).map(account =>
			`${account.name.padEnd(22)}${account.served.toFixed(1).padStart(9)} ${account.refused.toFixed(1).padStart(9)} ${account.tokens.toFixed(1).padStart(6)} ${formatBar(account.served / most)}`),
		'',
		'endpoint                      role        term    offset in use',
		...status.instances.map(one => `${one.endpoint.padEnd(30)}${one.role.padEnd(12)}${String(one.term).padStart(4)} ${String(one.offset).padStart(9)} ${one.inUse}/${one.connections}`),
	];
}

/** Shows a live view of one VM. */
export async function showTop(flags: TopFlags): Promise<number> {
	const context = new CommandContext(flags);
	const seconds = Number(flags.every ?? 2);
	const rounds = Number(flags.rounds ?? Number.POSITIVE_INFINITY);
	let before: GetStatusResponse | undefined;
	for (let round = 0; round < rounds; round += 1) {
		const status = await context.client.getStatus({});
		const lines = formatTop(status, before, seconds);
		context.print({...status}, process.stdout.isTTY ? [clearScreen, ...lines] : lines);
		before = status;
		if (round + 1 < rounds) {
			await new Promise(resolve => {
				setTimeout(resolve, seconds * 1000);
			});
		}
	}

	return exitCodes.done;
}
