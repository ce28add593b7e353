import test from 'ava';
import {DualClockLease} from '../../leases/index.js';

const createReading = (monotonicTime: number, wallTime = monotonicTime) => ({monotonicMs: monotonicTime, wallMs: wallTime});

test('a lease expires by the monotonic clock', t => {
	const lease = new DualClockLease(1000);
	t.false(lease.isHeld(createReading(0)));
	lease.renew(createReading(0));
	t.true(lease.isHeld(createReading(999)));
	t.false(lease.isHeld(createReading(1000)));
});

test('a suspension ends a lease although the monotonic clock stopped', t => {
	const lease = new DualClockLease(1000);
	lease.renew(createReading(0));
	t.false(lease.isHeld(createReading(10, 5000)));
});

test('a jump of the wall clock can only end a lease early', t => {
	const lease = new DualClockLease(1000);
	lease.renew(createReading(100));
	t.false(lease.isHeld(createReading(200, 50)), 'backward');
	t.false(lease.isHeld(createReading(200, 2200)), 'forward');
	t.false(lease.isHeld(createReading(1200, 150)), 'a backward jump does not hide the elapsed time');
});

test('a late response does not override a later renewal', t => {
	const lease = new DualClockLease(1000);
	lease.renew(createReading(500));
	lease.renew(createReading(100));
	t.is(lease.getRemainingMs(createReading(600)), 900);
	lease.release();
	t.false(lease.isHeld(createReading(600)));
});
