import {chooseGateway, chooseGateways} from '@chicorysaddle/decisions';
import {type GatewayConfiguration} from '../../configuration/index.js';
import {
	createConfiguration, statements, type TestCaller, TestCluster,
} from '../fakes/test-cluster.js';

/** Accounts of the configuration; their keys are their names. */
export const accountNames = ['small', 'large', 'third', 'fourth', 'fifth'];

/** Number of connections that an instance accepts: fewer than there are VMs. */
export const maxConnections = 10;

/** Creates a configuration with scarce connections. */
export function createScarceConfiguration(changes: Partial<GatewayConfiguration> = {}): GatewayConfiguration {
	return createConfiguration(1, {
		groups: [{name: 'db', maxConnections}],
		accounts: accountNames.map(name => ({
			name, keyDigests: [name], priority: 1, ratePerS: 1000, burst: 1000,
		})),
		...changes,
	});
}

/** VMs that share fewer connections to each instance than there are VMs. */
export class ScarceCluster extends TestCluster {
	readonly vmNames: readonly string[];

	constructor(vmCount = 12) {
		const vms = Array.from({length: vmCount}, (_, index) => `vm${index + 1}`);
		super(vms);
		this.vmNames = vms;
		this.isForwardingEnabled = true;
		Object.assign(this.database.options, {
			slots: 3, queue: 24, handshakeMs: 12, serviceMs: 10, maxConnections,
		});
	}

	/** Starts all VMs and waits until they know the gateways. */
	async startAll(configuration = createScarceConfiguration()): Promise<void> {
		await this.start(configuration);
		await this.time.advance(1500);
	}

	/** Returns the names of the gateways of an instance, if all VMs can be chosen. */
	getGateways(instanceId = this.database.primary.id): string[] {
		return this.#chooseGateways(instanceId).map(({vm}) => vm);
	}

	/** Returns the gateway of an account at an instance. */
	getGatewayOf(account: string, instanceId = this.database.primary.id): string {
		return chooseGateway(this.#createInstance(instanceId), account, this.#chooseGateways(instanceId))!.vm;
	}

	/** Returns a VM that is neither a gateway of an instance nor the coordinator. */
	getEntryVm(instanceId = this.database.primary.id): string {
		const gateways = this.getGateways(instanceId);
		return this.vmNames.find(vm => !gateways.includes(vm) && vm !== this.getCoordinator())!;
	}

	/** Sends a read or write from an entry VM once, so that the link to the gateway is open. */
	async warm(caller: TestCaller): Promise<void> {
		await caller.sendAndWait({kind: 'read', text: 'READ warm'});
	}

	/** Returns a counter of a VM. */
	getCount(vm: string, name: string): number {
		return this.getGateway(vm).metrics.getCount(name);
	}

	/** Sums a counter over all VMs. */
	sumCounts(name: string): number {
		return this.vmNames.reduce((sum, vm) => sum + this.getCount(vm, name), 0);
	}

	/** Counts the connections that all VMs have opened. */
	countOpened(): number {
		return [...this.connectors.values()].reduce((sum, connector) => sum + connector.openedConnections, 0);
	}

	#chooseGateways(instanceId: string) {
		return chooseGateways(this.#createInstance(instanceId), this.vmNames.map(vm => ({
			vm, zone: this.zones.get(vm) ?? 'a', region: '', capacity: this.capacity, isDraining: false,
		})).filter(({vm}) => !this.formerVms.has(vm)));
	}

	#createInstance(id: string) {
		return {
			id, zone: 'a', region: '', connections: maxConnections,
		};
	}
}

/** A cluster with an entry VM whose link to the gateway of an account is open. */
export type Scene = {
	readonly cluster: ScarceCluster;
	readonly entry: string;
	readonly gateway: string;
	readonly account: string;
	readonly caller: TestCaller;
};

/** Starts a cluster, and forwards a statement of an account whose gateway is not the coordinator. */
export async function startScene(database = 'strict', candidates: readonly string[] = accountNames, configuration = createScarceConfiguration()): Promise<Scene> {
	const cluster = new ScarceCluster();
	await cluster.startAll(configuration);
	const account = candidates.find(name => cluster.getGatewayOf(name) !== cluster.getCoordinator())!;
	const gateway = cluster.getGatewayOf(account);
	const entry = cluster.getEntryVm();
	const caller = cluster.openSession(entry, database, account);
	await caller.sendAndWait(statements.write);
	await cluster.time.advance(200);
	return {
		cluster, entry, gateway, account, caller,
	};
}
