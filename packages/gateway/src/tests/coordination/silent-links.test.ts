import {readFile} from 'node:fs/promises';
import test from 'ava';
import {TcpPeerNetwork} from '../../coordination/index.js';

/** State of an established connection in the kernel's list. */
const established = '01';

/** Timer of a connection that is probed while nothing is sent. */
const keepAliveTimer = '02';

/** Returns the timers of the established connections to and from a port. */
async function readTimers(port: number): Promise<string[]> {
	const rows = (await readFile('/proc/net/tcp', 'utf8')).split('\n').map(line => line.trim().split(/\s+/v));
	const suffix = `:${port.toString(16).toUpperCase().padStart(4, '0')}`;
	return rows.filter(([, local, remote, state]) => state === established && (local?.endsWith(suffix) === true || remote?.endsWith(suffix) === true)).map(fields => fields[5]!.split(':')[0]!);
}

// Guards against links to VMs that lost their power, which stay open for good: nothing is sent on them, and no end arrives.
test('both ends of a link between VMs probe a connection without data', async t => {
	const network = new TcpPeerNetwork(error => {
		t.fail(error.message);
	});
	const handlers = {
		onMessage() {
			// The test looks at the connection.
		},
		onClosed() {
			// The test looks at the connection.
		},
	};
	let accept: () => void;
	const accepted = new Promise<void>(resolve => {
		accept = resolve;
	});
	const server = await network.listen('127.0.0.1:0', () => {
		accept();
		return handlers;
	});
	const link = network.connect(`127.0.0.1:${server.port}`, handlers);
	t.teardown(() => {
		link.close();
		server.close();
	});
	await accepted;
	t.deepEqual(await readTimers(server.port), [keepAliveTimer, keepAliveTimer]);
});
