/** A former primary is used again after a successor has been promoted: see claim.txt. */
/* eslint-disable no-await-in-loop -- sequential steps are awaited in loops, and queries are told apart in one place */
import {runCase} from '../case.js';

await runCase(import.meta.url, {
	routes: [{
		database: 'casefiles', service: 'svc', type: 'primary', timeoutMs: 1000,
	}],
	group: {promoteMs: 600},
	rules: ['ONE'],
	lengthMs: 20_000,
	async disrupt({world, group, note, pause}) {
		const former = group.primary;
		const coordinator = world.findCoordinator();
		note(`${former.id}, the primary, goes dark for 3.5 s`);
		former.isDark = true;
		setTimeout(() => {
			former.isDark = false;
			note(`${former.id} is back`);
		}, 3500);
		while (!world.calls.some(({what, status}) => what === 'promote' && status === 200)) {
			await pause(5);
		}

		const order = world.calls.find(({what}) => what === 'promote');
		note(`${order.holder} has ordered the promotion of ${order.id}; its process is killed 200 ms later`);
		await pause(200);
		world.signal(coordinator, 'SIGKILL');
		while (group.promotions.length === 0) {
			await pause(5);
		}

		note(`${order.id} leads term ${group.promotions[0].term}`);
		await pause(300);
		const successor = group.primary;
		note(`${successor.id}, now the primary, goes dark for 3.5 s`);
		successor.isDark = true;
		await pause(3500);
		successor.isDark = false;
		note(`${successor.id} is back`);
	},
});
