import {type Settings} from '@chicorysaddle/proxy';
import {Cluster, readCpuMs} from '../cluster/index.js';
import {
	checkHistory, computeRunStatistics, createHistory, type History, type RunStatistics, type ViolationCounts,
} from '../history/index.js';
import {CallerClient, LoadGenerator} from '../load/index.js';
import {SeededRandom} from '../fakes/index.js';
import {
	createAccounts, type DeploymentName, deployments, vmCount,
} from './deployments.js';
import {type ScenarioName, scenarios} from './scenarios.js';

/** Policy under measurement: `product` is the default, the others are baselines. */
export type PolicyName = 'product' | 'primary-only' | 'round-robin' | 'static-split' | 'owner' | 'first-come' | 'at-once';

/** Options of a measurement. */
export type MeasurementOptions = {
	readonly deployment: DeploymentName;
	readonly scenario: ScenarioName;
	/** Duration of the load, in seconds. */
	readonly seconds: number;
	readonly seed: number;
	readonly policy: PolicyName;
	/** Offered calls, as a multiple of each account's rate; by default that of the scenario. */
	readonly offeredLoad?: number | undefined;
};

/** Result of a measurement; written as JSON. */
export type Measurement = Omit<MeasurementOptions, 'offeredLoad'> & RunStatistics & {
	readonly violations: ViolationCounts;
	/** Mean CPU use of a VM, as a fraction of a core. */
	readonly vmCpuShare: number;
	/** Reads of the platform's table by all VMs, per second. */
	readonly storeReads: number;
	/** Writes to the platform's table by all VMs, per second. */
	readonly storeWrites: number;
	/** Number of refusals by kind, and of failed connections. */
	readonly refusals: Readonly<Record<string, number>>;
};

const policySettings: Readonly<Record<PolicyName, Partial<Settings['policy']>>> = {
	product: {},
	'primary-only': {reads: 'primary-only'},
	'round-robin': {reads: 'round-robin'},
	'static-split': {limits: 'static-split'},
	owner: {limits: 'owner'},
	'first-come': {queue: 'first-come'},
	'at-once': {acknowledge: 'at-once'},
};

/** Names of all policies. */
export const policyNames = Object.keys(policySettings) as PolicyName[];

const versionPollIntervalMs = 500;
/** Time between the end of the load and the recording of the final logs, in milliseconds. */
const postLoadSettleMs = 1500;
/** Time before the load in which the rate shares of the VMs converge, in milliseconds. */
const warmUpMs = 5000;

/** Runs a scenario against a cluster and computes the statistics and violations from its history. */
export async function runMeasurement(options: MeasurementOptions): Promise<{measurement: Measurement; history: History}> {
	const profile = deployments[options.deployment];
	const scenario = scenarios[options.scenario];
	const accounts = createAccounts(profile, options.offeredLoad ?? scenario.offeredLoad);
	const cluster = await Cluster.start({
		vms: vmCount,
		deployment: {...profile.deployment, seed: options.seed},
		accounts,
		policy: policySettings[options.policy],
		peerLatencyMs: profile.peerLatencyMs,
		vmListLagMs: 2000,
	});
	const history = createHistory();
	history.limits.push(...accounts.map(({name, rate, burst}) => ({account: name, rate, burst})));
	recordEndpointEvents(cluster, history);
	const stopVersionRecording = startVersionRecording(cluster, history);
	const callerClient = new CallerClient();
	const load = new LoadGenerator(cluster, callerClient, history, accounts, options.seed);
	await delay(warmUpMs);
	const cpuBefore = await sumCpuMs(cluster);
	const countersBefore = {...cluster.deployment.platform.counters};
	load.start();
	const durationMs = options.seconds * 1000;
	const context = {
		cluster, history, load, durationMs, random: new SeededRandom(options.seed + 1),
	};
	await Promise.all([scenario.run(context), delay(durationMs)]);
	await load.stop();
	const cpuShare = (await sumCpuMs(cluster) - cpuBefore) / durationMs / vmCount;
	const {counters} = cluster.deployment.platform;
	await delay(postLoadSettleMs);
	recordFinalLogs(cluster, history);
	stopVersionRecording();
	await callerClient.close();
	for (const vm of cluster.vms) {
		history.daemonLogs.push(...vm.logs);
	}

	await cluster.stop();
	const {offeredLoad: _offered, ...identity} = options;
	return {
		history,
		measurement: {
			...identity,
			...computeRunStatistics(history),
			violations: checkHistory(history),
			vmCpuShare: cpuShare,
			storeReads: (counters.reads - countersBefore.reads) / options.seconds,
			storeWrites: (counters.writes - countersBefore.writes) / options.seconds,
			refusals: countRefusals(history),
		},
	};
}

async function delay(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

function recordEndpointEvents(cluster: Cluster, history: History): void {
	for (const group of cluster.deployment.groups) {
		for (const instance of group.instances) {
			history.groupByInstance.set(instance.name, group.name);
		}
	}

	for (const server of cluster.deployment.servers) {
		server.onEvent = event => {
			history.events.push(event);
		};
	}
}

function startVersionRecording(cluster: Cluster, history: History): () => void {
	const timer = setInterval(() => {
		for (const vm of cluster.vms) {
			if (vm.state !== 'up') {
				continue;
			}

			const {pid, isReady} = vm;
			void (async () => {
				try {
					const status = await cluster.getOperatorClient(vm).getInForce({version: 0n}, {timeoutMs: versionPollIntervalMs});
					history.observedVersions.push({
						at: performance.now(), vm: vm.name, pid, version: Number(status.ownVersion), isReady,
					});
				} catch {
					// A VM that does not respond adds no observation.
				}
			})();
		}
	}, versionPollIntervalMs);
	return () => {
		clearInterval(timer);
	};
}

function recordFinalLogs(cluster: Cluster, history: History): void {
	for (const group of cluster.deployment.groups) {
		history.finalPrimaryLogs.set(group.name, group.getPrimary().log);
	}
}

async function sumCpuMs(cluster: Cluster): Promise<number> {
	const times = await Promise.all(cluster.vms.map(async vm => (vm.state === 'gone' ? 0 : readCpuMs(vm.pid))));
	return times.reduce((sum, time) => sum + time, 0);
}

function countRefusals(history: History): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {outcome, mustBeRefused} of history.calls) {
		if (!mustBeRefused && outcome.kind !== 'answered') {
			const name = outcome.kind === 'broken' ? 'broken' : outcome.refusal;
			counts[name] = (counts[name] ?? 0) + 1;
		}
	}

	return counts;
}
