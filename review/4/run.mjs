/** An instance gets COMMIT with a prefix that no client sent, from gateways that forward to each other: see claim.txt. */
import {runCase} from '../case.js';

await runCase(import.meta.url, {
	vmCount: 3,
	maxConns: 5,
	routes: [{
		database: 'past-files', service: 'svc', type: 'bounded', maxStalenessMs: 1500, timeoutMs: 3000,
	}],
	rules: ['UNASKED'],
	clientCount: 6,
	hasTransactions: true,
	lengthMs: 20_000,
	async disrupt({world, note}) {
		note('a machine is added');
		await world.addVm();
	},
});
