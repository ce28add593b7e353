import {Pool} from 'undici';
import {type VmProcess} from '../cluster/index.js';

/** Result of one call: a response, a refusal or a failed connection. */
export type CallResult =
	| {readonly kind: 'answered'; readonly body: ResponseBody}
	| {readonly kind: 'refused'; readonly refusal: string; readonly ran: string; readonly session: string}
	| {readonly kind: 'broken'};

/** Response fields that callers use. */
export type ResponseBody = {
	readonly rows?: ReadonlyArray<{readonly columns: Readonly<Record<string, string>>}>;
	readonly session?: string;
	readonly servedBy?: string;
	readonly transaction?: string;
};

type ErrorBody = {readonly details?: ReadonlyArray<{readonly debug?: {readonly session?: string}}>};

/** Options of one call. */
export type CallOptions = {
	/** Key of the account; empty to send none. */
	readonly key: string;
	readonly idempotencyKey?: string;
	readonly timeoutMs: number;
};

const servicePath = '/chicorysaddle.caller.v1.DatabaseService';
/** Time after the deadline of a call at which the client stops waiting for the response, in milliseconds. */
const responseGraceMs = 2000;

/** Sends calls to proxies as JSON over HTTP/1.1. */
export class CallerClient {
	readonly #pools = new Map<string, Pool>();

	/** Sends a call and returns its result; never rejects. */
	async sendCall(vm: VmProcess, method: string, body: unknown, options: CallOptions): Promise<CallResult> {
		try {
			const response = await this.#getPool(vm).request({
				method: 'POST',
				path: `${servicePath}/${method}`,
				headers: {
					'content-type': 'application/json',
					'connect-timeout-ms': String(options.timeoutMs),
					...(options.key === '' ? {} : {authorization: `Bearer ${options.key}`}),
					...(options.idempotencyKey === undefined ? {} : {'idempotency-key': options.idempotencyKey}),
				},
				body: JSON.stringify(body),
				signal: AbortSignal.timeout(options.timeoutMs + responseGraceMs),
			});
			const responseBody: unknown = await response.body.json();
			if (response.statusCode === 200) {
				return {kind: 'answered', body: responseBody as ResponseBody};
			}

			return {
				kind: 'refused',
				refusal: String(response.headers['chicorysaddle-refusal'] ?? `status ${response.statusCode}`),
				ran: String(response.headers['chicorysaddle-ran'] ?? 'unknown'),
				session: (responseBody as ErrorBody).details?.[0]?.debug?.session ?? '',
			};
		} catch {
			return {kind: 'broken'};
		}
	}

	async close(): Promise<void> {
		await Promise.all([...this.#pools.values()].map(async pool => pool.destroy()));
	}

	#getPool(vm: VmProcess): Pool {
		const origin = `http://${vm.address}:${vm.ports.caller}`;
		const pool = this.#pools.get(origin) ?? new Pool(origin, {
			connections: 64, pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: {timeout: 1000},
		});
		this.#pools.set(origin, pool);
		return pool;
	}
}
