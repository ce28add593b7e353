import {createConnection, type Socket} from 'node:net';
import {setTimeout} from 'node:timers/promises';
import test from 'ava';
import {formatPeerMessage} from '@chicorysaddle/protocol/coordination';
import {TcpPeerNetwork} from '../../coordination/index.js';
import {type PeerLink} from '../../ports/index.js';

const address = '127.0.0.1:0';
const validLine = formatPeerMessage({kind: 'acceptance', vm: 'vm1', address});

/** Listens with a handler of messages; returns the kinds of the messages received, the errors reported, and a function that sends text over a link of its own and waits until it is closed. */
async function listen(onMessage: (kind: string) => void) {
	const received: string[] = [];
	const errors: unknown[] = [];
	const network = new TcpPeerNetwork(error => {
		errors.push(error);
	});
	const server = await network.listen(address, () => ({
		onMessage(message) {
			received.push(message.kind);
			onMessage(message.kind);
		},
		onClosed() {
			// The test looks at the socket.
		},
	}));
	const sendText = async (text: string) => new Promise<void>(resolve => {
		const socket = createConnection(server.port, '127.0.0.1', () => {
			socket.end(text);
		});
		socket.on('error', () => {
			// The close event follows.
		});
		socket.on('close', () => {
			resolve();
		});
		socket.resume();
	});
	return {
		received, errors, sendText, server,
	};
}

test('an error in the handler of one message closes its link, and other links go on', async t => {
	let isFailing = true;
	const {received, errors, sendText, server} = await listen(() => {
		if (isFailing) {
			throw new TypeError('unexpected field');
		}
	});
	await sendText(validLine + validLine);
	t.is(errors.length, 1);
	t.deepEqual(received, ['acceptance']);
	isFailing = false;
	await sendText(validLine);
	t.deepEqual(received, ['acceptance', 'acceptance']);
	server.close();
});

test('a line that is too long closes its link and is reported', async t => {
	const {received, errors, sendText, server} = await listen(() => undefined);
	await sendText('x'.repeat(17_000_000));
	t.is(errors.length, 1);
	t.deepEqual(received, []);
	server.close();
});

// Guards against an address, learned from a row or a message, that makes the VM throw while it connects.
test('a link to an impossible address closes like a refused one, without a throw', async t => {
	const network = new TcpPeerNetwork(() => undefined);
	for (const impossible of ['127.0.0.1:99999', '127.0.0.1:-1', 'nowhere', '', ':', 'a\u0000b:80', '127.0.0.1:NaN']) {
		let isClosed = false;
		let link: PeerLink | undefined;
		await new Promise<void>(resolve => {
			link = network.connect(impossible, {
				onMessage: () => undefined,
				onClosed() {
					// The caller has the link before its handlers are called.
					isClosed = link !== undefined;
					resolve();
				},
			});
			link.send({kind: 'configuration-request'});
		});
		t.true(isClosed && link?.isOpen === false, impossible);
	}
});

// Guards against memory that grows with the number of links: each may have begun a line of 16 MiB.
test('links that begin long lines are closed once all together buffer too much, and others go on', async t => {
	const {received, errors, sendText, server} = await listen(() => undefined);
	const sockets: Socket[] = [];
	for (let index = 0; index < 6; index++) {
		const socket = createConnection(server.port, '127.0.0.1');
		socket.on('error', () => {
			// The close event follows.
		});
		sockets.push(socket);
		await new Promise<void>(resolve => {
			socket.write('x'.repeat(12_000_000), () => {
				resolve();
			});
		});
	}

	const deadline = Date.now() + 10_000;
	while (errors.length < 4 && Date.now() < deadline) {
		await setTimeout(20);
	}

	t.is(errors.length, 4);
	await sendText(validLine + validLine);
	t.deepEqual(received, ['acceptance', 'acceptance']);
	for (const socket of sockets) {
		socket.destroy();
	}

	server.close();
});

// Guards against lines that are lost, or joined, where a piece of the stream ends.
test('lines arrive whole, however the stream is split', async t => {
	const {received, server} = await listen(() => undefined);
	const socket = createConnection(server.port, '127.0.0.1');
	socket.setNoDelay(true);
	const text = validLine.repeat(4) + 'odd\n' + validLine;
	for (let start = 0; start < text.length; start += 17) {
		socket.write(text.slice(start, start + 17));
		await setTimeout(1);
	}

	await new Promise<void>(resolve => {
		socket.on('close', () => {
			resolve();
		}).end();
		socket.resume();
	});
	t.deepEqual(received, ['acceptance', 'acceptance', 'acceptance', 'acceptance', 'invalid', 'acceptance']);
	server.close();
});

// Guards against a process that ends for lack of memory because other VMs, or links that went silent, no longer take what is sent to them.
test('links whose VMs do not read are closed once all together hold too much, and a VM that reads gets all messages', async t => {
	const links: PeerLink[] = [];
	const network = new TcpPeerNetwork(() => undefined);
	const server = await network.listen(address, link => {
		links.push(link);
		return {onMessage: () => undefined, onClosed: () => undefined};
	});
	const sockets: Socket[] = [];
	const connect = async () => {
		const socket = createConnection(server.port, '127.0.0.1');
		sockets.push(socket);
		socket.on('error', () => {
			// The close event follows.
		});
		while (links.length < sockets.length) {
			await setTimeout(5);
		}

		return socket;
	};

	const message = {kind: 'configuration-reply', version: 1, encoded: 'x'.repeat(1_000_000)} as const;
	const sendMessages = async (link: PeerLink) => {
		for (let count = 0; count < 20; count++) {
			link.send(message);
			await setTimeout(1);
		}
	};

	for (let index = 0; index < 8; index++) {
		await connect();
		await sendMessages(links.at(-1)!);
	}

	// Each leaves 10 MB unread at the least, beside what the operating system buffers.
	t.true(links.filter(({isOpen}) => isOpen).length <= 2, `${links.filter(({isOpen}) => isOpen).length} of 8 links are open`);
	let readLength = 0;
	const reading = await connect();
	reading.on('data', (chunk: Uint8Array) => {
		readLength += chunk.length;
	});
	await sendMessages(links.at(-1)!);
	while (readLength < 20 * formatPeerMessage(message).length) {
		await setTimeout(5);
	}

	t.true(links.at(-1)!.isOpen);
	for (const socket of sockets) {
		socket.destroy();
	}

	server.close();
});
