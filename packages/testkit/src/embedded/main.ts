import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {hashKey, Proxy, settingsSchema} from '@chicorysaddle/proxy';
import {createFakeDeployment} from '../fakes/index.js';
import {bootstrapConfiguration} from './bootstrap.js';

const callerPort = Number(process.env.PORT ?? 7000);

/** Runs one proxy in front of a fake platform and three fake database groups in the same process. */
async function runEmbedded(): Promise<void> {
	const key = `csk_${randomBytes(12).toString('hex')}`;
	const deployment = await createFakeDeployment({
		groups: ['inspections', 'reports', 'certificates'], zones: ['quimper', 'lorient', 'saint-brieuc'], slots: 5, connections: 30,
	});
	deployment.platform.listVms = () => [{
		name: 'local', address: '', zone: 'quimper', state: 'live',
	}];
	const operatorToken = randomBytes(12).toString('hex');
	await bootstrapConfiguration(deployment, {
		accounts: [{
			name: 'demo', rate: 50, burst: 50, key,
		}], voters: ['local'],
	});
	const proxy = await Proxy.start(settingsSchema.parse({
		vm: {name: 'local', zone: 'quimper'},
		ports: {caller: callerPort, peer: 0, operator: 0},
		platform: {address: `127.0.0.1:${deployment.platform.port}`},
		peers: {secret: randomBytes(16).toString('hex')},
		operator: {token_hashes: [hashKey(operatorToken)]},
		log: {level: 'warn'},
	}));
	const baseUrl = `http://127.0.0.1:${proxy.callerPort}/chicorysaddle.caller.v1.DatabaseService`;
	const formatCurlCommand = (method: string, body: string, extraOptions = '') => `curl -s ${baseUrl}/${method} -H 'Authorization: Bearer ${key}' -H 'Content-Type: application/json'${extraOptions} -d '${body}'`;
	process.stdout.write([
		'chicorysaddle runs with an embedded platform and three database groups of three instances.',
		`caller port    http://127.0.0.1:${proxy.callerPort}`,
		`operator port  http://127.0.0.1:${proxy.operatorPort} (token ${operatorToken}; /readyz, /livez and /metrics need none)`,
		`key            ${key}`,
		'',
		'Write, read back, and begin a transaction:',
		formatCurlCommand('Run', '{"route": "inspections.file", "parameters": {"key": "house-1", "value": "damp in the cellar"}}', ' -H \'Idempotency-Key: first-try\''),
		formatCurlCommand('Run', '{"route": "inspections.get", "parameters": {"key": "house-1"}}'),
		formatCurlCommand('Begin', '{"group": "inspections"}'),
		'',
	].join('\n'));
	const stop = () => {
		void proxy.drain().then(() => {
			deployment.stop();
			process.exit(0);
		});
	};

	process.once('SIGINT', stop);
	process.once('SIGTERM', stop);
}

await runEmbedded();
