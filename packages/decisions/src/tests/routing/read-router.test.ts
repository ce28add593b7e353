import test from 'ava';
import fc from 'fast-check';
import {isAtLeast} from '@chicorysaddle/model';
import {GroupState, type ReadRequirements, ReadRouter} from '../../index.js';

const instance = fc.record({
	term: fc.integer({min: 1, max: 2}), offset: fc.nat(9), lagMs: fc.nat(3000), inUse: fc.nat(3), isReachable: fc.boolean(), isLeaving: fc.boolean(),
});

test('a read never goes to an instance that is leaving, out of reach, of an older term or known to be too old', t => {
	let sent = 0;
	fc.assert(fc.property(fc.array(instance, {minLength: 3, maxLength: 3}), fc.record({
		position: fc.record({term: fc.integer({min: 1, max: 2}), offset: fc.nat(9)}), primaryOnly: fc.boolean(), maxStalenessMs: fc.constantFrom(0, 1000),
	}), (instances, wanted) => {
		const group = new GroupState('g');
		for (const [index, one] of instances.entries()) {
			const view = group.addInstance(`i${index}`, 'z');
			view.observeReport({
				term: one.term, promoter: '', primary: index === 0 && one.term === 2, position: {term: one.term, offset: one.offset}, stalenessMs: one.lagMs, primarySilentMs: 0,
			}, 0);
			Object.assign(view, {inUse: one.inUse, limit: 3, isLeaving: one.isLeaving});
			if (!one.isReachable) {
				view.observeUnreachable(0);
			}
		}

		group.observePrimary(2, 'i0');
		const need: ReadRequirements = {...wanted, tried: new Set(['i2'])};
		const choice = new ReadRouter('z').chooseInstance(group, need, 0);
		if (choice.kind === 'send') {
			sent += 1;
			const chosen = choice.instance;
			t.true(chosen.isReachable && !chosen.isLeaving && chosen.hasCapacity && chosen.term === 2 && chosen.name !== 'i2');
			t.true(!need.primaryOnly || chosen.name === 'i0');
			t.true(chosen.name === 'i0' || need.maxStalenessMs === 0 || chosen.getStalenessMs(0) <= need.maxStalenessMs);
			t.true(chosen.name === 'i0' || choice.waitMs > 0 || isAtLeast(chosen.position, need.position));
		}
	}), {seed: 8, numRuns: 2000});
	t.true(sent > 200);
});
