import test from 'ava';
import {Freshness} from '../../index.js';

const voters = ['v1', 'v2', 'v3', 'v4', 'v5'];

test('a view is as young as the newest word from the store, heard directly or through a peer', t => {
	const freshness = new Freshness('v1', 2500, 0);
	t.false(freshness.isFresh(voters, 100));
	freshness.observeStoreWord(1000);
	t.is(freshness.getAgeMs(voters, 1500), 500);
	t.true(freshness.isFresh(voters, 3500));
	t.false(freshness.isFresh(voters, 3501));
});

test('without the store, the word of a majority of synchronized voters counts, and of fewer does not', t => {
	const freshness = new Freshness('v1', 2500, 0);
	freshness.observeStoreWord(0);
	freshness.observePeerWord('v2', 5000, voters);
	t.false(freshness.isFresh(voters, 5000), 'two of five');
	freshness.observePeerWord('v3', 4000, voters);
	t.is(freshness.getAgeMs(voters, 6000), 2000, 'as old as the third youngest of five');
	freshness.observePeerWord('stranger', 9000, voters);
	t.false(freshness.isFresh(voters, 7000), 'a VM that is no voter does not count');
	freshness.observePeerWord('v2', 7000, voters);
	freshness.observePeerWord('v3', 7000, voters);
	t.true(freshness.isFresh(voters, 7000));
	freshness.removePeerWord('v3');
	t.false(freshness.isFresh(voters, 7000), 'a peer that restarted has to be heard anew');
});

test('a process that has just started vouches for nothing before it knows every change accepted until then', t => {
	const freshness = new Freshness('v1', 2500, 1000);
	freshness.observeStoreWord(900);
	t.false(freshness.isSynchronized, 'its former process may have vouched for a change after that word');
	freshness.observePeerWord('v2', 1100, voters);
	freshness.observePeerWord('v3', 1100, voters);
	t.false(freshness.isSynchronized, 'itself does not count towards the majority');
	freshness.observePeerWord('v4', 1100, voters);
	t.true(freshness.isSynchronized);
});
