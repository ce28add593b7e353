/** A database stays without a primary for good after a write of the store whose answer was lost: see claim.txt. */
/* eslint-disable @stylistic/max-len -- sequential steps are awaited in loops, and queries are told apart in one place */
import {runCase} from '../case.js';

/** Largest share of refused and failed requests that the gate allows. */
const maxFailedShare = 0.6;

await runCase(import.meta.url, {
	routes: [{
		database: 'casefiles', service: 'svc', type: 'primary', timeoutMs: 1000,
	}],
	group: {promoteMs: 600},
	rules: ['GATE'],
	clientCount: 24,
	paceMs: 1000,
	lengthMs: 75_000,
	async disrupt({world, group, note, pause}) {
		const {primary} = group;
		note(`the store gives no answers for 4 s; ${primary.id}, the primary, is dark for the first 2.4 s`);
		for (const platform of world.platforms) {
			platform.chooseFault = ({path, transaction}) => {
				if (path === '/promote') {
					return undefined;
				}

				// Of the calls without an answer, those that write a term are performed later, the others never.
				return transaction?.PutRows.some(({Key}) => Key.startsWith('group/')) === true ? {lateMs: 2000} : 'silent';
			};
		}

		primary.isDark = true;
		await pause(2400);
		primary.isDark = false;
		note(`${primary.id} is back`);
		await pause(1600);
		for (const platform of world.platforms) {
			platform.chooseFault = () => undefined;
		}

		note('the store answers again');
		await pause(8000);
		note(`${primary.id} crashes, and starts again 7 s later`);
		primary.crash();
		await pause(7000);
		await primary.restart();
		note(`${primary.id} runs again as a ${primary.role}`);
	},
	check({world, startedAt}) {
		const owed = world.records.filter(({sentAt}) => sentAt > startedAt);
		const failed = owed.filter(({code}) => code !== 'ok');
		const share = failed.length / owed.length;
		const lastAnswered = Math.max(...owed.filter(({code}) => code === 'ok').map(({sentAt}) => sentAt));
		return share > maxFailedShare
			? [`GATE: ${failed.length} of ${owed.length} requests were refused or failed, ${(share * 100).toFixed(0)} %; none that was sent later than ${((lastAnswered - startedAt) / 1000).toFixed(1)} s after the start had success`]
			: [];
	},
});
