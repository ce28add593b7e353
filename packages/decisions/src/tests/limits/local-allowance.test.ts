import fc from 'fast-check';
import test from 'ava';
import {createRandom} from '../create-random.js';
import {countAllowedLocally, countAllowedPerWindow, SlidingWindowCounter} from '../../limits/index.js';

const windowMs = 5000;
const limit = {ratePerS: 60, burst: 60};
const allowed = countAllowedPerWindow(limit, windowMs);

// Guards against allowances that hold for even load only: whatever each VM used, the sum over all VMs has to stay within the limit, but for a tenth that VMs get that know nothing.
test('the sum of what all VMs may admit without the coordinator never exceeds the limit by more than a tenth, however uneven the load was', t => {
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 100}), {minLength: 1, maxLength: 12}), fc.integer({min: 0, max: allowed}), fc.integer({min: 0, max: 90_000}), (weights, total, elapsedMs) => {
		const sum = Math.max(1, weights.reduce((left, right) => left + right, 0));
		const admitted = weights.map(weight => {
			const used = (weight / sum) * total;
			return countAllowedLocally(limit, windowMs, weights.length, {used, free: allowed - total, freeAgeMs: used === 0 ? Number.POSITIVE_INFINITY : 0}, elapsedMs);
		});
		return admitted.reduce((left, right) => left + right, 0) <= (allowed * 1.1) + 1e-6;
	}), {seed: 3, numRuns: 500});
	t.pass();
});

test('a VM that knows of an idle account may admit its even share at once, and every VM after a minute', t => {
	t.is(countAllowedLocally(limit, windowMs, 9, {used: 0, free: allowed, freeAgeMs: 0}, 0), allowed / 9);
	t.is(countAllowedLocally(limit, windowMs, 9, {used: 0, free: 0, freeAgeMs: Number.POSITIVE_INFINITY}, 0), allowed / 90);
	t.is(countAllowedLocally(limit, windowMs, 9, {used: 0, free: 0, freeAgeMs: Number.POSITIVE_INFINITY}, 60_000), allowed / 9);
	t.is(countAllowedLocally(limit, windowMs, 9, {used: allowed, free: 0, freeAgeMs: 0}, 60_000), allowed / 9);
});

type Allowance = typeof countAllowedLocally;

/** The rule without memory of uneven load: an even part of what the account had left, and an even share after one window. */
const countEvenly: Allowance = (_limit, _windowMs, members, {used, free}, elapsedMs) => {
	const passed = Math.min(1, elapsedMs / windowMs);
	return ((used + (free / members)) * (1 - passed)) + ((allowed / members) * passed);
};

/** Plays the load of an account whose callers reach few of many VMs, at half of its limit, and counts what is refused while no coordinator answers. */
function simulateOutage(countAllowed: Allowance, {vmCount, loadedCount, outageMs, seed}: {readonly vmCount: number; readonly loadedCount: number; readonly outageMs: number; readonly seed: number}): {readonly sent: number; readonly refused: number; readonly maxPerWindow: number} {
	const random = createRandom(seed);
	const counters = Array.from({length: loadedCount}, () => new SlidingWindowCounter(windowMs));
	const total = new SlidingWindowCounter(windowMs);
	const stepMs = 10;
	const probability = ((allowed / windowMs) * 0.52 * stepMs) / loadedCount;
	let sent = 0;
	let refused = 0;
	let maxPerWindow = 0;
	let known: Array<{readonly used: number; readonly free: number}> = [];
	for (let now = 0; now < (2 * windowMs) + outageMs; now += stepMs) {
		const elapsedMs = now - (2 * windowMs);
		if (elapsedMs === 0) {
			known = counters.map(counter => ({used: counter.getCount(now), free: allowed - total.getCount(now)}));
		}

		for (const [vm, counter] of counters.entries()) {
			if (random() >= probability) {
				continue;
			}

			sent += elapsedMs >= 0 ? 1 : 0;
			if (elapsedMs < 0 || counter.getCount(now) <= countAllowed(limit, windowMs, vmCount, {...known[vm]!, freeAgeMs: 0}, elapsedMs) - 1) {
				counter.add(1, now);
				total.add(1, now);
			} else {
				refused += 1;
			}
		}

		maxPerWindow = Math.max(maxPerWindow, total.getCount(now));
	}

	return {sent, refused, maxPerWindow};
}

// Answers the load of a coordinator that is lost for several seconds where the callers of an account stay at few of many VMs.
test('while no coordinator answers, an account whose callers stay at few of many VMs is hardly refused within its limit', t => {
	for (const loadedCount of [2, 4, 8]) {
		let sent = 0;
		let refused = 0;
		let refusedEvenly = 0;
		for (let seed = 1; seed <= 20; seed++) {
			const load = {
				vmCount: 78, loadedCount, outageMs: 8000, seed,
			};
			const run = simulateOutage(countAllowedLocally, load);
			sent += run.sent;
			refused += run.refused;
			refusedEvenly += simulateOutage(countEvenly, load).refused;
			t.true(run.maxPerWindow <= allowed);
		}

		t.log(`${loadedCount} VMs: ${refused} of ${sent} refused, ${refusedEvenly} with even shares`);
		t.true(refused * 4 <= refusedEvenly, `${refused} of ${sent}, ${refusedEvenly} with even shares`);
	}
});
