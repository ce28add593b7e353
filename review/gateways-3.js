import {spawn} from 'node:child_process';
import {
	createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createConnection, createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

const root = path.resolve(import.meta.dirname, '..');

/** Waits for a time, in milliseconds. */
export async function pause(ms) {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Returns a loopback host of this process. */
export function getHost(index) {
	return `127.${20 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 250)}.${index}`;
}

/** Returns free ports of a host. */
export async function findPorts(host, count) {
	const servers = [];
	for (let index = 0; index < count; index++) {
		servers.push(createServer());
	}

	await Promise.all(servers.map(async server => new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, host, resolve);
	})));
	const ports = servers.map(server => server.address().port);
	for (const server of servers) {
		server.close();
	}

	return ports;
}

/** Reads the command that starts the gateway from the deploy file. */
function readCommand() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<command>[^"]+)"$/mv.exec(text).groups.command.split(' ');
}

/** The gateway processes of a small deployment. */
export class Gateways {
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#members = new Map();

	/** @param options.bounds - Lines of the section `Bounds`. */
	constructor({platformAddress, zones, bounds, logFolder}) {
		Object.assign(this, {
			platformAddress, zones, bounds, logFolder,
		});
		process.once('exit', () => {
			this.#killAll();
		});
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, () => {
				this.#killAll();
				process.kill(process.pid, 'SIGKILL');
			});
		}
	}

	get names() {
		return [...this.#members.keys()];
	}

	/** Chooses the addresses of a process; it may reach the platform over a link of its own. */
	async add(name, host, zone, platformAddress = this.platformAddress) {
		const [front, ready, peers] = await findPorts(host, 3);
		this.#members.set(name, {
			name, host, zone, front, ready, peers, platformAddress, child: undefined,
		});
	}

	/** Starts a process with the command of the deploy file. */
	start(name) {
		const member = this.#members.get(name);
		const file = path.join(this.#folder, `${name}.toml`);
		writeFileSync(file, this.#formatSettings(member));
		const [program, ...parameters] = readCommand();
		const child = spawn(program, parameters, {
			cwd: root, env: {
				PATH: process.env.PATH, HOME: process.env.HOME, ROARR_LOG: 'true', CHICORYSADDLE_SETTINGS: file,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		if (this.logFolder === undefined) {
			child.stdout.resume();
			child.stderr.resume();
		} else {
			const log = createWriteStream(path.join(this.logFolder, `${name}.log`), {flags: 'a'});
			child.stdout.pipe(log);
			child.stderr.pipe(log);
		}

		member.child = child;
		child.once('exit', (code, signal) => {
			member.end = signal ?? code;
		});
	}

	getMember(name) {
		return this.#members.get(name);
	}

	signal(name, signal) {
		this.#members.get(name).child.kill(signal);
	}

	async isReady(name) {
		const {host, ready} = this.#members.get(name);
		return new Promise(resolve => {
			let text = '';
			const socket = createConnection({host, port: ready}, () => {
				socket.write('GET /v1/ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n');
			});
			socket.setTimeout(1000, () => {
				socket.destroy();
			});
			socket.on('data', chunk => {
				text += chunk;
			});
			socket.on('error', () => {
				// The close event follows.
			});
			socket.on('close', () => {
				resolve(text.startsWith('HTTP/1.1 200'));
			});
		});
	}

	/** Ends all processes. */
	async stop() {
		this.#killAll();
		await pause(200);
		rmSync(this.#folder, {recursive: true});
	}

	#killAll() {
		for (const {child} of this.#members.values()) {
			child?.kill('SIGKILL');
		}
	}

	#formatSettings({name, host, zone, front, ready, peers, platformAddress}) {
		const seeds = [...this.#members.values()].slice(0, 3).map(member => `"${member.host}:${member.peers}"`);
		return `NodeName = "${name}"
Role = "gateway"
MachineClass = "front"
Serves = ["front", "control"]
Ip = "${host}"
Zone = "${zone}"
Region = "qld-east"
PortRange = [${peers}, ${peers}]
Seeds = [${seeds.join(', ')}]
HeartbeatMs = 1200
[Zones]
${this.zones.map(other => `${other} = "qld-east"`).join('\n')}
[ListenAddrs]
Front = "${host}:${front}"
Ready = "${host}:${ready}"
Control = "${host}:${peers}"
[Limits]
CpuShare = 0.675
CpuCores = 1
MemoryMb = 350
MaxFds = 4200
LinkMbps = 1000.0
[Bounds]
${this.bounds.join('\n')}
[platform]
Address = "${platformAddress}"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
[CloudApi]
Address = "${platformAddress}"
Duties = ["promotion"]
`;
	}
}

/** A session of a client at a gateway; one statement at a time. */
export class Session {
	#socket;
	#text = '';
	#lines = [];
	#resolve;
	isClosed = false;

	/** Opens a session; returns undefined if it is rejected. */
	static async open({host, front}, database, key) {
		const session = new Session();
		const answer = await session.#connect(host, front, `START ${database} ${key}\r\n`);
		if (answer?.at(-1)?.startsWith('READY') !== true) {
			session.close();
			return undefined;
		}

		return session;
	}

	/** Sends a statement; returns the lines of the answer, undefined if the connection ended without a complete one. */
	async query(id, text) {
		if (this.isClosed) {
			return undefined;
		}

		return this.#send(`QUERY ${id} ${text}\r\n`);
	}

	close() {
		this.#socket.destroy();
	}

	async #connect(host, port, text) {
		this.#socket = createConnection({host, port});
		this.#socket.setNoDelay(true);
		this.#socket.setEncoding('latin1');
		this.#socket.on('data', chunk => {
			this.#text += chunk;
			const lines = this.#text.split('\r\n');
			this.#text = lines.pop();
			for (const line of lines) {
				this.#lines.push(line);
				if (line.startsWith('READY')) {
					this.#settle(this.#lines.splice(0));
				}
			}
		});
		this.#socket.on('error', () => {
			// The close event follows.
		});
		this.#socket.on('close', () => {
			this.isClosed = true;
			this.#settle(undefined);
		});
		return this.#send(text);
	}

	async #send(text) {
		return new Promise(resolve => {
			this.#resolve = resolve;
			this.#socket.write(text, 'latin1');
		});
	}

	#settle(answer) {
		this.#resolve?.(answer);
		this.#resolve = undefined;
	}
}
