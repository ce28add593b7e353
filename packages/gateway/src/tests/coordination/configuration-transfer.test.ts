import {Buffer} from 'node:buffer';
import {createConnection, createServer, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {type ConfigurationPart} from '@chicorysaddle/protocol/coordination';
import {
	ConfigurationView, ConfigurationWatcher, encodeSnapshotText, type GatewayConfiguration,
} from '../../configuration/index.js';
import {
	ConfigurationTransferClient, ConfigurationTransferServer, TcpPeerNetwork, type TcpPeerServer,
} from '../../coordination/index.js';
import {EventLog, GatewayMetrics} from '../../observability/index.js';
import {type CoordinationStore} from '../../ports/index.js';
import {BackgroundTasks} from '../../tasks/index.js';
import {createConfiguration} from '../fakes/test-cluster.js';

const clock = {now: () => performance.now(), getWallTime: () => Date.now()};

/** Interval at which a throttled pipe passes bytes on, in milliseconds. */
const pipeIntervalMs = 5;

function createLargeConfiguration(version: number): GatewayConfiguration {
	const small = createConfiguration(version);
	return {...small, routes: Array.from({length: 6000}, (_, index) => ({...small.routes[0]!, name: `route-${index}`, database: `database-${(index * 7919) % 99_991}`}))};
}

/** A VM that sends and receives configurations over TCP on loopback. */
class TestVm {
	readonly view = new ConfigurationView();
	readonly metrics = new GatewayMetrics();
	readonly lines: string[] = [];
	readonly watcher: ConfigurationWatcher;
	readonly client: ConfigurationTransferClient;
	failures = 0;
	/** Changes a part before it is sent; undefined sends nothing. */
	convertPart: (part: ConfigurationPart) => ConfigurationPart | undefined = part => part;
	readonly #network = new TcpPeerNetwork(error => {
		this.lines.push(error.message);
	});

	#server: TcpPeerServer | undefined;

	constructor(t: ExecutionContext, configuration: GatewayConfiguration | undefined) {
		t.teardown(() => {
			this.stop();
		});
		const log = new EventLog('vm', {write: (text: string) => this.lines.push(text), writableLength: 0});
		const tasks = new BackgroundTasks(log, this.metrics, clock);
		this.watcher = new ConfigurationWatcher({} as unknown as CoordinationStore, this.view, {random: () => 0, log, tasks});
		if (configuration !== undefined) {
			this.watcher.applyEncoded(JSON.stringify(configuration), 'test');
		}

		this.client = new ConfigurationTransferClient({
			configuration: this.view, configurationWatcher: this.watcher, network: this.#network, clock, log, metrics: this.metrics, tasks,
		}, () => {
			this.failures += 1;
		});
	}

	async listen(): Promise<number> {
		const server = new ConfigurationTransferServer({configurationWatcher: this.watcher, metrics: this.metrics});
		this.#server = await this.#network.listen('127.0.0.1:0', link => ({
			onMessage: message => {
				if (message.kind === 'configuration-part-request') {
					server.answerPartRequest({
						isOpen: true, send: answer => {
							const part = answer.kind === 'configuration-part' ? this.convertPart(answer) : answer;
							if (part !== undefined) {
								link.send(part);
							}
						}, close() {
							link.close();
						},
					}, message);
				}
			},
			onClosed() {
				// The receiver closes its link when it is done.
			},
		}));
		return this.#server.port;
	}

	private stop(): void {
		this.client.stop();
		this.#server?.close();
	}
}

/** Passes bytes on to a port at a limited rate in the direction of the client; returns its port. */
async function openThrottledPipe(t: ExecutionContext, port: number, bytesPerMs: number) {
	const sockets = new Set<Socket>();
	const server = createServer(near => {
		const far = createConnection(port, '127.0.0.1');
		far.pause();
		const timer = setInterval(() => {
			const chunk: unknown = far.read(Math.min(far.readableLength, bytesPerMs * pipeIntervalMs));
			if (chunk instanceof Uint8Array) {
				near.write(chunk);
			}
		}, pipeIntervalMs);
		far.on('readable', () => undefined);
		near.on('data', chunk => {
			far.write(chunk);
		});
		for (const socket of [near, far]) {
			sockets.add(socket);
			socket.on('error', () => {
				// The close event follows.
			});
			socket.on('close', () => {
				clearInterval(timer);
				near.destroy();
				far.destroy();
			});
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const bound = server.address();
	const stop = () => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	};

	t.teardown(stop);
	return {port: typeof bound === 'object' && bound !== null ? bound.port : 0, stop};
}

async function waitUntil(isReached: () => boolean): Promise<void> {
	const deadline = performance.now() + 5000;
	while (!isReached() && performance.now() < deadline) {
		await delay(5);
	}
}

test.serial('over a link that is slower than any total timeout the configuration arrives, and is passed on as it came', async t => {
	const source = new TestVm(t, createLargeConfiguration(2));
	const receiver = new TestVm(t, undefined);
	const last = new TestVm(t, undefined);
	// 80 KB at 110 bytes/ms take longer than the 600 ms after which a source without progress is given up.
	const pipe = await openThrottledPipe(t, await source.listen(), 150);
	receiver.client.start(`127.0.0.1:${pipe.port}`);
	await waitUntil(() => receiver.view.version === 2);
	t.deepEqual([receiver.view.version, receiver.failures], [2, 0]);
	t.deepEqual(receiver.view.configuration, source.view.configuration);
	t.is(receiver.watcher.snapshot!.compressed.length, source.watcher.snapshot!.compressed.length);
	last.client.start(`127.0.0.1:${await receiver.listen()}`);
	await waitUntil(() => last.view.version === 2);
	t.is(last.view.version, 2);
});

test.serial('a source that dies halfway is followed by another one, at the offset that was reached', async t => {
	const sources = [new TestVm(t, createLargeConfiguration(2)), new TestVm(t, createLargeConfiguration(2))] as const;
	const receiver = new TestVm(t, undefined);
	const pipe = await openThrottledPipe(t, await sources[0].listen(), 400);
	receiver.client.start(`127.0.0.1:${pipe.port}`);
	await waitUntil(() => receiver.metrics.getCount('configuration_parts_received') === 2);
	pipe.stop();
	await waitUntil(() => receiver.failures === 1);
	t.is(receiver.client.failedSource, `127.0.0.1:${pipe.port}`);
	receiver.client.start(`127.0.0.1:${await sources[1].listen()}`);
	await waitUntil(() => receiver.view.version === 2);
	t.is(receiver.view.version, 2);
	t.is(receiver.metrics.getCount('configuration_transfers_resumed'), 1);
	const partCount = Math.ceil(sources[1].watcher.snapshot!.compressed.length / 16_384);
	t.is(sources[1].metrics.getCount('configuration_parts_sent'), partCount - 2);
});

test.serial('content that does not match its digest, or is malformed, is logged once, and the last good version stays in force', async t => {
	const source = new TestVm(t, createLargeConfiguration(2));
	const receiver = new TestVm(t, createConfiguration(1));
	const address = `127.0.0.1:${await source.listen()}`;
	const other = encodeSnapshotText(JSON.stringify(createConfiguration(2)));
	for (const [index, convertPart] of [
		(part: ConfigurationPart) => ({...part, size: other.length, data: Buffer.from(other).toString('base64')}),
		(part: ConfigurationPart) => ({...part, data: Buffer.alloc(Buffer.from(part.data, 'base64').length).toString('base64')}),
	].entries()) {
		source.convertPart = convertPart;
		receiver.client.start(address);
		await waitUntil(() => receiver.failures === index + 1);
		t.is(receiver.lines.filter(line => line.includes('configuration.unreadable')).length, index + 1);
	}

	t.is(receiver.view.version, 1);
	source.convertPart = part => part;
	receiver.client.start(address);
	await waitUntil(() => receiver.view.version === 2);
	t.is(receiver.view.version, 2);
});

test.serial('changes to a version with other content are followed by the whole configuration', async t => {
	const source = new TestVm(t, createLargeConfiguration(1));
	source.watcher.applyEncoded(JSON.stringify({...createLargeConfiguration(2), transactionIdleMs: 1}), 'test');
	const receiver = new TestVm(t, {...createConfiguration(1), transactionIdleMs: 5});
	receiver.client.start(`127.0.0.1:${await source.listen()}`);
	await waitUntil(() => receiver.view.version === 2);
	t.deepEqual(receiver.view.configuration, source.view.configuration);
	t.is(receiver.metrics.getCount('configuration_changes_rejected'), 1);
});
