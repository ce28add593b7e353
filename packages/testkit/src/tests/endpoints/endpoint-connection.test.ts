import {once} from 'node:events';
import {createConnection, createServer, type AddressInfo} from 'node:net';
import {create} from '@bufbuild/protobuf';
import test, {type ExecutionContext} from 'ava';
import {ExecuteRequestSchema} from '@chicorysaddle/protocol';
import {HttpEndpointConnection} from '@chicorysaddle/proxy';
import {createFakeDeployment} from '../../fakes/index.js';
import {installResponsiveClock} from '../responsive-clock.js';

const write = create(ExecuteRequestSchema, {
	requestId: 'r', statement: 'put', parameters: {key: 'k', value: 'v'}, write: true, term: 1n,
});

async function getResultStage(execution: ReturnType<HttpEndpointConnection['execute']>): Promise<string> {
	const result = await execution;
	return result.caseOf({Left: ({stage}): string => stage, Right: () => 'answered'});
}

/** Returns an address that refuses connections: its port is the local one of an open connection, so no process can listen on it. */
async function holdRefusingAddress(t: ExecutionContext): Promise<string> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = createConnection((server.address() as AddressInfo).port, '127.0.0.1');
	t.teardown(() => {
		socket.destroy();
		server.close();
	});
	await once(socket, 'connect');
	return `127.0.0.1:${socket.localPort!}`;
}

test.before(() => {
	installResponsiveClock();
});

// Another process can take the port that a stopped server releases, and answer.
test('an address that refuses connections cannot be taken by a server', async t => {
	const address = await holdRefusingAddress(t);
	const port = Number(address.split(':')[1]);
	for (const host of ['127.0.0.1', '0.0.0.0']) {
		const server = createServer();
		t.teardown(() => server.close());
		server.listen(port, host);
		const [error] = await once(server, 'error') as [NodeJS.ErrnoException];
		t.is(error.code, 'EADDRINUSE', host);
	}
});

test('a request counts as unsent only when its connection was never established', async t => {
	const deployment = await createFakeDeployment({
		groups: ['g'], zones: ['z'], slots: 1, connections: 3,
	});
	t.teardown(deployment.stop);
	const [server] = deployment.servers;
	const createEndpointConnection = (address: string) => new HttpEndpointConnection(address, {connectTimeoutMs: 500});
	const connection = createEndpointConnection(server!.address);
	t.is(await getResultStage(connection.execute(write, {timeoutMs: 1000})), 'answered');

	server!.instance.health = 'hung';
	t.is(await getResultStage(connection.execute(write, {timeoutMs: 30})), 'unanswered', 'timed out while it may be running');
	t.is(connection.disconnectCount, 1);
	const running = connection.execute(write, {timeoutMs: 1000});
	connection.close();
	t.is(await getResultStage(running), 'unanswered', 'closed while it may be running');
	t.is(await getResultStage(connection.execute(write, {timeoutMs: 1000})), 'unsent', 'closed before the request');

	server!.stop();
	const refusingAddress = await holdRefusingAddress(t);
	t.is(await getResultStage(createEndpointConnection(refusingAddress).execute(write, {timeoutMs: 1000})), 'unsent', 'connection refused');
});
