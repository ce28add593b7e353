import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, mkdtempSync, openSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';
import {waitFor} from '../local-proxies.js';

const daemonPath = fileURLToPath(import.meta.resolve('@chicorysaddle/proxy').replace(/dist\/index\.js$/v, 'bin/chicorysaddled.js'));

/** Loopback host of the daemons of this test process. */
const host = `127.${10 + (process.pid % 200)}.${10 + (Math.floor(process.pid / 200) % 200)}.250`;

async function findPort(): Promise<number> {
	const server = createServer();
	server.listen(0, host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	return port;
}

/** Starts a daemon without a platform, and returns a function that tells whether it answers at its operator port. */
async function startDaemon(t: ExecutionContext, output: number | 'ignore', script = '') {
	const folder = mkdtempSync(path.join(tmpdir(), 'daemon-'));
	const file = path.join(folder, 'vm.toml');
	const port = await findPort();
	writeFileSync(file, `[vm]\nname = "vm1"\nzone = "a"\naddress = "${host}"\n[ports]\ncaller = 0\npeer = 0\noperator = ${port}\n[platform]\naddress = "127.0.0.1:1"\n[peers]\nsecret = "a-secret-of-the-tests"\n[operator]\ntoken_hashes = []\n`);
	const daemon = spawn(process.execPath, ['--import', `data:text/javascript,${encodeURIComponent(script)}`, daemonPath, file], {stdio: ['ignore', output, 'ignore']});
	t.teardown(() => {
		daemon.kill('SIGKILL');
		rmSync(folder, {recursive: true});
	});
	return {
		daemon, async isAnswering() {
			try {
				await fetch(`http://${host}:${port}/metrics`);
				return true;
			} catch {
				if (daemon.exitCode !== null) {
					throw new Error(`ended by itself (${daemon.exitCode})`);
				}

				return false;
			}
		},
	};
}

// Guards against a daemon that ends with its first line, and after each restart again, because the file of its log has no space.
test('a daemon whose log has no space left starts and goes on, and ends in order', async t => {
	const output = openSync('/dev/full', 'w');
	const {daemon, isAnswering} = await startDaemon(t, output);
	closeSync(output);
	await waitFor(isAnswering);
	daemon.kill('SIGTERM');
	const [code] = await once(daemon, 'exit') as [number];
	t.is(code, 0);
});

// Guards against a daemon that ends because an operation failed that nothing awaits.
test('an unhandled rejection does not end a daemon', async t => {
	const {daemon, isAnswering} = await startDaemon(t, 'ignore', 'process.on("SIGUSR2", () => { Promise.reject(new Error("unexpected row")); });');
	await waitFor(isAnswering);
	daemon.kill('SIGUSR2');
	await new Promise(resolve => {
		setTimeout(resolve, 300);
	});
	t.true(await isAnswering());
	daemon.kill('SIGTERM');
	const [code] = await once(daemon, 'exit') as [number];
	t.is(code, 0);
});
