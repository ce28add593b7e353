import fc from 'fast-check';
import test from 'ava';
import {countAllowedLocally, countAllowedPerWindow} from '../../limits/index.js';

const windowMs = 5000;
const limit = {ratePerS: 60, burst: 60};
const allowed = countAllowedPerWindow(limit, windowMs);

// Guards against allowances that hold for even load only: whatever each VM used, the sum over all VMs has to stay within the limit, but for a tenth that VMs get that know nothing.
test('the sum of what all VMs may admit without the coordinator never exceeds the limit by more than a tenth, however uneven the load was', t => {
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 100}), {minLength: 1, maxLength: 12}), fc.integer({min: 0, max: allowed}), fc.integer({min: 0, max: 20_000}), (weights, total, elapsedMs) => {
		const sum = Math.max(1, weights.reduce((left, right) => left + right, 0));
		const admitted = weights.map(weight => {
			const used = (weight / sum) * total;
			return countAllowedLocally(limit, windowMs, weights.length, {used, free: allowed - total, freeAgeMs: used === 0 ? Number.POSITIVE_INFINITY : 0}, elapsedMs);
		});
		return admitted.reduce((left, right) => left + right, 0) <= (allowed * 1.1) + 1e-6;
	}), {seed: 3, numRuns: 500});
	t.pass();
});

test('a VM that knows of an idle account may admit its even share at once, and every VM after one window', t => {
	t.is(countAllowedLocally(limit, windowMs, 9, {used: 0, free: allowed, freeAgeMs: 0}, 0), allowed / 9);
	t.is(countAllowedLocally(limit, windowMs, 9, {used: 0, free: 0, freeAgeMs: Number.POSITIVE_INFINITY}, 0), allowed / 90);
	t.is(countAllowedLocally(limit, windowMs, 9, {used: 0, free: 0, freeAgeMs: Number.POSITIVE_INFINITY}, windowMs), allowed / 9);
	t.is(countAllowedLocally(limit, windowMs, 9, {used: allowed, free: 0, freeAgeMs: 0}, windowMs), allowed / 9);
});
