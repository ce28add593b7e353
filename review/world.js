/** Starts the project's gateway processes, as the deploy file says, before the stand-ins. */
/* eslint-disable no-await-in-loop, @stylistic/max-len */
import {spawn} from 'node:child_process';
import {
	createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Group} from './group.js';
import {pause, PlatformServer, Store} from './platform.js';

const root = fileURLToPath(new URL('../', import.meta.url));

/** Reads the command and the variables of the gateway from the deploy file. */
function readDeployFile() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const run = /^run = "(.*)"$/m.exec(text)[1].split(' ');
	const env = Object.fromEntries([.../^env = {(.*)}$/m.exec(text)[1].matchAll(/(\w+) = "([^"]*)"/g)].map(([, name, value]) => [name, value]));
	return {command: run[0] === 'node' ? process.execPath : run[0], parameters: run.slice(1), env};
}

/** Finds free ports; all are held until the last one is found, so that none comes twice. */
async function findFreePorts(host, count) {
	const servers = Array.from({length: count}, () => createServer());
	const ports = await Promise.all(servers.map(async server => new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, host, () => {
			resolve(server.address().port);
		});
	})));
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}

/** A small deployment on loopback addresses. */
export class World {
	records = [];
	calls = [];
	exits = [];
	groups = new Map();
	store = new Store();
	platforms = [];
	vms = [];
	#deploy = readDeployFile();
	#isStopping = false;
	#children = new Set();
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));

	/**
	 * @param options.vmCount - Number of gateways.
	 * @param options.routes - Routes: `database`, `service`, `type`, `maxStalenessMs`, `timeoutMs`.
	 */
	constructor(options) {
		this.options = {
			vmCount: 3, maxConns: 33, txIdleMs: 3000, restartMs: 500, zones: ['a', 'b', 'c'], group: {}, ...options,
		};
		this.routes = options.routes;
	}

	getHost(index) {
		return `127.${20 + (process.pid % 200)}.${10 + (Math.floor(process.pid / 200) % 200)}.${10 + index}`;
	}

	async start() {
		const services = [...new Set(this.routes.map(({service}) => service))];
		for (const [index, service] of services.entries()) {
			const group = new Group(service, [0, 1, 2].map(offset => this.getHost(100 + (index * 3) + offset)), this.store, {
				zones: this.options.zones, maxConns: this.options.maxConns, ...this.options.group,
			});
			this.groups.set(service, group);
			await group.start();
		}

		this.configure(1, this.routes);
		for (let index = 0; index < this.options.vmCount; index++) {
			await this.#prepareVm(index);
		}

		for (const vm of this.vms) {
			this.#writeSettings(vm);
			this.startVm(vm, true);
		}

		await this.waitUntilReady();
	}

	/** Adds a VM to the running deployment. */
	async addVm() {
		const vm = await this.#prepareVm(this.vms.length);
		this.#writeSettings(vm);
		this.startVm(vm);
		return vm;
	}

	async #prepareVm(index) {
		const host = this.getHost(index);
		const platform = new PlatformServer(this.store, this.groups, call => {
			this.calls.push({at: performance.now(), vm: index, ...call});
		});
		this.platforms.push(platform);
		const address = await platform.listen(host);
		const [front, ready, control, peer] = await findFreePorts(host, 4);
		const vm = {
			index, name: `front-${index}`, host, address, front: `${host}:${front}`, ready: `${host}:${ready}`, control: `${host}:${control}`, peer,
		};
		this.vms.push(vm);
		return vm;
	}

	/** Writes a version of the configuration. */
	configure(version, routes) {
		const services = [...new Set(routes.map(({service}) => service))];
		this.store.put('op', 'config', {
			Version: version,
			Routes: routes.map(({database, service, type, maxStalenessMs, timeoutMs = 1000}) => ({
				Name: `r-${database}`, Host: database, Type: type, TimeoutMs: timeoutMs, TargetLatencyMs: 200, Priority: 1, Service: service, AllowAnonymous: false, ...(maxStalenessMs !== undefined && {MaxStalenessMs: maxStalenessMs}),
			})),
			Services: services.map(service => ({
				Name: service, MaxConns: this.options.maxConns, HealthPath: '/health', Protocol: 'own',
			})),
			Tenants: ['t1', 't2'].map(name => ({
				Name: name, ApiKeys: [`key-${name}`], RatePerS: 100_000, Burst: 100_000,
			})),
			Limits: {MaxBodyBytes: 262_144, TxIdleMs: this.options.txIdleMs},
		});
	}

	#writeSettings(vm) {
		const seeds = this.vms.slice(0, 3).map(({control}) => `"${control}"`).join(',');
		const zone = this.options.zones[vm.index % this.options.zones.length];
		vm.settings = path.join(this.#folder, `${vm.name}.toml`);
		writeFileSync(vm.settings, `NodeName = "${vm.name}"
Role = "gateway"
MachineClass = "front"
Serves = ["front","control"]
Ip = "${vm.host}"
Zone = "${zone}"
Region = "r"
PortRange = [${vm.peer},${vm.peer}]
Seeds = [${seeds}]
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
[Zones]
${this.options.zones.map(name => `${name} = "r"`).join('\n')}
[ListenAddrs]
Front = "${vm.front}"
Ready = "${vm.ready}"
Control = "${vm.control}"
[Limits]
CpuShare = 0.675
CpuCores = 1
MemoryMb = 350
MaxFds = 4300
LinkMbps = 1000.0
[Bounds]
StableWindowMs = 4000
DrainMs = 7000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
QuotaWindowS = 5
RecoveryS = 12
FencingEnforced = false
ThawMs = 300
[platform]
Address = "${vm.address}"
form = "table"
[CloudApi]
Address = "${vm.address}"
Duties = ["promotion"]
`);
	}

	/** Starts the process of a VM; one that ends by itself or is killed is started again after a while. */
	startVm(vm) {
		const {command, parameters, env} = this.#deploy;
		const {PATH, HOME, LANG} = process.env;
		vm.logFile = path.join(process.env.REVIEW_LOGS ?? this.#folder, `${vm.name}.log`);
		const log = createWriteStream(vm.logFile, {flags: 'a'});
		const child = spawn(command, parameters, {
			cwd: root, env: {
				PATH, HOME, LANG, ...env, CHICORYSADDLE_SETTINGS: vm.settings,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		vm.child = child;
		this.#children.add(child);
		child.on('exit', (code, signal) => {
			this.exits.push({
				at: performance.now(), vm: vm.name, code, signal,
			});
			log.end();
			if (!this.#isStopping) {
				setTimeout(() => {
					if (!this.#isStopping) {
						this.startVm(vm);
					}
				}, this.options.restartMs);
			}
		});
	}

	/** Sends a signal to the process of a VM. */
	signal(vm, name) {
		vm.child.kill(name);
	}

	async isReady(vm) {
		try {
			const response = await fetch(`http://${vm.ready}/v1/ready`, {signal: AbortSignal.timeout(500)});
			return response.status === 200;
		} catch {
			return false;
		}
	}

	/** Waits until all VMs are ready and every group has a recorded primary. */
	async waitUntilReady() {
		const deadline = performance.now() + 25_000;
		for (;;) {
			const states = await Promise.all(this.vms.map(async vm => this.isReady(vm)));
			const hasTerms = [...this.groups.keys()].every(service => this.store.get('chicorysaddle', `group/${service}`)?.phase === 'open');
			if (states.every(Boolean) && hasTerms) {
				await pause(1500);
				return;
			}

			if (performance.now() > deadline) {
				const readiness = this.vms.map(({name}, index) => `${name} ${states[index] ? 'ready' : 'not ready'}`);
				throw new Error(`the gateways did not become ready: ${readiness.join(', ')}, terms ${hasTerms ? 'open' : 'not open'}; ended: ${JSON.stringify(this.exits)}`);
			}

			await pause(100);
		}
	}

	/** Returns the VM that holds the coordinator's lease, as the store shows it. */
	findCoordinator() {
		const row = this.store.get('chicorysaddle', 'coordinator');
		return this.vms.find(({name}) => name === row?.holder);
	}

	/** Ends all processes and stand-ins. */
	async stop() {
		this.#isStopping = true;
		const running = [...this.#children].filter(({exitCode, signalCode}) => exitCode === null && signalCode === null);
		for (const child of running) {
			child.kill('SIGKILL');
		}

		const ends = Promise.all(running.map(async child => new Promise(resolve => {
			child.once('exit', resolve);
		})));
		await Promise.race([ends, pause(3000)]);
		for (const platform of this.platforms) {
			platform.close();
		}

		for (const group of this.groups.values()) {
			group.stop();
		}

		rmSync(this.#folder, {recursive: true, force: true});
	}
}

export {pause} from './platform.js';
