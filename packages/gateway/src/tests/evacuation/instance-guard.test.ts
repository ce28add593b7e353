import test from 'ava';
import {ConfigurationView} from '../../configuration/index.js';
import {EvacuationRegistry, InstanceGuard} from '../../evacuation/index.js';
import {type Instance, InstanceRegistry} from '../../instances/index.js';
import {EventLog} from '../../observability/index.js';
import {measureCollections} from '../fakes/collection-sizes.js';
import {createConfiguration} from '../fakes/test-cluster.js';
import {VirtualTime} from '../fakes/virtual-time.js';

// Guards against memory that grows with every cold instance that was ever used.
test.serial('a VM keeps its turns at the cold instances that are listed only', t => {
	const time = new VirtualTime();
	const instances = new InstanceRegistry(new EventLog('vm1', {write: () => undefined, writableLength: 0}));
	const configuration = new ConfigurationView();
	configuration.applyConfiguration(createConfiguration(1, {groups: [{name: 'db', maxConnections: 30, coldPerS: 5}]}));
	const guard = new InstanceGuard({
		vm: 'vm1', evacuations: new EvacuationRegistry(time), instances, configuration, clock: time, random: () => 0, getSettings: () => ({
			drainMs: 0, limitWindowMs: 5000, capacity: 1, seeds: [],
		}),
	});
	for (let count = 0; count < 20; count++) {
		const listed = [count, count + 1].map((number): Instance => ({
			id: `i-${number}`, group: 'db', address: `i-${number}:1`, zone: 'a', slots: 2, state: 'ready', reportedRole: 'replica', bornMs: 1, coldRemainingMs: 60_000,
		}));
		instances.setInstances(listed, time.now());
		for (const instance of listed) {
			guard.recordUse(instance);
		}
	}

	t.is(measureCollections(guard, value => value instanceof InstanceRegistry || value === time).get('InstanceGuard.#schedules'), 2);
	t.false(guard.mayUse(instances.getInstance('i-20')!), 'the turn of an instance that is listed counts as used');
	time.stop();
});
