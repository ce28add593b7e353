import test from 'ava';
import {SlidingWindowCounter, StatedUsage} from '../../index.js';

const windowMs = 5000;

test('operations that were stated and that no VM reports count until a window after the statement', t => {
	const counter = new SlidingWindowCounter(windowMs);
	const statedUsage = new StatedUsage(windowMs);
	statedUsage.recordStatement({used: 100, at: 10_000});
	t.is(statedUsage.countUnreported(counter, 10_200), 100);
	counter.add(30, 10_250);
	t.is(statedUsage.countUnreported(counter, 10_250), 100, 'operations after the statement are not among those stated');
	t.is(statedUsage.countUnreported(counter, 14_999), 100);
	t.is(statedUsage.countUnreported(counter, 15_000), 0);
});

test('operations that VMs report later are no longer unreported, also after they have left the window', t => {
	const counter = new SlidingWindowCounter(windowMs);
	const statedUsage = new StatedUsage(windowMs);
	statedUsage.recordStatement({used: 100, at: 10_000});
	const reported = new SlidingWindowCounter(windowMs);
	reported.add(70, 6000);
	counter.importCounts(reported.exportCounts(10_300), 10_300);
	t.is(statedUsage.countUnreported(counter, 10_300), 30);
	t.is(statedUsage.countUnreported(counter, 12_000), 30);
	t.is(counter.getCount(12_000), 0);
});

test('the newest statement counts, whatever the order of the reports', t => {
	const counter = new SlidingWindowCounter(windowMs);
	const statedUsage = new StatedUsage(windowMs);
	statedUsage.recordStatement({used: 40, at: 10_000});
	statedUsage.recordStatement({used: 100, at: 9000});
	t.is(statedUsage.countUnreported(counter, 10_100), 40);
	statedUsage.recordStatement({used: 50, at: 10_050});
	t.is(statedUsage.countUnreported(counter, 10_100), 50);
});
