import {Agent} from 'node:http';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {type Client, createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {OperatorService} from '@chicorysaddle/protocol';
import {hashKey, type Settings} from '@chicorysaddle/proxy';
import {bootstrapConfiguration, type InitialAccount} from '../embedded/bootstrap.js';
import {createFakeDeployment, type FakeDeployment, type FakeDeploymentOptions} from '../fakes/index.js';
import {Link} from './link.js';
import {VmProcess} from './vm-process.js';

/** Options of a cluster. */
export type ClusterOptions = {
	/** Number of VMs. */
	readonly vms: number;
	readonly deployment: FakeDeploymentOptions;
	readonly accounts: readonly InitialAccount[];
	readonly policy: Partial<Settings['policy']>;
	/** One-way network latency between VMs, in milliseconds. */
	readonly peerLatencyMs: number;
	/** Delay until a change is visible in the platform's VM list, in milliseconds. */
	readonly vmListLagMs: number;
	/** Whether the groups record request ids; true by default. */
	readonly recordsRequestIds?: boolean;
};

type VmListChange = {readonly at: number; readonly name: string; readonly isListed: boolean};

const operatorToken = 'operator-token-of-the-tests';
const peerSecret = 'peer-secret-of-the-tests';
const readinessPollIntervalMs = 250;

/** Daemon processes in front of a fake deployment, connected by links with latency and faults. */
export class Cluster {
	readonly vms: VmProcess[] = [];
	readonly #links = new Map<string, Link>();
	readonly #operatorClients = new Map<string, Client<typeof OperatorService>>();
	readonly #vmListChanges: VmListChange[] = [];
	#settingsFolder = '';
	#readinessTimer: NodeJS.Timeout | undefined;

	private constructor(readonly deployment: FakeDeployment, private readonly options: ClusterOptions) {}

	/** Starts the fake deployment, the links and the daemons, and waits until every VM is ready. */
	static async start(options: ClusterOptions): Promise<Cluster> {
		const deployment = await createFakeDeployment(options.deployment);
		const cluster = new Cluster(deployment, options);
		cluster.#settingsFolder = await mkdtemp(path.join(tmpdir(), 'chicorysaddle-'));
		const {zones} = options.deployment;
		for (let index = 0; index < options.vms; index += 1) {
			cluster.vms.push(new VmProcess(`vm-${index + 1}`, zones[index % zones.length]!, `127.0.1.${index + 1}`));
		}

		await cluster.#startLinks();
		deployment.platform.listVms = source => cluster.#getVmList(source);
		await bootstrapConfiguration(deployment, {accounts: options.accounts, voters: cluster.vms.map(vm => vm.name), recordsRequestIds: options.recordsRequestIds ?? true});
		await Promise.all(cluster.vms.map(async vm => cluster.startVm(vm)));
		cluster.#readinessTimer = setInterval(() => {
			void cluster.#pollReadiness();
		}, readinessPollIntervalMs);
		await cluster.waitUntilReady();
		return cluster;
	}

	/** Starts the daemon of a VM and waits until its ports are bound; the platform's VM list changes after the configured lag. */
	async startVm(vm: VmProcess): Promise<void> {
		const file = path.join(this.#settingsFolder, `${vm.name}.toml`);
		await writeFile(file, this.#formatSettings(vm));
		this.#vmListChanges.push({at: performance.now(), name: vm.name, isListed: true});
		await vm.start(file);
	}

	/** Kills a VM with SIGKILL; the platform's VM list changes after the configured lag. */
	killVm(vm: VmProcess): void {
		vm.kill();
		this.#vmListChanges.push({at: performance.now(), name: vm.name, isListed: false});
	}

	/** Shuts down a VM gracefully and returns the exit code of the daemon. */
	async drainVm(vm: VmProcess): Promise<number> {
		const code = await vm.drain();
		this.#vmListChanges.push({at: performance.now(), name: vm.name, isListed: false});
		return code;
	}

	/** Isolates a VM from its peers, the platform and the endpoints, or reconnects it. */
	setIsolated(vm: VmProcess, isIsolated: boolean): void {
		for (const [name, link] of this.#links) {
			if (name.startsWith(`${vm.name}>`) || name.endsWith(`>${vm.name}`)) {
				link.isDropping = isIsolated;
			}
		}

		for (const blockedSources of [this.deployment.platform.blockedSources, ...this.deployment.servers.map(server => server.blockedSources)]) {
			if (isIsolated) {
				blockedSources.add(vm.address);
			} else {
				blockedSources.delete(vm.address);
			}
		}
	}

	/** Returns the number of bytes sent between VMs. */
	countPeerBytes(): number {
		let byteCount = 0;
		for (const link of this.#links.values()) {
			byteCount += link.byteCount;
		}

		return byteCount;
	}

	/** Returns the VMs that a load balancer would use: those that reported readiness at the last poll. */
	getReadyVms(): VmProcess[] {
		return this.vms.filter(vm => vm.isReady);
	}

	/** Waits until every VM is ready; throws after a timeout, in milliseconds. */
	async waitUntilReady(timeoutMs = 30_000): Promise<void> {
		const deadline = performance.now() + timeoutMs;
		while (this.vms.some(vm => !vm.isReady)) {
			if (performance.now() > deadline) {
				throw new Error(`VMs did not become ready before the timeout: ${this.vms.filter(vm => !vm.isReady).map(vm => vm.name).join(', ')}`);
			}

			await new Promise(resolve => {
				setTimeout(resolve, 20);
			});
		}
	}

	/** Returns the client of a VM's operator port, created on first use. */
	getOperatorClient(vm: VmProcess): Client<typeof OperatorService> {
		const address = `${vm.address}:${vm.ports.operator}`;
		const existing = this.#operatorClients.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const client = createClient(OperatorService, createConnectTransport({
			baseUrl: `http://${address}`,
			httpVersion: '1.1',
			nodeOptions: {agent: new Agent({keepAlive: true})},
			interceptors: [next => async request => {
				request.header.set('authorization', `Bearer ${operatorToken}`);
				return next(request);
			}],
		}));
		this.#operatorClients.set(address, client);
		return client;
	}

	/** Kills the daemons, and stops the links and the fake deployment. */
	async stop(): Promise<void> {
		clearInterval(this.#readinessTimer);
		for (const vm of this.vms) {
			vm.kill();
		}

		for (const link of this.#links.values()) {
			link.stop();
		}

		this.deployment.stop();
		await rm(this.#settingsFolder, {recursive: true});
	}

	async #startLinks(): Promise<void> {
		for (const from of this.vms) {
			for (const to of this.vms) {
				if (from !== to) {
					const link = new Link(() => (to.state === 'gone' ? undefined : {host: to.address, port: to.ports.peer}), this.options.peerLatencyMs);
					await link.start();
					this.#links.set(`${from.name}>${to.name}`, link);
				}
			}
		}
	}

	/** Returns the VM list as of the configured lag ago, with the addresses of the links that start at the requesting VM. */
	#getVmList(source: string): ReturnType<FakeDeployment['platform']['listVms']> {
		const visibleUntil = performance.now() - this.options.vmListLagMs;
		const listedNames = new Set<string>();
		for (const change of this.#vmListChanges) {
			if (change.at <= visibleUntil && change.isListed) {
				listedNames.add(change.name);
			} else if (change.at <= visibleUntil) {
				listedNames.delete(change.name);
			}
		}

		const from = this.vms.find(vm => vm.address === source);
		return this.vms.filter(vm => listedNames.has(vm.name)).map(vm => ({
			name: vm.name, address: this.#links.get(`${from?.name}>${vm.name}`)?.address ?? '', zone: vm.zone, state: 'live' as const,
		}));
	}

	async #pollReadiness(): Promise<void> {
		await Promise.all(this.vms.map(async vm => {
			if (vm.state === 'gone' || vm.state === 'starting') {
				vm.isReady = false;
				return;
			}

			try {
				const response = await fetch(`http://${vm.address}:${vm.ports.operator}/readyz`, {signal: AbortSignal.timeout(readinessPollIntervalMs * 2)});
				await response.text();
				vm.isReady = response.ok;
			} catch {
				vm.isReady = false;
			}
		}));
	}

	#formatSettings(vm: VmProcess): string {
		const {policy} = this.options;
		return `
[vm]
name = "${vm.name}"
zone = "${vm.zone}"
address = "${vm.address}"
source_address = "${vm.address}"
[ports]
caller = 0
peer = 0
operator = 0
[platform]
address = "127.0.0.1:${this.deployment.platform.port}"
[peers]
secret = "${peerSecret}"
[operator]
token_hashes = ["${hashKey(operatorToken)}"]
[policy]
${Object.entries(policy).map(([name, value]) => `${name} = "${value}"`).join('\n')}
`;
	}
}
