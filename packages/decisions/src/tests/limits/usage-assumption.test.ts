import test from 'ava';
import {UsageAssumption} from '../../limits/index.js';

const windowMs = 5000;

test('VMs that have not reported, and young processes, count as having used their even share, which decreases over one window', t => {
	const assumption = new UsageAssumption(windowMs, 1000);
	t.deepEqual(assumption.getFractions(4, [], 1000), {even: 1, burst: 0.7});
	assumption.recordReport('vm1', -9000);
	assumption.recordReport('vm2', 0);
	t.is(assumption.getFractions(4, [], 1000).even, (2 + 0.8) / 4);
	t.is(assumption.getFractions(4, [], 3500).even, (1 + 0.3) / 4);
	t.deepEqual(assumption.getFractions(4, [], 6000), {even: 0, burst: 0});
});

// Guards against shares that are assumed for VMs that are added: what was granted since the coordinator took over is known.
test('a VM that joins a window after the coordinator took over is not assumed to have used anything', t => {
	const assumption = new UsageAssumption(windowMs, 0);
	for (const vm of ['vm1', 'vm2']) {
		assumption.recordReport(vm, -9000);
	}

	assumption.recordReport('vm3', 8000);
	assumption.recordReport('vm4', 8000);
	t.deepEqual(assumption.getFractions(4, [], 8000), {even: 0, burst: 0});
});

test('a VM that has a share reserved is not assumed to have used it besides', t => {
	const assumption = new UsageAssumption(windowMs, 0);
	assumption.recordReport('vm1', -9000);
	t.is(assumption.getFractions(2, ['vm2'], 0).even, 0);
	t.is(assumption.getFractions(2, [], 100).even, 0.49);
});

test('the fractions of a predecessor decrease further, and replace those of VMs that have not reported', t => {
	const assumption = new UsageAssumption(windowMs, 0);
	assumption.importFractions({even: 0.4, burst: 0.1}, 0);
	t.true(assumption.isKnown('vm1'));
	t.deepEqual(assumption.getFractions(4, [], 2500), {even: 0.2, burst: 0.1});
	t.deepEqual(assumption.getFractions(4, [], 5000), {even: 0, burst: 0});
});

// Guards against an assumption that is not made any more because nothing was to be assumed before.
test('a process that ends unheard after the first window counts again', t => {
	const assumption = new UsageAssumption(windowMs, 0);
	t.deepEqual(assumption.getFractions(4, [], 6000), {even: 0, burst: 0});
	assumption.recordLostProcess(windowMs, 7000);
	t.is(assumption.getFractions(4, [], 7000).even, 0.25);
	t.is(assumption.getFractions(4, [], 12_000).even, 0);
});

// Guards against an assumption that becomes smaller with each VM that was replaced.
test('VMs that have left take no part in what is assumed for a process that ended unheard', t => {
	const assumption = new UsageAssumption(windowMs, 0);
	for (let vm = 0; vm < 100; vm++) {
		assumption.recordReport(`vm${vm}`, 0);
		if (vm >= 4) {
			assumption.removeVm(`vm${vm - 4}`);
		}
	}

	assumption.recordLostProcess(windowMs, 7000);
	t.is(assumption.getFractions(4, [], 7000).even, 0.25);
});
