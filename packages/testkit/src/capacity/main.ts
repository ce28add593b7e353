import process from 'node:process';
import {
	AdmissionControl, type DemandReport, FreshnessTracker, ShareAllocator,
} from '@chicorysaddle/decisions';
import {Configuration, formatRow, type StoredRow} from '@chicorysaddle/model';
import {Cluster, readCpuMs} from '../cluster/index.js';
import {createAccounts, deployments} from '../measure/index.js';

/** Cost of one more unit of something, such as an account or a VM. */
type UnitCost = {readonly name: string; readonly value: number; readonly unit: string};

const limits = {rate: 10, burst: 10, weight: 1};

/** Returns the heap size after a garbage collection, in bytes. */
function getHeapBytes(): number {
	(globalThis as {gc?: () => void}).gc?.();
	return process.memoryUsage().heapUsed;
}

/** Measures the mean heap size of an item, in bytes, when `create` returns `count` items. */
function measureHeapBytes(count: number, create: () => unknown): number {
	const before = getHeapBytes();
	const retained = create();
	const after = getHeapBytes();
	return retained === undefined ? 0 : (after - before) / count;
}

/** Measures the mean duration of a task, in microseconds. */
function measureMicroseconds(count: number, task: (index: number) => void): number {
	const startedAt = performance.now();
	for (let index = 0; index < count; index += 1) {
		task(index);
	}

	return ((performance.now() - startedAt) * 1000) / count;
}

function createRows(kind: 'account' | 'key' | 'endpoint', count: number): StoredRow[] {
	return Array.from({length: count}, (_, index) => {
		if (kind === 'account') {
			return formatRow('account', `account-${index}`, limits);
		}

		return kind === 'key'
			? formatRow('key', index.toString(16).padStart(64, '0'), {account: `account-${index}`, label: ''})
			: formatRow('endpoint', `endpoint-${index}`, {
				group: 'g', address: '127.0.0.1:1', zone: 'z', slots: 5, connections: 30, state: 'active',
			});
	});
}

function measureConfiguration(): UnitCost[] {
	const count = 50_000;
	const createConfiguration = (rows: StoredRow[]) => () => {
		const configuration = new Configuration();
		configuration.applyChange({
			version: 1, writeId: 'w', author: 'a', summary: '', rows: [formatRow('group', 'g', {recordsRequestIds: true}), ...rows],
		}).ifLeft(errors => {
			throw new Error(errors[0]);
		});
		return configuration;
	};

	const accounts = createRows('account', count);
	const configuration = createConfiguration(accounts)();
	const keys = createRows('key', count);
	const accountBytes = measureHeapBytes(count, createConfiguration(accounts));
	const keyBytes = measureHeapBytes(count, createConfiguration([...accounts, ...keys])) - accountBytes;
	const changeMicroseconds = measureMicroseconds(1000, index => {
		configuration.applyChange({
			version: index + 2, writeId: 'w', author: 'a', summary: '', rows: [formatRow('account', `account-${index}`, {...limits, rate: 20})],
		});
	});
	return [
		{name: 'memory per client account', value: accountBytes, unit: 'B'},
		{name: 'memory per key', value: keyBytes, unit: 'B'},
		{name: 'memory per endpoint', value: measureHeapBytes(count, createConfiguration(createRows('endpoint', count))), unit: 'B'},
		{name: 'CPU time to apply a change of one row', value: changeMicroseconds, unit: 'us'},
	];
}

function measureAllocator(): UnitCost[] {
	const vms = 7;
	const accounts = 1000;
	const allocator = new ShareAllocator(0, () => limits);
	const createReport = (vm: number): DemandReport => ({
		vm: `vm-${vm}`, incarnation: '1', appliedSequence: 0, leaving: false, partial: false,
		accounts: Array.from({length: accounts}, (_, index) => ({
			account: `account-${index}`, perSecond: 1, waiting: 0, heldTokens: 0, returnedTokens: 0,
		})),
	});
	const reports = Array.from({length: vms}, (_, vm) => createReport(vm));
	const allocatorBytes = measureHeapBytes(accounts * vms, () => {
		for (const report of reports) {
			allocator.createGrant(report, 1e9, 1);
		}

		return allocator;
	});
	const reportMicroseconds = measureMicroseconds(70, index => {
		allocator.createGrant(reports[index % vms]!, 1e9, 2 + index);
	}) / accounts;
	const admission = new AdmissionControl(() => limits);
	const admissionMicroseconds = measureMicroseconds(100_000, index => {
		admission.requestAdmission(index, 'a', index, index);
	});
	return [
		{name: 'allocator memory per account and VM', value: allocatorBytes, unit: 'B'},
		{name: 'allocator CPU time per account in the report of one of 7 VMs', value: reportMicroseconds, unit: 'us'},
		{name: 'CPU time per admission', value: admissionMicroseconds, unit: 'us'},
	];
}

function measureFreshness(): UnitCost[] {
	const voters = Array.from({length: 2700}, (_, index) => `vm-${index}`);
	const freshness = new FreshnessTracker('vm-0', 2500, 0);
	for (const voter of voters) {
		freshness.recordPeerSync(voter, 10, []);
	}

	return [{
		name: 'CPU time of a majority freshness check, per voter', value: measureMicroseconds(50, () => {
			freshness.isFresh(voters, 20);
		}) / voters.length, unit: 'us',
	}];
}

/** Runs an idle cluster and returns the resource use of one VM; rates are per second. */
async function measureCluster(vms: number): Promise<{cpuPercent: number; peerBytes: number; probeBytes: number; storeReads: number; memoryMb: number}> {
	const profile = deployments.humidis;
	const cluster = await Cluster.start({
		vms, deployment: profile.deployment, accounts: createAccounts(profile, 0), policy: {}, peerLatencyMs: 1, vmListLagMs: 2000,
	});
	const settleMs = 15_000;
	const windowMs = 15_000;
	await delay(settleMs);
	const before = await readClusterUsage(cluster);
	await delay(windowMs);
	const after = await readClusterUsage(cluster);
	await cluster.stop();
	const perVmSecond = (from: number, to: number) => (to - from) / vms / (windowMs / 1000);
	return {
		// 10 ms of CPU time per second are 1% of a core.
		cpuPercent: perVmSecond(before.cpuMs, after.cpuMs) / 10,
		peerBytes: perVmSecond(before.peerBytes, after.peerBytes),
		probeBytes: perVmSecond(before.probeBytes, after.probeBytes),
		storeReads: perVmSecond(before.storeReads, after.storeReads),
		memoryMb: after.memoryMb / vms,
	};
}

async function readClusterUsage(cluster: Cluster): Promise<{cpuMs: number; peerBytes: number; probeBytes: number; storeReads: number; memoryMb: number}> {
	const cpu = await Promise.all(cluster.vms.map(async vm => readCpuMs(vm.pid)));
	const memory = await Promise.all(cluster.vms.map(async vm => vm.readMemoryMb()));
	const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
	return {
		cpuMs: sum(cpu),
		// Each byte on a link is sent by one VM and received by another.
		peerBytes: cluster.countPeerBytes() * 2,
		probeBytes: sum(cluster.deployment.servers.map(server => server.countBytes())),
		storeReads: cluster.deployment.platform.counters.reads,
		memoryMb: sum(memory),
	};
}

async function delay(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

const unitCosts: UnitCost[] = [...measureConfiguration(), ...measureAllocator(), ...measureFreshness()];
const smallCluster = await measureCluster(3);
const largeCluster = await measureCluster(7);
// The large cluster has four more peers per VM than the small one.
unitCosts.push(
	{name: 'control CPU per VM in an idle cluster of 7 VMs', value: largeCluster.cpuPercent, unit: '% of a core'},
	{name: 'control CPU per VM and peer', value: (largeCluster.cpuPercent - smallCluster.cpuPercent) / 4, unit: '% of a core'},
	{name: 'peer traffic per VM in an idle cluster of 7 VMs, sent and received', value: largeCluster.peerBytes, unit: 'B/s'},
	{name: 'peer traffic per VM and peer', value: (largeCluster.peerBytes - smallCluster.peerBytes) / 4, unit: 'B/s'},
	{name: 'probe traffic per VM in an idle cluster of 7 VMs and 9 instances', value: largeCluster.probeBytes, unit: 'B/s'},
	{name: 'store reads per VM', value: largeCluster.storeReads, unit: '/s'},
	{name: 'resident memory per idle VM', value: largeCluster.memoryMb, unit: 'MB'},
);
for (const {name, value, unit} of unitCosts) {
	process.stdout.write(`${name}: ${value.toPrecision(3)} ${unit}\n`);
}

process.exit(0);
