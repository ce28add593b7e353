import test from 'ava';
import fc from 'fast-check';
import {
	type CommitHolder, findAwaitedHolders, hasEveryCommit, isLongestRemaining,
} from '../../index.js';

const at = (offset: number) => ({term: 1, offset});

function createHolder(id: string, offset: number | undefined, changes: Partial<CommitHolder> = {}): CommitHolder {
	return {
		id, isPrimary: false, position: offset === undefined ? undefined : at(offset), coveringPosition: undefined, mayReturn: true, ...changes,
	};
}

// Guards against the promotion of the best instance that answers while the only one that received the last commits is silent, or left out.
test('a log has every commit only if no more instances may have a longer one than replicas acknowledge a commit', t => {
	const primary = createHolder('primary', undefined);
	t.true(hasEveryCommit(at(9), [primary, createHolder('a', 9), createHolder('b', 5)], 1));
	t.false(hasEveryCommit(at(5), [primary, createHolder('a', 9), createHolder('b', 5)], 1));
	t.false(hasEveryCommit(at(5), [primary, createHolder('a', undefined), createHolder('b', 5)], 1));
	t.true(hasEveryCommit(at(5), [primary, createHolder('a', undefined), createHolder('b', 5)], 2), 'both replicas have every commit');
	t.true(hasEveryCommit(at(5), [primary, createHolder('a', undefined), createHolder('b', 5)], 0), 'a group that accepts the loss');
});

test('a log that reaches that of the primary has every commit, whoever else is silent', t => {
	const others = [createHolder('a', undefined), createHolder('b', 9)];
	t.true(hasEveryCommit(at(9), [createHolder('primary', 9, {isPrimary: true}), ...others], 1));
	t.false(hasEveryCommit(at(9), [createHolder('primary', 10, {isPrimary: true}), ...others], 1));
});

test('an instance that departed does not count once the log covers all that it can have received', t => {
	const holders = [createHolder('primary', undefined), createHolder('b', 9), createHolder('gone', undefined, {coveringPosition: at(8), mayReturn: false})];
	t.true(hasEveryCommit(at(9), holders, 1));
	t.false(hasEveryCommit(at(7), holders, 1));
});

test('the longest log is what remains once none of the silent instances may return', t => {
	const lost = createHolder('primary', undefined, {mayReturn: false});
	t.true(isLongestRemaining(at(9), [lost, createHolder('a', 9), createHolder('b', 5)]));
	t.false(isLongestRemaining(at(5), [lost, createHolder('a', 9), createHolder('b', 5)]));
	t.false(isLongestRemaining(at(9), [lost, createHolder('a', 9), createHolder('b', undefined)]));
	t.deepEqual(findAwaitedHolders([lost, createHolder('a', 9), createHolder('b', undefined)]), ['b']);
});

test('whatever replicas received and whichever instances answer, a log that counts as complete has every acknowledged commit', t => {
	const histories = fc.integer({min: 1, max: 5}).chain(replicaCount => fc.record({
		received: fc.array(fc.integer({min: 0, max: 20}), {minLength: replicaCount, maxLength: replicaCount}),
		answering: fc.array(fc.boolean(), {minLength: replicaCount, maxLength: replicaCount}),
		isPrimaryAnswering: fc.boolean(),
		syncReplicas: fc.integer({min: 1, max: replicaCount}),
	}));
	fc.assert(fc.property(histories, ({received, answering, isPrimaryAnswering, syncReplicas}) => {
		const acknowledged = received.toSorted((a, b) => b - a)[syncReplicas - 1]!;
		const holders = [
			createHolder('primary', isPrimaryAnswering ? 20 : undefined, {isPrimary: isPrimaryAnswering}),
			...received.map((offset, index) => createHolder(`replica-${index}`, answering[index] === true ? offset : undefined)),
		];
		for (const [index, offset] of received.entries()) {
			if (answering[index] === true && hasEveryCommit(at(offset), holders, syncReplicas)) {
				t.true(offset >= acknowledged);
			}
		}
	}));
	t.pass();
});
