import {Pool} from 'undici';
import {type VmProcess} from '../cluster/index.js';

/** Answer of a proxy to one call, or what broke it. */
export type CallResult =
	| {readonly kind: 'answered'; readonly body: ResponseBody}
	| {readonly kind: 'refused'; readonly refusal: string; readonly ran: string; readonly session: string}
	| {readonly kind: 'broken'};

/** The fields of answers that callers use. */
export type ResponseBody = {
	readonly rows?: ReadonlyArray<{readonly columns: Readonly<Record<string, string>>}>;
	readonly session?: string;
	readonly servedBy?: string;
	readonly transaction?: string;
};

type ErrorBody = {readonly details?: ReadonlyArray<{readonly debug?: {readonly session?: string}}>};

/** Options of one call. */
export type CallOptions = {
	readonly key: string;
	readonly idempotencyKey?: string;
	readonly timeoutMs: number;
};

const servicePath = '/chicorysaddle.caller.v1.DatabaseService';
/** Time past its deadline after which a caller gives up on an answer, in milliseconds. */
const responseGraceMs = 2000;

/** Calls proxies over HTTP/1.1 with JSON. */
export class CallerClient {
	readonly #pools = new Map<string, Pool>();

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
