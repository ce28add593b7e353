import test from 'ava';
import {isPrimaryDead, type PrimaryEvidence} from '../../promotion/index.js';

const failing = (vm: string, since: number, isRefused = false): PrimaryEvidence => ({
	vm, instanceId: 'i-1', answeredAt: since - 50, failingSince: since, isRefused,
});

const well = (vm: string, answeredAt: number): PrimaryEvidence => ({
	vm, instanceId: 'i-1', answeredAt, failingSince: undefined, isRefused: false,
});

test('two VMs that are refused make a primary dead soon, two that hear nothing later', t => {
	t.false(isPrimaryDead('i-1', [failing('a', 0, true), failing('b', 0, true)], 3, 100));
	t.true(isPrimaryDead('i-1', [failing('a', 0, true), failing('b', 0, true)], 3, 150));
	t.false(isPrimaryDead('i-1', [failing('a', 0), failing('b', 0)], 3, 800));
	t.true(isPrimaryDead('i-1', [failing('a', 0), failing('b', 0)], 3, 900));
});

test('one VM alone is not believed while there are others', t => {
	t.false(isPrimaryDead('i-1', [failing('a', 0)], 3, 10_000));
	t.true(isPrimaryDead('i-1', [failing('a', 0)], 1, 10_000));
});

test('a VM that still gets answers speaks for the primary, one that got them long ago does not', t => {
	t.false(isPrimaryDead('i-1', [failing('a', 0), failing('b', 0), well('c', 1900)], 3, 2000));
	t.true(isPrimaryDead('i-1', [failing('a', 0), failing('b', 0), well('c', 500)], 3, 2000));
});

test('evidence on a former primary does not count', t => {
	t.false(isPrimaryDead('i-2', [failing('a', 0, true), failing('b', 0, true)], 3, 5000));
});
