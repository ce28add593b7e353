import {randomUUID} from 'node:crypto';
import {formatRow, type StoredRow} from '@chicorysaddle/model';
import {hashKey} from '@chicorysaddle/proxy';
import {type Cluster, type VmProcess} from '../cluster/index.js';
import {type History} from '../history/index.js';
import {type Load} from '../load/index.js';
import {type EndpointServer, type SeededRandom} from '../stand-ins/index.js';

/** Names of the scenarios. */
export type ScenarioName =
	| 'steady' | 'surge' | 'lag' | 'failover' | 'hung-primary' | 'cut-primary' | 'vm-kill' | 'vm-pause' | 'vm-cut' | 'store-outage' | 'store-lost-answers'
	| 'key-withdrawal' | 'config-race' | 'endpoint-leaving' | 'drain' | 'double';

/** What a scenario acts on. */
export type World = {
	readonly cluster: Cluster;
	readonly history: History;
	readonly load: Load;
	readonly random: SeededRandom;
	readonly durationMs: number;
};

/** One scenario: the load it offers and what happens during it. */
export type Scenario = {
	/** Calls offered, as a multiple of each account's rate. */
	readonly offered: number;
	play(world: World): Promise<void>;
};

const pausedMs = 15_000;

async function wait(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

function findPrimary(cluster: Cluster, groupIndex = 0): EndpointServer {
	const primary = cluster.deployment.groups[groupIndex]!.getPrimary();
	return cluster.deployment.servers.find(server => server.instance === primary)!;
}

function pickVm({cluster, random}: World): VmProcess {
	return random.pick(cluster.getReadyVms().length === 0 ? cluster.vms : cluster.getReadyVms());
}

/** Applies rows through one VM, again where another operator was first, and notes when they were accepted. */
export async function applyRows(world: World, rows: readonly StoredRow[], vm = pickVm(world)): Promise<number> {
	const operator = world.cluster.createOperator(vm);
	const writeId = randomUUID();
	for (;;) {
		try {
			const {version} = await operator.getConfiguration({});
			const response = await operator.applyChange({
				expectedVersion: version, author: vm.name, summary: 'test', writeId, rows: rows as never,
			}, {timeoutMs: 8000});
			if (response.result === 'accepted') {
				world.history.accepted.push({at: performance.now(), version: Number(response.version)});
				return Number(response.version);
			}
		} catch {
			// An answer that was lost is asked for again.
		}

		await wait(50);
	}
}

async function withdrawKeys(world: World): Promise<void> {
	for (const account of world.load.accounts.slice(0, 4)) {
		await wait(world.durationMs / 8);
		const old = account.key;
		const fresh = `csk_second-${account.name}`;
		await applyRows(world, [formatRow('key', hashKey(fresh), {account: account.name, label: 'second'})]);
		Object.assign(account, {key: fresh});
		await applyRows(world, [formatRow('key', hashKey(old), undefined)]);
		world.history.withdrawals.push({at: performance.now(), key: old});
		void keepTryingKey(world, old, account.name);
	}
}

/** A caller that does not know that its key is gone. */
async function keepTryingKey({cluster, load}: World, key: string, account: string): Promise<void> {
	const stale = {...load.accounts.find(({name}) => name === account)!, key};
	await load.probeKey(stale, cluster.vms);
}

async function leaveEndpoint(world: World): Promise<void> {
	await wait(world.durationMs / 4);
	const server = world.cluster.deployment.servers.find(({instance}) => !instance.isPrimary)!;
	const {instance} = server;
	const group = world.cluster.deployment.groups.find(({instances}) => instances.includes(instance))!;
	await applyRows(world, [formatRow('endpoint', instance.name, {
		group: group.name, address: server.address, zone: instance.zone, slots: instance.slots, connections: instance.connections, state: 'leaving',
	})]);
	world.history.leavings.push({at: performance.now(), instance: instance.name});
}

async function killPrimary(world: World): Promise<void> {
	await wait(world.durationMs / 3);
	const server = findPrimary(world.cluster);
	server.stop();
	noteFailure(world, server);
	await wait(world.durationMs / 3);
	await server.start();
}

async function hangPrimary(world: World): Promise<void> {
	await wait(world.durationMs / 3);
	const server = findPrimary(world.cluster);
	server.instance.health = 'hung';
	noteFailure(world, server);
	await wait(world.durationMs / 3);
	server.instance.health = 'up';
}

/** The primary loses its group; some proxies still reach it. */
async function cutPrimary(world: World): Promise<void> {
	await wait(world.durationMs / 3);
	const server = findPrimary(world.cluster);
	server.instance.isCutOff = true;
	for (const vm of world.cluster.vms.slice(0, 4)) {
		server.blockedSources.add(vm.address);
	}

	noteFailure(world, server);
	await wait(world.durationMs / 3);
	server.instance.isCutOff = false;
	server.blockedSources.clear();
}

function noteFailure({history}: World, server: EndpointServer): void {
	history.failures.push({at: performance.now(), group: history.groupOfInstance.get(server.instance.name)!});
}

async function killVm(world: World): Promise<void> {
	await wait(world.durationMs / 4);
	const vm = pickVm(world);
	world.cluster.killVm(vm);
	await wait(world.durationMs / 4);
	await world.cluster.startVm(vm);
}

async function pauseVm(world: World): Promise<void> {
	await wait(Math.min(3000, world.durationMs / 8));
	const vm = pickVm(world);
	vm.pause();
	await wait(pausedMs);
	vm.resume();
}

async function cutVm(world: World): Promise<void> {
	await wait(world.durationMs / 4);
	const vm = pickVm(world);
	world.cluster.setCutOff(vm, true);
	await wait(world.durationMs / 2);
	world.cluster.setCutOff(vm, false);
}

async function stopStore(world: World): Promise<void> {
	world.cluster.deployment.platform.isDown = true;
	// An allocator of limits goes first: its loss costs most.
	const {leaseHolder} = await world.cluster.createOperator(world.cluster.vms[0]!).getStatus({});
	const allocator = world.cluster.vms.find(({name}) => leaseHolder.startsWith(name)) ?? world.cluster.vms[0]!;
	const other = world.cluster.vms.find(vm => vm !== allocator)!;
	for (const vm of [allocator, other]) {
		await wait(world.durationMs / 4);
		world.cluster.killVm(vm);
		await wait(500);
		await world.cluster.startVm(vm);
	}
}

async function loseAnswers(world: World): Promise<void> {
	const {platform} = world.cluster.deployment;
	platform.isAnswerLost = () => world.random.getFraction() < 0.5;
	await withdrawKeys(world);
	platform.isAnswerLost = () => false;
}

async function raceOperators(world: World): Promise<void> {
	const until = performance.now() + (world.durationMs * 0.7);
	const race = async (number: number) => {
		const vm = world.cluster.vms[number]!;
		for (let turn = 0; performance.now() < until; turn += 1) {
			await applyRows(world, [formatRow('account', `raced-${number}`, {rate: 1 + turn, burst: 1 + turn, weight: 1})], vm);
			await wait(100);
		}
	};

	await Promise.all([race(0), race(1), race(2)]);
}

async function drainAll(world: World): Promise<void> {
	for (const vm of world.cluster.vms) {
		await world.cluster.drainVm(vm);
		await world.cluster.startVm(vm);
		const until = performance.now() + 10_000;
		while (!vm.isReady && performance.now() < until) {
			await wait(50);
		}
	}
}

const doubled: ReadonlyArray<(world: World) => Promise<void>> = [killPrimary, hangPrimary, cutPrimary, killVm, pauseVm, cutVm, withdrawKeys, stopStoreAwhile, raceOperators];

async function stopStoreAwhile(world: World): Promise<void> {
	const {platform} = world.cluster.deployment;
	await wait(world.durationMs / 5);
	platform.isDown = true;
	await wait(world.durationMs / 2);
	platform.isDown = false;
}

async function playTwo(world: World): Promise<void> {
	const first = world.random.pick(doubled);
	const second = world.random.pick(doubled.filter(other => other !== first));
	await Promise.all([first(world), second(world)]);
}

/** The scenarios by name. */
export const scenarios: Readonly<Record<ScenarioName, Scenario>> = {
	steady: {offered: 0.6, play: async () => undefined},
	surge: {
		offered: 0.9,
		async play({load}) {
			load.accounts[0]!.offered = 5;
		},
	},
	lag: {
		offered: 0.6,
		async play(world) {
			for (const {instance} of world.cluster.deployment.servers) {
				instance.lagMs = 20 + (world.random.getFraction() * 600);
			}
		},
	},
	failover: {offered: 0.6, play: killPrimary},
	'hung-primary': {offered: 0.6, play: hangPrimary},
	'cut-primary': {offered: 0.6, play: cutPrimary},
	'vm-kill': {offered: 0.6, play: killVm},
	'vm-pause': {offered: 0.6, play: pauseVm},
	'vm-cut': {offered: 0.6, play: cutVm},
	'store-outage': {offered: 0.9, play: stopStore},
	'store-lost-answers': {offered: 0.6, play: loseAnswers},
	'key-withdrawal': {offered: 0.6, play: withdrawKeys},
	'config-race': {offered: 0.6, play: raceOperators},
	'endpoint-leaving': {offered: 0.6, play: leaveEndpoint},
	drain: {offered: 0.9, play: drainAll},
	double: {offered: 0.6, play: playTwo},
};
