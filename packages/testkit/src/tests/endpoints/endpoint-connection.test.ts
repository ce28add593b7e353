import {create} from '@bufbuild/protobuf';
import test from 'ava';
import {ExecuteRequestSchema} from '@chicorysaddle/protocol';
import {HttpEndpointConnection} from '@chicorysaddle/proxy';
import {createFakeDeployment} from '../../fakes/index.js';

const write = create(ExecuteRequestSchema, {
	requestId: 'r', statement: 'put', parameters: {key: 'k', value: 'v'}, write: true, term: 1n,
});

async function getResultStage(execution: ReturnType<HttpEndpointConnection['execute']>): Promise<string> {
	const result = await execution;
	return result.caseOf({Left: ({stage}): string => stage, Right: () => 'answered'});
}

test('a request counts as unsent only when its connection was never established', async t => {
	const deployment = await createFakeDeployment({
		groups: ['g'], zones: ['z'], slots: 1, connections: 3,
	});
	t.teardown(deployment.stop);
	const [server] = deployment.servers;
	const createConnection = () => new HttpEndpointConnection(server!.address, {connectTimeoutMs: 500});
	const connection = createConnection();
	t.is(await getResultStage(connection.execute(write, {timeoutMs: 1000})), 'answered');

	server!.instance.health = 'hung';
	t.is(await getResultStage(connection.execute(write, {timeoutMs: 30})), 'unanswered', 'timed out while it may be running');
	t.is(connection.disconnectCount, 1);
	const running = connection.execute(write, {timeoutMs: 1000});
	connection.close();
	t.is(await getResultStage(running), 'unanswered', 'closed while it may be running');
	t.is(await getResultStage(connection.execute(write, {timeoutMs: 1000})), 'unsent', 'closed before the request');

	server!.stop();
	t.is(await getResultStage(createConnection().execute(write, {timeoutMs: 1000})), 'unsent', 'connection refused');
});
