/** An acknowledged commit is missing in the instance that is promoted: the only replica that received it is draining. */
import {isTroubled, runCase, Writers} from './stand-ins/case.js';
import {pause} from './stand-ins/platform.js';
import {createConfiguration} from './stand-ins/world.js';

const drainMs = 7000;
const deafMs = 6500;
const crashAfterMs = 2500;
const maxWaitMs = 25_000;

await runCase(import.meta.dirname, {group: {syncReplicas: 1}}, async world => {
	await world.start(createConfiguration(1, [{host: 'db-main', type: 'primary'}], {syncReplicas: 1}));
	await world.waitUntilReady();
	const group = world.groups.get('svc');
	const [primary, drained, lagging] = group.instances;
	const writers = new Writers(world, 'db-main');
	await writers.waitFor(50);

	// Planned work: a replica is replaced.
	world.record('script.release', {instance: drained.id});
	group.setState(drained, 'draining');
	setTimeout(async () => group.replace(drained), drainMs + 1000);
	if (isTroubled) {
		world.record('script.deaf', {instance: lagging.id});
		lagging.isDeaf = true;
		setTimeout(() => {
			lagging.isDeaf = false;
		}, deafMs);
	}

	await pause(crashAfterMs);
	const acknowledged = [...writers.acknowledged];
	if (isTroubled) {
		world.record('script.crash', {instance: primary.id, acknowledged: acknowledged.length});
		primary.crash();
		await world.waitFor(() => group.primary !== undefined, maxWaitMs);
	} else {
		await pause(drainMs);
	}

	// Without a promotion no commit is lost.
	const leader = group.primary ?? primary;
	const held = new Set(leader.log.map(({id}) => id));
	const missing = acknowledged.filter(id => !held.has(id));
	world.record('script.checked', {
		leader: leader.id, log: leader.log.length, acknowledged: acknowledged.length, missing: missing.length, first: missing.slice(0, 5),
	});
	await pause(2000);
	await writers.stop();
	return missing.length === 0;
});
