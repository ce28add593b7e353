import {mkdir, readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import test from 'ava';
import {type LocalProxies, startLocalProxies, testKey} from '../local-proxies.js';

type SessionStep = {readonly proxy: number; readonly method: string; readonly body: Record<string, unknown>; readonly headers?: Record<string, string>};

const goldenFolder = new URL('../../../golden/', import.meta.url);
const serviceName = 'chicorysaddle.caller.v1.DatabaseService';

/** Text of a session in which values that differ between runs are replaced by placeholders, the same one for each occurrence of a value. */
class Transcript {
	readonly #lines: string[] = [];
	readonly #names = new Map<string, string>();

	addLine(direction: string, text: string): void {
		// The instance that serves a read depends on timing.
		let line = text.replaceAll(/(?<rows>"rows":.*)"servedBy":.*\}$/gv, '$<rows>"servedBy":"#"}');
		for (const [value, name] of this.#names) {
			line = line.replaceAll(value, name);
		}

		this.#lines.push(`${direction} ${line}`);
	}

	addPlaceholder(value: unknown, kind: string): void {
		if (typeof value === 'string' && value !== '' && !this.#names.has(value)) {
			this.#names.set(value, `<${kind} ${[...this.#names.values()].filter(name => name.startsWith(`<${kind}`)).length + 1}>`);
		}
	}

	format(): string {
		return `${this.#lines.join('\n')}\n`;
	}
}

/** Sends the steps of a session as plain HTTP requests, each with the latest session token, and returns the transcript. */
async function runSession(local: LocalProxies, steps: readonly SessionStep[]): Promise<string> {
	const transcript = new Transcript();
	let session = '';
	let transaction = '';
	for (const {proxy, method, body, headers = {}} of steps) {
		const requestBody = {...body, ...(body.session === '' ? {session} : {}), ...('transaction' in body ? {transaction} : {})};
		const response = await fetch(`http://127.0.0.1:${local.proxies[proxy]!.callerPort}/${serviceName}/${method}`, {
			method: 'POST', headers: {'content-type': 'application/json', authorization: `Bearer ${testKey}`, ...headers}, body: JSON.stringify(requestBody),
		});
		const responseBody = await response.json() as {session?: string; transaction?: string; code?: string; message?: string};
		transcript.addPlaceholder(responseBody.session, 'session');
		transcript.addPlaceholder(responseBody.transaction, 'transaction');
		session = responseBody.session ?? session;
		transaction = responseBody.transaction ?? transaction;
		transcript.addLine('>', `proxy ${proxy + 1} ${method} ${JSON.stringify(requestBody)}`);
		const refusal = `${responseBody.code}: ${responseBody.message} (${response.headers.get('chicorysaddle-refusal')}, ran ${response.headers.get('chicorysaddle-ran')}, retry after ${response.headers.get('retry-after')} s)`;
		transcript.addLine('<', `${response.status} ${response.ok ? JSON.stringify(responseBody) : refusal}`);
	}

	return transcript.format();
}

const sessions: Readonly<Record<string, readonly SessionStep[]>> = {
	'humidis-filing': [
		{proxy: 0, method: 'Run', body: {route: 'orders.get', parameters: {key: 'house-7'}}},
		{
			proxy: 0, method: 'Run', body: {route: 'orders.file', parameters: {key: 'house-7', value: 'cellar'}, session: ''}, headers: {'idempotency-key': 'finding-1'},
		},
		{proxy: 1, method: 'Run', body: {route: 'orders.get', parameters: {key: 'house-7'}, session: ''}},
		{
			proxy: 1, method: 'Run', body: {route: 'orders.file', parameters: {key: 'house-7', value: 'cellar'}, session: ''}, headers: {'idempotency-key': 'finding-1'},
		},
		{
			proxy: 1, method: 'Run', body: {route: 'orders.file', parameters: {key: 'house-7', value: 'attic'}, session: ''}, headers: {'idempotency-key': 'finding-1'},
		},
		{
			proxy: 0, method: 'Run', body: {route: 'orders.get', parameters: {key: 'house-7'}, session: ''}, headers: {authorization: 'Bearer wrong'},
		},
		{proxy: 0, method: 'Run', body: {route: 'orders.unknown', session: ''}},
		{proxy: 0, method: 'Run', body: {route: 'orders.get', parameters: {key: 'house-7'}, session: 'forged'}},
	],
	'cathair-order': [
		{proxy: 0, method: 'Begin', body: {group: 'orders'}},
		{proxy: 1, method: 'RunInTransaction', body: {transaction: '', route: 'orders.file', parameters: {key: 'order-3', value: 'paid'}}},
		{proxy: 0, method: 'RunInTransaction', body: {transaction: '', route: 'orders.file', parameters: {key: 'order-3', value: 'queued'}}},
		{proxy: 0, method: 'Run', body: {route: 'orders.get', parameters: {key: 'order-3'}}},
		{
			proxy: 1, method: 'Commit', body: {transaction: '', session: ''}, headers: {'idempotency-key': 'order-3'},
		},
		{proxy: 0, method: 'Run', body: {route: 'orders.get', parameters: {key: 'order-3'}, session: ''}},
		{proxy: 0, method: 'Commit', body: {transaction: ''}},
		{
			proxy: 0, method: 'Run', body: {route: 'orders.status', parameters: {key: 'order-3'}}, headers: {authorization: ''},
		},
	],
};

async function readGoldenFile(name: string, text: string): Promise<string> {
	const fileUrl = new URL(`${name}.txt`, goldenFolder);
	if (process.env.UPDATE_GOLDEN === '1') {
		await mkdir(goldenFolder, {recursive: true});
		await writeFile(fileUrl, text);
	}

	return readFile(fileUrl, 'utf8');
}

for (const [name, steps] of Object.entries(sessions)) {
	test(`the session "${name}" matches its golden file`, async t => {
		const local = await startLocalProxies({vms: 2});
		t.teardown(local.stop);
		const text = await runSession(local, steps);
		t.is(text, await readGoldenFile(name, text));
	});
}

test('a lost response and a failover match their golden file', async t => {
	const local = await startLocalProxies({vms: 1});
	t.teardown(local.stop);
	const createWriteStep = (value: string): SessionStep => ({
		proxy: 0, method: 'Run', body: {route: 'orders.file', parameters: {key: 'k', value}, session: ''}, headers: {'idempotency-key': value},
	});
	const primary = local.deployment.servers.find(({instance}) => instance.isPrimary)!;
	const firstTranscript = await runSession(local, [createWriteStep('one')]);
	primary.isNextResponseLost = true;
	const lostResponseTranscript = await runSession(local, [createWriteStep('two'), createWriteStep('two')]);
	primary.stop();
	const failoverTranscript = await runSession(local, [createWriteStep('two'), createWriteStep('three'), {proxy: 0, method: 'Run', body: {route: 'orders.get', parameters: {key: 'k'}, session: ''}}]);
	const text = `${firstTranscript}-- the next answer is lost\n${lostResponseTranscript}-- the primary dies\n${failoverTranscript}`;
	t.is(text, await readGoldenFile('failover', text));
});
