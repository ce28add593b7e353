import test from 'ava';
import {MemoryBudget} from '../../memory/index.js';

// Guards against callers that are kept out because a few others fill the memory for input with messages that do not end.
test('a small share grows while large ones use all of the budget, a large one does not', t => {
	const budget = new MemoryBudget(1000, 10);
	const [large, small] = [budget.createShare(), budget.createShare()];
	t.true(large.trySet(1000));
	t.true(small.trySet(10));
	t.false(small.trySet(11));
	t.false(large.trySet(1001));
	t.is(budget.used, 1010);
	t.true(large.trySet(500));
	t.true(small.trySet(400));
	t.true(large.trySet(0));
	t.true(small.trySet(0));
	t.is(budget.used, 0);
});
