import {createHash} from 'node:crypto';
import {Code, ConnectError} from '@connectrpc/connect';
import {type StoredRow} from '@chicorysaddle/model';
import {type ConfigurationChange} from '@chicorysaddle/protocol';
import {type OperatorClient} from './operator-client.js';

/** A change of the configuration to apply. */
export type ChangeRequest = {
	/** Version that the change was planned against; a later one is a conflict. */
	readonly expectedVersion: bigint;
	readonly author: string;
	readonly summary: string;
	readonly rows: readonly StoredRow[];
};

/** Outcome of applying a change. */
export type ApplyOutcome =
	/** In force on every known VM. */
	| {readonly kind: 'in-force'; readonly version: bigint; readonly vms: readonly string[]}
	/** Committed, but not in force on some VMs when the wait timed out. */
	| {readonly kind: 'pending'; readonly version: bigint; readonly vms: readonly string[]; readonly pending: readonly string[]}
	/** Not applied, as another change was committed first; `other` is undefined when the proxy does not name that change. */
	| {readonly kind: 'conflict'; readonly version: bigint; readonly other: ConfigurationChange | undefined};

/** Options of the wait for a change. */
export type ApplyOptions = {
	/** Maximum wait until the change is in force on every known VM, in milliseconds. */
	readonly waitTimeoutMs: number;
	/** Called after each poll with the number of VMs on which the change is in force, and the number of known VMs. */
	onProgress(inForce: number, total: number): void;
};

const pollIntervalMs = 100;
const callTimeoutMs = 15_000;
const maxSendAttempts = 5;

/**
 * Applies a change and waits until it is in force on every known VM.
 * @throws ConnectError when a proxy refuses a call, or does not answer.
 */
export async function applyChange(client: OperatorClient, change: ChangeRequest, options: ApplyOptions): Promise<ApplyOutcome> {
	const deadline = performance.now() + options.waitTimeoutMs;
	const response = await sendChange(client, change);
	if (response.result === 'conflict') {
		return {kind: 'conflict', version: response.version, other: response.conflicting};
	}

	const {version} = response;
	for (;;) {
		const {inForce, pending} = await client.getInForce({version}, {timeoutMs: callTimeoutMs});
		options.onProgress(inForce.length, inForce.length + pending.length);
		if (pending.length === 0) {
			return {kind: 'in-force', version, vms: inForce};
		}

		if (performance.now() >= deadline) {
			return {
				kind: 'pending', version, vms: inForce, pending,
			};
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollIntervalMs);
		});
	}
}

/** Sends a change; when the response is lost, sends it again with the same write id, so that it is applied once. */
async function sendChange(client: OperatorClient, change: ChangeRequest): Promise<Awaited<ReturnType<OperatorClient['applyChange']>>> {
	const rows = change.rows.map(row => (row.value === undefined ? {key: row.key} : {key: row.key, value: row.value}));
	const writeId = createHash('sha256').update(JSON.stringify([String(change.expectedVersion), change.author, rows])).digest('base64url');
	for (let attempt = 1; ; attempt += 1) {
		try {
			return await client.applyChange({...change, rows, writeId}, {timeoutMs: callTimeoutMs});
		} catch (error) {
			const isResponseLost = error instanceof ConnectError && (error.code === Code.Unavailable || error.code === Code.DeadlineExceeded);
			if (!isResponseLost || attempt >= maxSendAttempts) {
				throw error;
			}

			await new Promise(resolve => {
				setTimeout(resolve, pollIntervalMs * attempt);
			});
		}
	}
}
