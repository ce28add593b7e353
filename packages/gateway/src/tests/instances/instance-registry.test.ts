import test from 'ava';
import {type Instance, InstanceRegistry} from '../../instances/index.js';
import {EventLog} from '../../observability/index.js';

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
