import {randomUUID} from 'node:crypto';
import {formatRow, type StoredRow} from '@chicorysaddle/model';
import {hashKey} from '@chicorysaddle/proxy';
import {type Cluster, type VmProcess} from '../cluster/index.js';
import {type History} from '../history/index.js';
import {type LoadGenerator} from '../load/index.js';
import {type FakeEndpointServer, type SeededRandom} from '../fakes/index.js';

/** Name of a scenario. */
export type ScenarioName =
	| 'steady' | 'surge' | 'lag' | 'failover' | 'hung-primary' | 'cut-primary' | 'vm-kill' | 'vm-pause' | 'vm-cut' | 'store-outage' | 'store-lost-answers'
	| 'key-withdrawal' | 'config-race' | 'endpoint-leaving' | 'drain' | 'double';

/** Objects that a scenario acts on. */
export type ScenarioContext = {
	readonly cluster: Cluster;
	readonly history: History;
	readonly load: LoadGenerator;
	readonly random: SeededRandom;
	/** Duration of the load, in milliseconds. */
	readonly durationMs: number;
};

/** Offered load and the faults or changes during it. */
export type Scenario = {
	/** Offered calls, as a multiple of each account's rate. */
	readonly offeredLoad: number;
	run(context: ScenarioContext): Promise<void>;
};

const vmPauseMs = 15_000;

async function delay(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

function findPrimaryServer(cluster: Cluster, groupIndex = 0): FakeEndpointServer {
	const primary = cluster.deployment.groups[groupIndex]!.getPrimary();
	return cluster.deployment.servers.find(server => server.instance === primary)!;
}

/** Chooses a ready VM at random, or any VM if none is ready. */
function chooseVm({cluster, random}: ScenarioContext): VmProcess {
	return random.chooseItem(cluster.getReadyVms().length === 0 ? cluster.vms : cluster.getReadyVms());
}

/** Applies configuration rows through one VM, retries until they are accepted, and records and returns the accepted version. */
export async function applyConfigurationRows(context: ScenarioContext, rows: readonly StoredRow[], vm = chooseVm(context)): Promise<number> {
	const operator = context.cluster.getOperatorClient(vm);
	const writeId = randomUUID();
	for (;;) {
		try {
			const {version} = await operator.getConfiguration({});
			const response = await operator.applyChange({
				expectedVersion: version, author: vm.name, summary: 'test', writeId, rows: rows as never,
			}, {timeoutMs: 8000});
			if (response.result === 'accepted') {
				context.history.acceptedVersions.push({at: performance.now(), version: Number(response.version)});
				return Number(response.version);
			}
		} catch {
			// The response may be lost; the next attempt repeats the change under the same write id.
		}

		await delay(50);
	}
}

async function withdrawKeys(context: ScenarioContext): Promise<void> {
	for (const account of context.load.accounts.slice(0, 4)) {
		await delay(context.durationMs / 8);
		const oldKey = account.key;
		const newKey = `csk_second-${account.name}`;
		await applyConfigurationRows(context, [formatRow('key', hashKey(newKey), {account: account.name, label: 'second'})]);
		Object.assign(account, {key: newKey});
		await applyConfigurationRows(context, [formatRow('key', hashKey(oldKey), undefined)]);
		context.history.keyWithdrawals.push({at: performance.now(), key: oldKey});
		void sendReadsWithOldKey(context, oldKey, account.name);
	}
}

/** Simulates a caller that still uses a withdrawn key. */
async function sendReadsWithOldKey({cluster, load}: ScenarioContext, key: string, account: string): Promise<void> {
	const accountWithOldKey = {...load.accounts.find(({name}) => name === account)!, key};
	await load.sendReadsWithKey(accountWithOldKey, cluster.vms);
}

async function removeEndpoint(context: ScenarioContext): Promise<void> {
	await delay(context.durationMs / 4);
	const server = context.cluster.deployment.servers.find(({instance}) => !instance.isPrimary)!;
	const {instance} = server;
	const group = context.cluster.deployment.groups.find(({instances}) => instances.includes(instance))!;
	await applyConfigurationRows(context, [formatRow('endpoint', instance.name, {
		group: group.name, address: server.address, zone: instance.zone, slots: instance.slots, connections: instance.connections, state: 'leaving',
	})]);
	context.history.leavingEndpoints.push({at: performance.now(), instance: instance.name});
}

async function killPrimary(context: ScenarioContext): Promise<void> {
	await delay(context.durationMs / 3);
	const server = findPrimaryServer(context.cluster);
	server.stop();
	recordPrimaryFailure(context, server);
	await delay(context.durationMs / 3);
	await server.start();
}

async function hangPrimary(context: ScenarioContext): Promise<void> {
	await delay(context.durationMs / 3);
	const server = findPrimaryServer(context.cluster);
	server.instance.health = 'hung';
	recordPrimaryFailure(context, server);
	await delay(context.durationMs / 3);
	server.instance.health = 'up';
}

/** Isolates the primary from its group and the first four VMs; the other VMs still reach it. */
async function isolatePrimary(context: ScenarioContext): Promise<void> {
	await delay(context.durationMs / 3);
	const server = findPrimaryServer(context.cluster);
	server.instance.isIsolated = true;
	for (const vm of context.cluster.vms.slice(0, 4)) {
		server.blockedSources.add(vm.address);
	}

	recordPrimaryFailure(context, server);
	await delay(context.durationMs / 3);
	server.instance.isIsolated = false;
	server.blockedSources.clear();
}

function recordPrimaryFailure({history}: ScenarioContext, server: FakeEndpointServer): void {
	history.primaryFailures.push({at: performance.now(), group: history.groupByInstance.get(server.instance.name)!});
}

async function killVm(context: ScenarioContext): Promise<void> {
	await delay(context.durationMs / 4);
	const vm = chooseVm(context);
	context.cluster.killVm(vm);
	await delay(context.durationMs / 4);
	await context.cluster.startVm(vm);
}

async function pauseVm(context: ScenarioContext): Promise<void> {
	await delay(Math.min(3000, context.durationMs / 8));
	const vm = chooseVm(context);
	vm.pause();
	await delay(vmPauseMs);
	vm.resume();
}

async function isolateVm(context: ScenarioContext): Promise<void> {
	await delay(context.durationMs / 4);
	const vm = chooseVm(context);
	context.cluster.setIsolated(vm, true);
	await delay(context.durationMs / 2);
	context.cluster.setIsolated(vm, false);
}

async function stopStoreAndRestartVms(context: ScenarioContext): Promise<void> {
	context.cluster.deployment.platform.isDown = true;
	// The allocator of the rate limits is killed first, because its loss has the largest effect.
	const {leaseHolder} = await context.cluster.getOperatorClient(context.cluster.vms[0]!).getStatus({});
	const allocator = context.cluster.vms.find(({name}) => leaseHolder.startsWith(name)) ?? context.cluster.vms[0]!;
	const other = context.cluster.vms.find(vm => vm !== allocator)!;
	for (const vm of [allocator, other]) {
		await delay(context.durationMs / 4);
		context.cluster.killVm(vm);
		await delay(500);
		await context.cluster.startVm(vm);
	}
}

async function loseStoreResponses(context: ScenarioContext): Promise<void> {
	const {platform} = context.cluster.deployment;
	platform.isWriteResponseLost = () => context.random.nextFraction() < 0.5;
	await withdrawKeys(context);
	platform.isWriteResponseLost = () => false;
}

async function raceConfigurationChanges(context: ScenarioContext): Promise<void> {
	const deadline = performance.now() + (context.durationMs * 0.7);
	const changeRepeatedly = async (operatorIndex: number) => {
		const vm = context.cluster.vms[operatorIndex]!;
		for (let round = 0; performance.now() < deadline; round += 1) {
			await applyConfigurationRows(context, [formatRow('account', `raced-${operatorIndex}`, {rate: 1 + round, burst: 1 + round, weight: 1})], vm);
			await delay(100);
		}
	};

	await Promise.all([changeRepeatedly(0), changeRepeatedly(1), changeRepeatedly(2)]);
}

async function drainAllVms(context: ScenarioContext): Promise<void> {
	for (const vm of context.cluster.vms) {
		await context.cluster.drainVm(vm);
		await context.cluster.startVm(vm);
		const deadline = performance.now() + 10_000;
		while (!vm.isReady && performance.now() < deadline) {
			await delay(50);
		}
	}
}

/** Faults of which the scenario `double` runs two at once. */
const combinableFaults: ReadonlyArray<(context: ScenarioContext) => Promise<void>> = [killPrimary, hangPrimary, isolatePrimary, killVm, pauseVm, isolateVm, withdrawKeys, stopStoreTemporarily, raceConfigurationChanges];

async function stopStoreTemporarily(context: ScenarioContext): Promise<void> {
	const {platform} = context.cluster.deployment;
	await delay(context.durationMs / 5);
	platform.isDown = true;
	await delay(context.durationMs / 2);
	platform.isDown = false;
}

async function runTwoFaults(context: ScenarioContext): Promise<void> {
	const first = context.random.chooseItem(combinableFaults);
	const second = context.random.chooseItem(combinableFaults.filter(other => other !== first));
	await Promise.all([first(context), second(context)]);
}

/** All scenarios by name. */
export const scenarios: Readonly<Record<ScenarioName, Scenario>> = {
	steady: {offeredLoad: 0.6, run: async () => undefined},
	surge: {
		offeredLoad: 0.9,
		async run({load}) {
			load.accounts[0]!.offeredLoad = 5;
		},
	},
	lag: {
		offeredLoad: 0.6,
		async run(context) {
			for (const {instance} of context.cluster.deployment.servers) {
				instance.lagMs = 20 + (context.random.nextFraction() * 600);
			}
		},
	},
	failover: {offeredLoad: 0.6, run: killPrimary},
	'hung-primary': {offeredLoad: 0.6, run: hangPrimary},
	'cut-primary': {offeredLoad: 0.6, run: isolatePrimary},
	'vm-kill': {offeredLoad: 0.6, run: killVm},
	'vm-pause': {offeredLoad: 0.6, run: pauseVm},
	'vm-cut': {offeredLoad: 0.6, run: isolateVm},
	'store-outage': {offeredLoad: 0.9, run: stopStoreAndRestartVms},
	'store-lost-answers': {offeredLoad: 0.6, run: loseStoreResponses},
	'key-withdrawal': {offeredLoad: 0.6, run: withdrawKeys},
	'config-race': {offeredLoad: 0.6, run: raceConfigurationChanges},
	'endpoint-leaving': {offeredLoad: 0.6, run: removeEndpoint},
	drain: {offeredLoad: 0.9, run: drainAllVms},
	double: {offeredLoad: 0.6, run: runTwoFaults},
};
