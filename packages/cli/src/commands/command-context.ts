import process from 'node:process';
import {type StoredRow} from '@chicorysaddle/model';
import {
	applyChange, createOperatorClient, type OperatorClient,
} from '../operator/index.js';

/** Exit codes of every command. */
export const exitCodes = {
	success: 0,
	/** The sheet or the arguments are not good; nothing was changed. */
	invalidInput: 1,
	usage: 2,
	/** Another change was first; nothing was changed. */
	conflict: 3,
	/** The change is written but not in force everywhere yet. */
	pending: 4,
	/** No proxy answered, or it refused. */
	failed: 5,
} as const;

/** Options that every command takes. */
export type CommonFlags = {
	readonly proxy?: string;
	readonly token?: string;
	readonly json?: boolean;
	readonly wait?: number;
};

const defaultProxyAddress = '127.0.0.1:7002';
const defaultWaitSeconds = 15;

/** What a command works with: the proxy, and where its results go. */
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

	/** Prints a result: as one JSON object, or as lines. */
	printResult(result: Readonly<Record<string, unknown>>, lines: readonly string[]): void {
		const text = this.#isJson ? JSON.stringify(result, (_key, value: unknown) => (typeof value === 'bigint' ? Number(value) : value)) : lines.join('\n');
		process.stdout.write(`${text}\n`);
	}

	/** Applies rows against the version they were planned from, waits and prints what came of it. */
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
				process.stderr.write(`in force at ${inForce} of ${total} VMs\n`);
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
		return [`version ${outcome.version} is in force at all ${outcome.vms.length} VMs`];
	}

	if (outcome.kind === 'pending') {
		return [`version ${outcome.version} is written; not in force yet at: ${outcome.pending.join(', ')}`];
	}

	const {other} = outcome;
	const description = other === undefined ? '' : `: version ${other.version} by ${other.author}, "${other.summary}"`;
	return [`not applied; another change was first${description}. The configuration is at version ${outcome.version}; plan again.`];
}
