/* eslint-disable no-await-in-loop -- waits and steps follow one another */
/** A small deployment on loopback addresses: gateway processes of this project between stand-ins for callers, instances and the platform. */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {Buffer} from 'node:buffer';
import {get} from 'node:http';
import {connect, createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {StandInGroup} from './instances.js';
import {
	listen, pause, StandInPromotionApi, StandInStore,
} from './platform.js';

const root = path.resolve(import.meta.dirname, '../../..');

/**
 * Link of one gateway to an address. While it is cut, it holds what is sent on open connections, and delivers it afterwards unless the sender has reset the
 * connection; a new connection is made only when the cut ends, if the gateway still waits for it.
 */
export class Link {
	isCut = false;
	#pairs = new Set();

	constructor(target) {
		this.target = target;
		this.server = createServer({allowHalfOpen: true}, source => {
			this.#accept(source);
		});
	}

	async listen() {
		this.address = await listen(this.server);
	}

	cut() {
		this.isCut = true;
	}

	heal() {
		this.isCut = false;
		for (const pair of this.#pairs) {
			for (const action of pair.held.splice(0)) {
				action();
			}
		}
	}

	/** Lets the open connections go silent for good; new ones work. */
	silence() {
		for (const pair of this.#pairs) {
			pair.isSilent = true;
		}
	}

	#accept(source) {
		const pair = {held: [], isSilent: false};
		this.#pairs.add(pair);
		if (!this.isCut) {
			this.#connect(pair, source, []);
			return;
		}

		// The connection is not made before the cut ends, and not at all if the gateway has given up by then.
		const early = [];
		let isAbandoned = false;
		const collect = chunk => {
			early.push(chunk);
		};

		const abandon = () => {
			isAbandoned = true;
		};

		source.on('data', collect);
		source.on('end', abandon);
		source.on('error', abandon);
		pair.held.push(() => {
			source.off('data', collect);
			source.off('end', abandon);
			if (isAbandoned) {
				source.destroy();
				this.#pairs.delete(pair);
			} else {
				this.#connect(pair, source, early);
			}
		});
	}

	#connect(pair, source, early) {
		const [host, port] = this.target.split(':');
		const sink = connect({host, port: Number(port), allowHalfOpen: true});
		for (const chunk of early) {
			sink.write(chunk);
		}

		this.#forward(pair, source, sink);
		this.#forward(pair, sink, source);
	}

	#act(pair, action) {
		if (pair.isSilent) {
			return;
		}

		if (this.isCut || pair.held.length > 0) {
			pair.held.push(action);
		} else {
			action();
		}
	}

	#forward(pair, from, to) {
		from.on('data', chunk => {
			this.#act(pair, () => {
				to.write(chunk);
			});
		});
		from.on('end', () => {
			this.#act(pair, () => {
				to.end();
			});
		});
		from.on('error', () => {
			// What is held up is lost when its sender resets the connection.
			pair.held.length = 0;
			to.destroy();
		});
		from.on('close', () => {
			if (to.destroyed) {
				this.#pairs.delete(pair);
			}
		});
	}
}

/** Reads the command and the environment of the gateway from the deploy file. */
function readRole() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const {run} = /^run = "(?<run>[^"]*)"$/mv.exec(text).groups;
	const env = /^env = \{(?<env>[^\}]*)\}$/mv.exec(text)?.groups.env ?? '';
	return {run, env: Object.fromEntries([...env.matchAll(/(?<name>\w+) = "(?<value>[^"]*)"/gv)].map(({groups}) => [groups.name, groups.value]))};
}

/** A gateway process. */
class Gateway {
	constructor(world, index) {
		this.world = world;
		this.index = index;
		this.name = `front-${index}`;
		this.host = `127.${10 + (process.pid % 200)}.${10 + (Math.floor(process.pid / 200) % 200)}.${10 + index}`;
	}

	async prepare() {
		const {store, promotionApi} = this.world;
		this.storeLink = new Link(store.address);
		this.promotionLink = new Link(promotionApi.address);
		await this.storeLink.listen();
		await this.promotionLink.listen();
		const ports = await Promise.all([findPort(this.host), findPort(this.host), findPort(this.host)]);
		[this.front, this.ready, this.peers] = ports.map(port => `${this.host}:${port}`);
		this.settingsPath = path.join(this.world.folder, `${this.name}.toml`);
	}

	writeSettings(seeds) {
		const {graceS} = this.world.options;
		const [, peerPort] = this.peers.split(':');
		writeFileSync(this.settingsPath, `NodeName = "${this.name}"
Role = "gateway"
MachineClass = "front"
Serves = ["front", "control"]
Ip = "${this.host}"
Zone = "zone-a"
Region = "region-a"
PortRange = [${peerPort}, ${peerPort}]
Seeds = [${seeds.map(seed => `"${seed}"`).join(', ')}]
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base", "drain", "config", "cost", "recover", "sql", "tenants", "quota", "platform"]
[Zones]
zone-a = "region-a"
[ListenAddrs]
Front = "${this.front}"
Ready = "${this.ready}"
Control = "${this.peers}"
[Limits]
CpuShare = 0.675
CpuCores = 1
MemoryMb = 350
MaxFds = 4300
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
StableWindowMs = 4000
AckMs = 5000
CatchUpS = 4
DrainMs = 7000
GraceS = ${graceS}
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
OuterMs = 12000
StrictRevoke = false
RevokeMs = 5000
QuotaWindowS = 5
QuotaOverage = 0.1
QuotaSlack = 20
RecoveryS = 12
FencingEnforced = false
ThawMs = 300
[platform]
Address = "${this.storeLink.address}"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TxMs = 8.0
PartWritesS = 150
RowBytes = 65536
Across = false
HistoryS = 20
[CloudApi]
Address = "${this.promotionLink.address}"
RatePerS = 50.0
Duties = ["promotion"]
DutyPerS = 50.0
`);
	}

	start() {
		const {run, env} = this.world.role;
		const [program, ...parameters] = run.split(' ');
		const child = spawn(program === 'node' ? process.execPath : program, parameters, {
			cwd: root, env: {PATH: process.env.PATH, ...env, CHICORYSADDLE_SETTINGS: this.settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.child = child;
		let rest = '';
		child.stdout.setEncoding('utf8');
		child.stdout.on('data', chunk => {
			const lines = (rest + chunk).split('\n');
			rest = lines.pop();
			for (const line of lines) {
				this.world.handleLogLine(this, line);
			}
		});
		child.stderr.resume();
		child.on('exit', (code, signal) => {
			this.world.record('gateway.ended', {gateway: this.name, code, signal});
		});
		this.world.record('gateway.started', {gateway: this.name});
	}

	signal(name) {
		this.world.record('gateway.signal', {gateway: this.name, signal: name});
		this.child.kill(name);
	}

	async isReady() {
		return new Promise(resolve => {
			const request = get(`http://${this.ready}/v1/ready`, {timeout: 500}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(false);
			});
		});
	}

	cutFromPlatform() {
		this.storeLink.cut();
		this.promotionLink.cut();
	}

	healPlatform() {
		this.storeLink.heal();
		this.promotionLink.heal();
	}
}

async function findPort(host) {
	const server = createServer();
	const address = await listen(server, host);
	await new Promise(resolve => {
		server.close(resolve);
	});
	return Number(address.split(':')[1]);
}

/** The whole deployment. */
export class World {
	gateways = [];
	groups = new Map();
	lines = [];
	/** Listeners of the gateways' log events. */
	onEvent = () => undefined;
	#startedAt = performance.now();

	constructor(recordPath, options = {}) {
		this.recordPath = recordPath;
		this.options = {
			gateways: 3, instances: 3, graceS: 6, services: ['svc'], group: {}, ...options,
		};
		this.folder = mkdtempSync(path.join(tmpdir(), 'chicorysaddle-review-'));
		this.role = readRole();
	}

	now() {
		return performance.now() - this.#startedAt;
	}

	record = (event, fields = {}) => {
		this.lines.push(`${(this.now() / 1000).toFixed(3)} ${event} ${JSON.stringify(fields)}`);
	};

	handleLogLine(gateway, line) {
		let entry;
		try {
			entry = JSON.parse(line);
		} catch {
			return;
		}

		if (!/^(?:statement|session|summary|memory|log)\b/v.test(entry.message)) {
			const {vm, logLevel, ...fields} = entry.context ?? {};
			this.record(`log ${gateway.name} ${entry.message}`, fields);
		}

		this.onEvent(gateway, entry.message, entry.context ?? {});
	}

	/** Starts everything and waits until the gateways serve. */
	async start(configuration) {
		this.store = new StandInStore();
		await this.store.listen();
		this.promotionApi = new StandInPromotionApi(async ({service, id}) => this.groups.get(service)?.promote(id) ?? 409, this.record);
		await this.promotionApi.listen();
		for (const name of this.options.services) {
			const group = new StandInGroup(name, {record: this.record, store: this.store, ...this.options.group});
			this.groups.set(name, group);
			await group.start(this.options.instances);
		}

		this.setConfiguration(configuration);
		for (let index = 0; index < this.options.gateways; index++) {
			const gateway = new Gateway(this, index);
			await gateway.prepare();
			this.gateways.push(gateway);
		}

		for (const gateway of this.gateways) {
			gateway.writeSettings(this.gateways.slice(0, 3).map(({peers}) => peers));
			gateway.start();
		}
	}

	setConfiguration(configuration) {
		this.record('operator.config', {version: configuration.Version});
		this.store.put('op', 'config', configuration);
	}

	/** Returns the gateway that the store's row names as the coordinator. */
	get coordinator() {
		const row = this.store.getRow('chicorysaddle', 'coordinator');
		const holder = row === undefined ? undefined : JSON.parse(Buffer.from(row.Value, 'base64').toString('utf8')).holder;
		return this.gateways.find(({name}) => name === holder);
	}

	/** Waits until a condition holds; returns whether it did within a time. */
	async waitFor(condition, timeoutMs) {
		const deadline = performance.now() + timeoutMs;
		while (!await condition()) {
			if (performance.now() > deadline) {
				return false;
			}

			await pause(10);
		}

		return true;
	}

	/** Waits until a condition holds, which the case needs in order to run. */
	async waitUntil(condition, timeoutMs, what) {
		if (!await this.waitFor(condition, timeoutMs)) {
			throw new Error(`timed out waiting: ${what}`);
		}
	}

	async waitUntilReady() {
		for (const gateway of this.gateways) {
			await this.waitUntil(async () => gateway.isReady(), 30_000, `${gateway.name} is ready`);
		}
	}

	async stop() {
		for (const {child} of this.gateways) {
			if (child !== undefined && child.exitCode === null && child.signalCode === null) {
				child.kill('SIGCONT');
				child.kill('SIGKILL');
			}
		}

		for (const group of this.groups.values()) {
			group.stop();
		}

		await pause(100);
		writeFileSync(this.recordPath, `${this.lines.join('\n')}\n`);
		rmSync(this.folder, {recursive: true, force: true});
	}
}

/** Creates a configuration as the operator writes it. */
export function createConfiguration(version, routes, {services = ['svc'], maxConnections = 33, syncReplicas = 0, txIdleMs = 3000, tenants} = {}) {
	return {
		Version: version,
		Routes: routes.map(({host, type, service = services[0], timeoutMs = 1000, maxStalenessMs}) => ({
			Name: `r-${host}`, Host: host, Prefix: '/', Type: type, TimeoutMs: timeoutMs, TargetLatencyMs: 200, Priority: 1,
			Service: service, MaxAttempts: 2, ...(maxStalenessMs !== undefined && {MaxStalenessMs: maxStalenessMs}), AllowAnonymous: false,
		})),
		Services: services.map(name => ({
			Name: name, HealthPath: '/health', MaxConns: maxConnections, Protocol: 'h1', Tls: false, SyncReplicas: syncReplicas,
		})),
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000, TxIdleMs: txIdleMs,
		},
		Tenants: tenants ?? [{
			Name: 'tenant-a', ApiKeys: ['key-a'], Priority: 1, RatePerS: 5000, Burst: 5000,
		}],
	};
}
