import test from 'ava';
import {FreshnessTracker} from '../../index.js';

const voters = ['v1', 'v2', 'v3', 'v4', 'v5'];

test('a view is as fresh as its last sync with the store', t => {
	const freshness = new FreshnessTracker('v1', 2500, 0);
	t.false(freshness.isFresh(voters, 100));
	freshness.recordStoreSync(1000);
	t.is(freshness.getAgeMs(voters, 1500), 500);
	t.true(freshness.isFresh(voters, 3500));
	t.false(freshness.isFresh(voters, 3501));
});

test('without the store, a sync with a majority of the voters keeps a view fresh, and one with fewer does not', t => {
	const freshness = new FreshnessTracker('v1', 2500, 0);
	freshness.recordStoreSync(0);
	freshness.recordPeerSync('v2', 5000, voters);
	t.false(freshness.isFresh(voters, 5000), 'two of five');
	freshness.recordPeerSync('v3', 4000, voters);
	t.is(freshness.getAgeMs(voters, 6000), 2000, 'as old as the third newest sync of five');
	freshness.recordPeerSync('stranger', 9000, voters);
	t.false(freshness.isFresh(voters, 7000), 'a VM that does not vote does not count');
	freshness.recordPeerSync('v2', 7000, voters);
	freshness.recordPeerSync('v3', 7000, voters);
	t.true(freshness.isFresh(voters, 7000));
	freshness.removePeerSync('v3');
	t.false(freshness.isFresh(voters, 7000), 'a peer that restarted has to be synced with again');
});

test('a process is not synchronized before it knows every change accepted up to its start', t => {
	const freshness = new FreshnessTracker('v1', 2500, 1000);
	freshness.recordStoreSync(900);
	t.false(freshness.isSynchronized, 'an earlier process of the VM may have confirmed a change after that sync');
	freshness.recordPeerSync('v2', 1100, voters);
	freshness.recordPeerSync('v3', 1100, voters);
	t.false(freshness.isSynchronized, 'the VM itself does not count towards the majority');
	freshness.recordPeerSync('v4', 1100, voters);
	t.true(freshness.isSynchronized);
});
