import process from 'node:process';
import {type GetStatusResponse} from '@chicorysaddle/protocol';
import {formatEvacuatedZones} from './evacuation-commands.js';
import {CommandContext, type CommonFlags, exitCodes} from './command-context.js';

/** Flags of the live view. */
export type TopFlags = CommonFlags & {
	/** Interval between two refreshes, in seconds. */
	readonly every?: number;
	/** Number of refreshes; unlimited when absent. */
	readonly rounds?: number;
};

const clearScreen = '\u001B[2J\u001B[H';
const barLength = 20;

function formatBar(fraction: number): string {
	const filled = Math.round(Math.min(1, Math.max(0, fraction)) * barLength);
	return '#'.repeat(filled).padEnd(barLength, '.');
}

/** Computes the growth of a counter per second; zero without a previous value. */
function computeRatePerSecond(current: bigint, previous: bigint | undefined, seconds: number): number {
	return previous === undefined ? 0 : Number(current - previous) / seconds;
}

/** Formats the status of a VM as lines, with rates per second since its previous status; the rates are zero without one. */
export function formatTopView(status: GetStatusResponse, previousStatus: GetStatusResponse | undefined, intervalSeconds: number): string[] {
	const accounts = status.accounts.map(account => {
		const previousAccount = previousStatus?.accounts.find(other => other.account === account.account);
		return {
			name: account.account,
			served: computeRatePerSecond(account.served, previousAccount?.served, intervalSeconds),
			refused: computeRatePerSecond(account.refused, previousAccount?.refused, intervalSeconds),
			tokens: account.tokens,
		};
	});
	const maxServed = Math.max(1, ...accounts.map(account => account.served));
	return [
		`${status.vm} ${status.state}, configuration ${status.configurationVersion}, confirmed ${Math.round(status.freshnessAgeMs)} ms ago, waiting requests ${status.counters['queue.waiting'] ?? 0}, open transactions ${status.counters['transactions.open'] ?? 0}`,
		...formatEvacuatedZones(status.evacuatedZones),
		'',
		'client account        admitted/s refused/s tokens',
		...accounts.toSorted((a, b) => b.served - a.served).map(account =>
			`${account.name.padEnd(22)}${account.served.toFixed(1).padStart(9)} ${account.refused.toFixed(1).padStart(9)} ${account.tokens.toFixed(1).padStart(6)} ${formatBar(account.served / maxServed)}`),
		'',
		'endpoint                      role        term    offset in use',
		...status.instances.map(instance => `${instance.endpoint.padEnd(30)}${instance.role.padEnd(12)}${String(instance.term).padStart(4)} ${String(instance.offset).padStart(9)} ${instance.inUse}/${instance.connections}`),
	];
}

/** Shows a live view of one VM, refreshed until the process ends or all rounds are printed, and returns the exit code. */
export async function showTopView(flags: TopFlags): Promise<number> {
	const context = new CommandContext(flags);
	const intervalSeconds = Number(flags.every ?? 2);
	const rounds = Number(flags.rounds ?? Number.POSITIVE_INFINITY);
	let previousStatus: GetStatusResponse | undefined;
	for (let round = 0; round < rounds; round += 1) {
		const status = await context.client.getStatus({});
		const lines = formatTopView(status, previousStatus, intervalSeconds);
		context.printResult({...status}, process.stdout.isTTY ? [clearScreen, ...lines] : lines);
		previousStatus = status;
		if (round + 1 < rounds) {
			await new Promise(resolve => {
				setTimeout(resolve, intervalSeconds * 1000);
			});
		}
	}

	return exitCodes.success;
}
