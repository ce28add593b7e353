import {once} from 'node:events';
import {connect} from 'node:net';
import test from 'ava';
import {type LocalProxies, startLocalProxies, testKey} from '../local-proxies.js';

const path = '/chicorysaddle.caller.v1.DatabaseService/Run';

async function sendRequest(local: LocalProxies, body: string, headers: Record<string, string> = {}): Promise<{status: number; text: string}> {
	const response = await fetch(`http://127.0.0.1:${local.proxies[0]!.callerPort}${path}`, {
		method: 'POST', body, headers: {'content-type': 'application/json', authorization: `Bearer ${testKey}`, ...headers},
	});
	return {status: response.status, text: await response.text()};
}

async function sendRaw(local: LocalProxies, text: string, endsEarly: boolean): Promise<string> {
	const socket = connect(local.proxies[0]!.callerPort, '127.0.0.1');
	const chunks: string[] = [];
	socket.on('data', chunk => {
		chunks.push(String(chunk));
	});
	socket.on('error', () => undefined);
	socket.write(text);
	if (endsEarly) {
		socket.end();
	}

	await once(socket, 'close');
	return chunks.join('');
}

test('malformed requests, oversized bodies, invalid session tokens and aborted connections are refused, and the proxy keeps serving', async t => {
	const local = await startLocalProxies({vms: 1});
	t.teardown(local.stop);
	const validBody = JSON.stringify({route: 'orders.get', parameters: {key: 'k'}});
	t.is((await sendRequest(local, '{')).status, 400);
	t.is((await sendRequest(local, '{"route": 7}')).status, 400);
	t.is((await sendRequest(local, JSON.stringify({route: 'orders.get', parameters: {key: 'x'.repeat(2_000_000)}}))).status, 429);
	t.is((await sendRequest(local, validBody, {'connect-timeout-ms': 'soon'})).status, 400);
	t.is((await sendRequest(local, validBody, {'idempotency-key': 'k'.repeat(201)})).status, 400);
	const responseBody = JSON.parse((await sendRequest(local, validBody)).text) as {session: string};
	// Replaces the first character by a different one.
	const forgedToken = `${responseBody.session.startsWith('A') ? 'B' : 'A'}${responseBody.session.slice(1)}`;
	for (const session of [responseBody.session.slice(0, -3), forgedToken, 'x', 'x'.repeat(9000)]) {
		const refused = await sendRequest(local, JSON.stringify({route: 'orders.get', parameters: {key: 'k'}, session}));
		t.is(refused.status, 400, session);
	}

	t.regex(await sendRaw(local, 'NONSENSE\r\n\r\n', false), /^HTTP\/1\.1 400/v);
	await sendRaw(local, `POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 100\r\n\r\n{"route"`, true);
	t.is((await sendRequest(local, validBody)).status, 200);
	const metrics = await fetch(`http://127.0.0.1:${local.proxies[0]!.operatorPort}/metrics`);
	t.regex(await metrics.text(), /chicorysaddle_refused_kind_session_invalid 4\n/v);
});
