import test from 'ava';
import {FreshnessTracker} from '../../index.js';

const voters = ['v1', 'v2', 'v3', 'v4', 'v5'];

test('a view is as young as the newest word from the store, heard directly or through a peer', t => {
	const freshness = new FreshnessTracker('v1', 2500, 0);
	t.false(freshness.isFresh(voters, 100));
	freshness.observeStoreSync(1000);
	t.is(freshness.getAgeMs(voters, 1500), 500);
	t.true(freshness.isFresh(voters, 3500));
	t.false(freshness.isFresh(voters, 3501));
});

test('without the store, the word of a majority of synchronized voters counts, and of fewer does not', t => {
	const freshness = new FreshnessTracker('v1', 2500, 0);
	freshness.observeStoreSync(0);
	freshness.observePeerSync('v2', 5000, voters);
	t.false(freshness.isFresh(voters, 5000), 'two of five');
	freshness.observePeerSync('v3', 4000, voters);
	t.is(freshness.getAgeMs(voters, 6000), 2000, 'as old as the third youngest of five');
	freshness.observePeerSync('stranger', 9000, voters);
	t.false(freshness.isFresh(voters, 7000), 'a VM that is no voter does not count');
	freshness.observePeerSync('v2', 7000, voters);
	freshness.observePeerSync('v3', 7000, voters);
	t.true(freshness.isFresh(voters, 7000));
	freshness.removePeer('v3');
	t.false(freshness.isFresh(voters, 7000), 'a peer that restarted has to be heard anew');
});

test('a process that has just started vouches for nothing before it knows every change accepted until then', t => {
	const freshness = new FreshnessTracker('v1', 2500, 1000);
	freshness.observeStoreSync(900);
	t.false(freshness.isSynchronized, 'its former process may have vouched for a change after that word');
	freshness.observePeerSync('v2', 1100, voters);
	freshness.observePeerSync('v3', 1100, voters);
	t.false(freshness.isSynchronized, 'itself does not count towards the majority');
	freshness.observePeerSync('v4', 1100, voters);
	t.true(freshness.isSynchronized);
});
