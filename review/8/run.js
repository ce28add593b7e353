/* eslint-disable no-await-in-loop -- steps of a case follow one another */
/** A session does not see its own acknowledged write, because its route has been to another service and back. */
import {isTroubled, runCase} from '../6/stand-ins/case.js';
import {StandInClient} from '../6/stand-ins/clients.js';
import {pause} from '../6/stand-ins/platform.js';
import {createConfiguration} from '../6/stand-ins/world.js';

const services = ['svc-a', 'svc-b'];
const sessionCount = 12;
const laggingMs = 2000;
const changeMs = 330;

function createRoute(service) {
	return createConfiguration(service.version, [{
		host: 'db-own', type: 'read_your_writes', service: service.name, maxStalenessMs: 2500,
	}], {services});
}

await runCase(import.meta.dirname, {services, group: {lagMs: 20}}, async world => {
	await world.start(createRoute({name: 'svc-a', version: 1}));
	await world.waitUntilReady();
	const clients = [];
	for (let index = 0; index < sessionCount; index++) {
		const client = new StandInClient(`c${index}`, world.gateways[index % world.gateways.length].front, world.record);
		await client.start('db-own', 'key-a');
		clients.push(client);
	}

	const queryAll = async createText => Promise.all(clients.map(async (client, index) => client.query(createText(index))));
	for (let round = 0; round < 40; round++) {
		await queryAll(index => round % 4 === 0 ? `WRITE item-${index} before-${round}` : `READ item-${index}`);
		await pause(50);
	}

	if (isTroubled) {
		world.record('script.lag');
		for (const group of world.groups.values()) {
			group.lagMs = laggingMs;
		}
	}

	await pause(300);
	const writes = await queryAll(index => `WRITE item-${index} own-${index}`);
	const acknowledgedAt = performance.now();
	if (isTroubled) {
		world.setConfiguration(createRoute({name: 'svc-b', version: 2}));
		await pause(changeMs);
		await queryAll(index => `WRITE item-${index} other-${index}`);
		world.setConfiguration(createRoute({name: 'svc-a', version: 3}));
		await pause(changeMs);
	}

	// The instances of `svc-a` have run the reads; none of them may lack the write that the same session got acknowledged there.
	const stale = [];
	for (let round = 0; round < 8; round++) {
		const answers = await queryAll(index => `READ item-${index}`);
		for (const [index, answer] of answers.entries()) {
			const isOld = answer.kind === 'complete' && answer.rows[0].startsWith('before-') && answer.signature.includes('i-svc-a');
			if (isOld && writes[index].kind === 'complete') {
				const {id, signature, rows: [got]} = answer;
				stale.push({
					id, signature, got, expected: `own-${index}`,
				});
			}
		}

		await pause(30);
	}

	world.record('script.checked', {sinceMs: Math.round(performance.now() - acknowledgedAt), stale: stale.length, first: stale.slice(0, 5)});
	return stale.length === 0;
});
