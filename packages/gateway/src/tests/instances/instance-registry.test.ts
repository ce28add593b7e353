import test from 'ava';
import {type Instance, InstanceRegistry} from '../../instances/index.js';
import {EventLog} from '../../observability/index.js';
import {measureCollections} from '../fakes/collection-sizes.js';

const instance: Instance = {
	id: 'i-1', group: 'db', address: 'i-1:1', zone: 'a', slots: 2, state: 'ready', reportedRole: 'primary', bornMs: 1,
};

test('the draining time starts when draining is first seen and is cleared when the instance is ready again or removed', t => {
	const registry = new InstanceRegistry(new EventLog('vm1', {write: () => undefined, writableLength: 0}));
	registry.setInstances([instance], 0);
	t.is(registry.getDrainingSince('i-1'), undefined);
	registry.setInstances([{...instance, state: 'draining'}], 100);
	registry.setInstances([{...instance, state: 'draining'}], 200);
	t.is(registry.getDrainingSince('i-1'), 100);
	registry.setInstances([{...instance, bornMs: 2}], 300);
	t.is(registry.getDrainingSince('i-1'), undefined);
	registry.setInstances([{...instance, state: 'draining'}], 400);
	registry.setInstances([], 500);
	t.is(registry.getDrainingSince('i-1'), undefined);
});

// Guards against memory that grows with every cold instance that was ever listed.
test('instances that leave while they are cold are forgotten', t => {
	const registry = new InstanceRegistry(new EventLog('vm1', {write: () => undefined, writableLength: 0}));
	for (let count = 0; count < 20; count++) {
		registry.setInstances([{...instance, id: `i-${count}`, coldRemainingMs: 60_000}], count);
	}

	t.is(measureCollections(registry, value => value instanceof EventLog).get('InstanceRegistry.#coldUntil'), 1);
	t.true(registry.isCold('i-19', 20));
	registry.setInstances([], 20);
	registry.setInstances([{...instance, id: 'i-19', coldRemainingMs: 50_000}], 30);
	t.true(registry.isCold('i-19', 50_000));
	t.false(registry.isCold('i-19', 50_031));
});
