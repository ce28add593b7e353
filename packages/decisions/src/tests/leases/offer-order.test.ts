import test from 'ava';
import {chooseOfferedMembers} from '../../index.js';

const large = Array.from({length: 3}, (_, index) => ({vm: `large${index}`, capacity: 1}));
const small = Array.from({length: 20}, (_, index) => ({vm: `small${index}`, capacity: 0.1}));

test('rolling restarts of a deployment with a few large VMs: the role is offered to those first, and to the others in later rounds', t => {
	const members = [...small.slice(0, 10), ...large, ...small.slice(10)];
	const rounds: string[][] = [];
	let asked = 0;
	for (let round = 0; round < 4; round++) {
		const chosen = chooseOfferedMembers(members, asked, 8);
		asked += chosen.length;
		rounds.push(chosen.map(({vm}) => vm));
	}

	t.deepEqual(rounds[0], large.map(({vm}) => vm));
	t.deepEqual(rounds.slice(1).map(({length}) => length), [8, 8, 8]);
	t.is(new Set(rounds.flat()).size, 23);
});

test('VMs of equal or unknown capacity are asked in turn', t => {
	const members = Array.from({length: 5}, (_, index) => ({vm: `vm${index}`, capacity: undefined}));
	t.deepEqual(chooseOfferedMembers(members, 0, 3).map(({vm}) => vm), ['vm0', 'vm1', 'vm2']);
	t.deepEqual(chooseOfferedMembers(members, 3, 3).map(({vm}) => vm), ['vm3', 'vm4', 'vm0']);
	t.deepEqual(chooseOfferedMembers([], 3, 3), []);
});
