import test from 'ava';
import {isPrimaryDead, type PrimaryEvidence} from '../../promotion/index.js';

const failing = (vm: string, since: number, isRefused = false): PrimaryEvidence => ({
	vm, instanceId: 'i-1', answeredAt: since - 50, failingSince: since, isRefused,
});

const responding = (vm: string, answeredAt: number): PrimaryEvidence => ({
	vm, instanceId: 'i-1', answeredAt, failingSince: undefined, isRefused: false,
});

test('a primary counts as dead sooner after refused connections than after silence', t => {
	t.false(isPrimaryDead('i-1', [failing('a', 0, true), failing('b', 0, true)], 3, 100));
	t.true(isPrimaryDead('i-1', [failing('a', 0, true), failing('b', 0, true)], 3, 150));
	t.false(isPrimaryDead('i-1', [failing('a', 0), failing('b', 0)], 3, 800));
	t.true(isPrimaryDead('i-1', [failing('a', 0), failing('b', 0)], 3, 900));
});

test('the evidence of one VM does not suffice while there are others', t => {
	t.false(isPrimaryDead('i-1', [failing('a', 0)], 3, 10_000));
	t.true(isPrimaryDead('i-1', [failing('a', 0)], 1, 10_000));
});

test('a primary is alive while a VM gets responses, but not by responses of long ago', t => {
	t.false(isPrimaryDead('i-1', [failing('a', 0), failing('b', 0), responding('c', 1900)], 3, 2000));
	t.true(isPrimaryDead('i-1', [failing('a', 0), failing('b', 0), responding('c', 500)], 3, 2000));
});

test('evidence on a previous primary does not count', t => {
	t.false(isPrimaryDead('i-2', [failing('a', 0, true), failing('b', 0, true)], 3, 5000));
});
