/** An acknowledged commit is missing in the instance that is promoted: the replica that received it is out of reach for a few seconds. */
import {isTroubled, runCase, Writers} from './stand-ins/case.js';
import {pause} from './stand-ins/platform.js';
import {createConfiguration} from './stand-ins/world.js';

const deafMs = 6500;
const darkAfterMs = 2500;
const darkMs = 5000;

await runCase(import.meta.dirname, {group: {syncReplicas: 1}}, async world => {
	await world.start(createConfiguration(1, [{host: 'db-main', type: 'primary'}], {syncReplicas: 1}));
	await world.waitUntilReady();
	const group = world.groups.get('svc');
	const [primary, synchronized, lagging] = group.instances;
	const writers = new Writers(world, 'db-main');
	await writers.waitFor(50);
	if (isTroubled) {
		world.record('script.deaf', {instance: lagging.id});
		lagging.isDeaf = true;
		setTimeout(() => {
			lagging.isDeaf = false;
		}, deafMs);
	}

	await pause(darkAfterMs);
	const acknowledged = [...writers.acknowledged];
	if (isTroubled) {
		world.record('script.dark', {instances: [primary.id, synchronized.id], acknowledged: acknowledged.length});
		for (const instance of [primary, synchronized]) {
			instance.isDark = true;
		}
	}

	const hasSuccessor = await world.waitFor(() => lagging.role === 'primary', darkMs);
	world.record('script.light');
	for (const instance of [primary, synchronized]) {
		instance.isDark = false;
	}

	// Without a promotion no commit is lost.
	const leader = hasSuccessor ? lagging : primary;
	const held = new Set(leader.log.map(({id}) => id));
	const missing = acknowledged.filter(id => !held.has(id));
	world.record('script.checked', {
		leader: leader.id, log: leader.log.length, acknowledged: acknowledged.length, missing: missing.length, first: missing.slice(0, 5),
	});
	await pause(2000);
	await writers.stop();
	return missing.length === 0;
});
