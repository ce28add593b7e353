import test from 'ava';
import {EvacuationRegistry} from '../../evacuation/index.js';
import {measureCollections} from '../fakes/collection-sizes.js';
import {VirtualTime} from '../fakes/virtual-time.js';

// Guards against memory that grows with every zone that was ever evacuated.
test.serial('a VM forgets evacuations that ended long ago', async t => {
	const time = new VirtualTime();
	const evacuations = new EvacuationRegistry(time);
	for (let count = 1; count <= 20; count++) {
		const zone = `zone-${count}`;
		evacuations.applyRows({isWhole: false, evacuated: [zone], ended: []}, 2 * count);
		evacuations.applyRows({isWhole: false, evacuated: [], ended: [zone]}, (2 * count) + 1);
		t.is(evacuations.getReturnedForMs(zone), 0);
		await time.advance(31_000);
	}

	t.is(evacuations.getReturnedForMs('zone-20'), 31_000);
	t.is(measureCollections(evacuations, value => value === time).get('EvacuationRegistry.#endedAt'), 2);
	time.stop();
});
