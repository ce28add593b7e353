import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import sade from 'sade';
import {deployments, type DeploymentName} from './deployments.js';
import {
	type Measurement, type PolicyName, policyNames, runMeasurement,
} from './run-measurement.js';
import {type ScenarioName, scenarios} from './scenarios.js';

type Flags = {
	readonly deployment: string; readonly scenario: string; readonly seconds: number; readonly seed: number; readonly policy: string; readonly json?: string; readonly offered?: number;
};

const exitCodes = {violations: 1, badArguments: 2} as const;

function parseName<T extends string>(kind: string, name: string, allowedNames: readonly T[]): T {
	const match = allowedNames.find(other => other === name);
	if (match === undefined) {
		process.stderr.write(`unknown ${kind} "${name}"; expected one of: ${allowedNames.join(', ')}\n`);
		process.exit(exitCodes.badArguments);
	}

	return match;
}

function printMeasurement(measurement: Measurement): void {
	const violated = Object.entries(measurement.violations).filter(([, times]) => times > 0);
	process.stdout.write(`${[
		`${measurement.deployment} ${measurement.scenario} seed ${measurement.seed} policy ${measurement.policy}`,
		`  requests ${measurement.requests}, refused ${measurement.refused}, refusals and failed connections by kind ${JSON.stringify(measurement.refusals)}`,
		`  share of reads served by replicas ${measurement.replicaReadShare.toFixed(3)}, failover gap ${measurement.failoverGapMs} ms`,
		`  served share of the worst served account ${measurement.worstServedAccountShare.toFixed(4)}, share refused within rate limits ${measurement.refusedInsideRate.toFixed(4)}`,
		`  latency p50 ${measurement.latencyMs.p50.toFixed(1)} p99 ${measurement.latencyMs.p99.toFixed(1)} max ${measurement.latencyMs.max.toFixed(0)} ms`,
		`  CPU per VM ${(measurement.vmCpuShare * 100).toFixed(1)}% of a core, store reads ${measurement.storeReads.toFixed(1)}/s, store writes ${measurement.storeWrites.toFixed(1)}/s`,
		`  violations ${violated.length === 0 ? 'none' : JSON.stringify(Object.fromEntries(violated))}`,
	].join('\n')}\n`);
}

async function runMeasurements(flags: Flags): Promise<void> {
	const deployment = parseName('deployment', flags.deployment, Object.keys(deployments) as DeploymentName[]);
	const scenario = parseName('scenario', flags.scenario, Object.keys(scenarios) as ScenarioName[]);
	const policies = flags.policy.split(',').map(name => parseName<PolicyName>('policy', name, policyNames));
	const measurements: Measurement[] = [];
	for (const policy of policies) {
		const {measurement} = await runMeasurement({
			deployment, scenario, policy, seconds: Number(flags.seconds), seed: Number(flags.seed), offeredLoad: flags.offered,
		});
		printMeasurement(measurement);
		measurements.push(measurement);
	}

	const [first, ...baselines] = measurements;
	if (flags.json !== undefined) {
		await writeFile(flags.json, `${JSON.stringify(baselines.length === 0 ? first : {...first, baselines}, undefined, '\t')}\n`);
	}

	process.exit(Object.values(first!.violations).some(times => times > 0) ? exitCodes.violations : 0);
}

sade('measure', true)
	.describe('Runs seven daemons against a fake platform and fake instances under the load of eight accounts, and prints statistics and violations.')
	.option('--deployment', 'humidis or cathair', 'humidis')
	.option('--scenario', Object.keys(scenarios).join(', '), 'steady')
	.option('--seconds', 'Duration of the load, in seconds', 20)
	.option('--seed', 'Seed of the random number generators', 1)
	.option('--policy', `Comma-separated list of policies to measure, one after another: ${policyNames.join(', ')}`, 'product')
	.option('--offered', 'Offered load, as a multiple of each account\'s rate limit; chosen by the scenario if absent')
	.option('--json', 'File to write the results to, as JSON')
	.action(runMeasurements)
	.parse(process.argv);
