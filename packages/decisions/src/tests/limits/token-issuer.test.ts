import fc from 'fast-check';
import test from 'ava';
import {countAllowedPerWindow, countAllowedInIsolation, TokenIssuer} from '../../limits/index.js';

const limit = {ratePerS: 20, burst: 20};

function ask(issuer: TokenIssuer, vm: string, now: number, {needed = 1, extra = 0, silent = [] as string[]} = {}) {
	return issuer.grantTokens({
		vm, account: 'agency', demand: {needed, extra}, limit,
	}, {silent, members: 5}, now);
}

test('a refusal says when there is a token again, and then there is', t => {
	const issuer = new TokenIssuer(5000);
	const first = ask(issuer, 'vm1', 0, {needed: 100});
	t.true(first.count < 100);
	t.true(first.waitMs > 0);
	t.is(ask(issuer, 'vm1', first.waitMs + 1).count, 1);
});

test('tokens ahead of need are only given while there are plenty', t => {
	const issuer = new TokenIssuer(5000);
	t.is(ask(issuer, 'vm1', 0, {extra: 5}).count, 1, 'a new issuer does not know what its predecessor gave');
	t.is(ask(issuer, 'vm1', 5000, {extra: 5}).count, 6);
});

test('what VMs give out without asking is kept back from the others', t => {
	const issuer = new TokenIssuer(5000);
	let given = 0;
	for (let now = 0; now < 6000; now += 50) {
		given += ask(issuer, 'lost', now).count;
	}

	t.true(given > 100);
	let after = 0;
	for (let now = 6000; now < 11_000; now += 10) {
		after += ask(issuer, 'vm1', now, {silent: ['lost']}).count;
	}

	t.true(after < 0.5 * 20 * 5, `${after}`);
	issuer.removeVm('lost');
	let restored = 0;
	for (let now = 11_000; now < 16_000; now += 10) {
		restored += ask(issuer, 'vm1', now).count;
	}

	t.true(restored >= 20 * 5);
});

test('VMs that may go on alone and the others together get what a window allows, when a surge begins while they are cut off', t => {
	const issuer = new TokenIssuer(5000);
	const members = 5;
	const silent = ['lost1', 'lost2'];
	let given = 0;
	for (let now = 10_000; now < 15_000; now += 10) {
		given += issuer.grantTokens({
			vm: 'vm1', account: 'agency', demand: {needed: 5, extra: 0}, limit,
		}, {silent, members}, now).count;
	}

	const alone = silent.length * countAllowedInIsolation(limit, 5000, members, 0);
	t.true(alone >= 40);
	t.true(given + alone <= countAllowedPerWindow(limit, 5000), `${given} and ${alone}`);
	t.true(given >= 50, `${given}`);
});

test('in no window do VMs get more than the bound, however they ask', t => {
	fc.assert(fc.property(fc.array(fc.record({
		gapMs: fc.integer({min: 0, max: 400}), vm: fc.integer({min: 1, max: 5}), needed: fc.integer({min: 1, max: 30}), extra: fc.integer({min: 0, max: 10}),
	}), {minLength: 20, maxLength: 200}), asks => {
		const issuer = new TokenIssuer(5000);
		const given: Array<{at: number; count: number}> = [];
		let now = 0;
		for (const {gapMs, vm, needed, extra} of asks) {
			now += gapMs;
			given.push({at: now, count: ask(issuer, `vm${vm}`, now, {needed, extra}).count});
		}

		for (const {at} of given) {
			const inWindow = given.filter(entry => entry.at >= at && entry.at < at + 5000).reduce((sum, entry) => sum + entry.count, 0);
			if (inWindow > ((20 * 5) + 20) * 1.1) {
				return false;
			}
		}

		return true;
	}), {seed: 7, numRuns: 200});
	t.pass();
});
