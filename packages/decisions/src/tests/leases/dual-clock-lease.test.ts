import test from 'ava';
import {DualClockLease} from '../../leases/index.js';

const moment = (monotonic: number, wallClock = monotonic) => ({monotonicMs: monotonic, wallMs: wallClock});

test('a lease ends by the steady clock', t => {
	const lease = new DualClockLease(1000);
	t.false(lease.isHeld(moment(0)));
	lease.renew(moment(0));
	t.true(lease.isHeld(moment(999)));
	t.false(lease.isHeld(moment(1000)));
});

test('a suspension ends a lease although the steady clock stood still', t => {
	const lease = new DualClockLease(1000);
	lease.renew(moment(0));
	t.false(lease.isHeld(moment(10, 5000)));
});

test('a jump of the time of day can only end a lease early', t => {
	const lease = new DualClockLease(1000);
	lease.renew(moment(100));
	t.false(lease.isHeld(moment(200, 50)), 'backward');
	t.false(lease.isHeld(moment(200, 2200)), 'forward');
	t.false(lease.isHeld(moment(1200, 150)), 'a jump back does not hide that time has passed');
});

test('a late answer does not renew a lease beyond its question', t => {
	const lease = new DualClockLease(1000);
	lease.renew(moment(500));
	lease.renew(moment(100));
	t.is(lease.getRemainingMs(moment(600)), 900);
	lease.release();
	t.false(lease.isHeld(moment(600)));
});
