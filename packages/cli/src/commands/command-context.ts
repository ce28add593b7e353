import process from 'node:process';
import {type StoredRow} from '@chicorysaddle/model';
import {
	applyChange, createOperatorClient, type OperatorClient,
} from '../operator/index.js';

/** Exit codes of the commands. */
export const exitCodes = {
	success: 0,
	/** The sheet or the arguments are invalid, or name something unknown; nothing was changed. */
	invalidInput: 1,
	usage: 2,
	/** Another change was committed first; nothing was changed. */
	conflict: 3,
	/** The change is committed, but not in force on every VM yet. */
	pending: 4,
	/** No proxy answered, or it refused the call. */
	failed: 5,
} as const;

/** Flags that every command accepts. */
export type CommonFlags = {
	/** Address of an operator port as host:port. */
	readonly proxy?: string;
	readonly token?: string;
	/** Whether the result is printed as one JSON object. */
	readonly json?: boolean;
	/** Maximum wait until a change is in force on every VM, in seconds. */
	readonly wait?: number;
};

const defaultProxyAddress = '127.0.0.1:7002';
const defaultWaitSeconds = 15;

/** Client and output of one command. */
export class CommandContext {
	readonly client: OperatorClient;
	readonly #isJson: boolean;
	readonly #waitMs: number;

	constructor(flags: CommonFlags) {
		this.client = createOperatorClient({
			proxy: flags.proxy ?? process.env.CHICORYSADDLE_PROXY ?? defaultProxyAddress,
			token: flags.token ?? process.env.CHICORYSADDLE_TOKEN ?? '',
		});
		this.#isJson = flags.json ?? false;
		this.#waitMs = Number(flags.wait ?? defaultWaitSeconds) * 1000;
	}

	/** Prints a result to standard output, as one JSON object with `--json` and as lines without it. */
	printResult(result: Readonly<Record<string, unknown>>, lines: readonly string[]): void {
		const text = this.#isJson ? JSON.stringify(result, (_key, value: unknown) => (typeof value === 'bigint' ? Number(value) : value)) : lines.join('\n');
		process.stdout.write(`${text}\n`);
	}

	/**
	 * Applies rows, waits until they are in force on every VM, and prints the outcome.
	 * @param expectedVersion - Version that the rows were planned against; a later one is a conflict.
	 * @param details - Fields to add to the JSON result.
	 * @returns The exit code.
	 */
	async applyRows(rows: readonly StoredRow[], summary: string, expectedVersion: bigint, details: Readonly<Record<string, unknown>> = {}): Promise<number> {
		if (rows.length === 0) {
			this.printResult({...details, result: 'unchanged', version: expectedVersion}, ['nothing to change']);
			return exitCodes.success;
		}

		const author = process.env.USER ?? 'operator';
		const outcome = await applyChange(this.client, {
			expectedVersion, author, summary, rows,
		}, {
			waitTimeoutMs: this.#waitMs,
			onProgress(inForce, total) {
				process.stderr.write(`in force on ${inForce} of ${total} VMs\n`);
			},
		});
		const exitCodeByKind = {
			'in-force': exitCodes.success, pending: exitCodes.pending, conflict: exitCodes.conflict,
		};
		this.printResult({...details, result: outcome.kind, ...outcome}, formatOutcome(outcome));
		return exitCodeByKind[outcome.kind];
	}
}

function formatOutcome(outcome: Awaited<ReturnType<typeof applyChange>>): string[] {
	if (outcome.kind === 'in-force') {
		return [`version ${outcome.version} is in force on all ${outcome.vms.length} VMs`];
	}

	if (outcome.kind === 'pending') {
		return [`version ${outcome.version} is committed, but not in force yet on: ${outcome.pending.join(', ')}`];
	}

	const {other} = outcome;
	const description = other === undefined ? '' : `: version ${other.version} by ${other.author}, "${other.summary}"`;
	return [`not applied; another change was committed first${description}. The configuration is now at version ${outcome.version}; check the change and run the command again.`];
}
