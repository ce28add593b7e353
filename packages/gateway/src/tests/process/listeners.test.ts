import {createConnection, createServer, type Server} from 'node:net';
import test from 'ava';
import {TcpPeerNetwork} from '../../coordination/index.js';
import {SessionEntrance} from '../../lifecycle/index.js';
import {EventLog, GatewayMetrics} from '../../observability/index.js';
import {listenOnServer, ListenerErrorRecorder} from '../../process/index.js';

const host = '127.0.0.1';

function failOnCall(): never {
	throw new Error('not expected to be called');
}

function getPort(server: Server): number {
	const address = server.address();
	return typeof address === 'object' && address !== null ? address.port : 0;
}

async function connect(port: number): Promise<string> {
	return new Promise(resolve => {
		const socket = createConnection(port, host);
		socket.setEncoding('utf8');
		socket.on('data', (chunk: string) => {
			resolve(chunk);
			socket.destroy();
		});
		socket.on('error', () => {
			resolve('closed');
		});
		socket.on('close', () => {
			resolve('closed');
		});
	});
}

// Guards against a process that ends by an error of accept, such as that of a lack of file descriptors, at its first or at a later one.
test('errors of a server that listens are reported, and it goes on', async t => {
	const errors: string[] = [];
	const server = createServer(socket => {
		socket.end('served');
	});
	await listenOnServer(server, {host, port: 0}, error => {
		errors.push(error.message);
	});
	t.notThrows(() => {
		server.emit('error', new Error('accept EMFILE'));
		server.emit('error', new Error('accept ENOBUFS'));
	});
	t.deepEqual(errors, ['accept EMFILE', 'accept ENOBUFS']);
	t.is(await connect(getPort(server)), 'served');
	server.close();
});

test('an address in use rejects, and the server reports nothing', async t => {
	const holder = createServer();
	await listenOnServer(holder, {host, port: 0}, failOnCall);
	const error = await t.throwsAsync(listenOnServer(createServer(), {host, port: getPort(holder)}, failOnCall));
	t.is((error as NodeJS.ErrnoException).code, 'EADDRINUSE');
	holder.close();
});

test('errors of listeners are counted, and logged once a second for each listener with their number', t => {
	let now = 0;
	const lines: Array<Record<string, unknown>> = [];
	const log = new EventLog('vm1', {
		write(text: string) {
			lines.push((JSON.parse(text) as {context: Record<string, unknown>}).context);
		}, writableLength: 0,
	});
	const metrics = new GatewayMetrics();
	const recorder = new ListenerErrorRecorder({clock: {now: () => now, getWallTime: () => now}, log, metrics});
	for (now = 0; now <= 2000; now += 10) {
		recorder.recordError('callers', new Error('accept EMFILE'));
	}

	recorder.recordError('peers', new Error('accept EMFILE'));
	t.deepEqual(lines.map(({listener, count, error}) => [listener, count, error]), [['callers', 1, 'accept EMFILE'], ['callers', 100, 'accept EMFILE'], ['callers', 100, 'accept EMFILE'], ['peers', 1, 'accept EMFILE']]);
	t.is(metrics.getCount('listener_errors'), 202);
});

// Guards against messages that are taken in while a former process of the VM may still act.
test('a peer address that is bound closes connections until the VM listens', async t => {
	const network = new TcpPeerNetwork(failOnCall);
	const holder = createServer();
	await listenOnServer(holder, {host, port: 0}, failOnCall);
	const port = getPort(holder);
	holder.close();
	await network.bind(`${host}:${port}`);
	t.is(await connect(port), 'closed');
	const server = await network.listen(`${host}:${port}`, link => {
		link.send({kind: 'not-coordinator', coordinator: undefined});
		return {
			onMessage: failOnCall,
			onClosed() {
				// The test ends.
			},
		};
	});
	t.is(server.port, port);
	t.regex(await connect(port), /not-coordinator/v);
	server.close();
});

test('a session before the gateway exists is refused as not run, and may be repeated at once', t => {
	const metrics = new GatewayMetrics();
	const entrance = new SessionEntrance(new EventLog('vm1', {write: () => undefined, writableLength: 0}), metrics);
	const kinds: string[] = [];
	const caller = {
		sendReady: failOnCall, sendAnswer: failOnCall, close: failOnCall, rejectSession({kind, hasNotRun}: {kind: string; hasNotRun: boolean}) {
			kinds.push(`${kind} ${hasNotRun}`);
		},
	};
	t.is(entrance.openSession({connectionId: 'c1', database: 'files', keyDigest: ''}, caller), undefined);
	t.deepEqual(kinds, ['overloaded true']);
	t.is(metrics.getCount('rejected_overloaded'), 1);
	let opened = 0;
	entrance.setGateway({
		openSession() {
			opened += 1;
			return undefined;
		},
	});
	entrance.openSession({connectionId: 'c2', database: 'files', keyDigest: ''}, caller);
	t.is(opened, 1);
});
