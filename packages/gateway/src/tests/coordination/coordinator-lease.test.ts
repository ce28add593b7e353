import test from 'ava';
import {CoordinatorLease} from '../../coordination/index.js';
import {EventLog} from '../../observability/index.js';
import {FakeStore, FakeStoreClient} from '../fakes/fake-store.js';
import {VirtualTime} from '../fakes/virtual-time.js';

function createLease(store: FakeStore, time: VirtualTime, vm: string): CoordinatorLease {
	return new CoordinatorLease(new FakeStoreClient(vm, store), {
		vm, zone: 'a', incarnation: `${vm}-1`, peerAddress: `${vm}:1`,
	}, time, new EventLog(vm, {write: () => undefined, writableLength: 0}));
}

function readCoordinatorRow(store: FakeStore) {
	const row = store.rows.get('coordinator')!;
	return {...JSON.parse(row.value) as {holder: string; incarnation: string; address: string; token: number}, version: row.version};
}

test.serial('a duty that was given up is not taken up again from a row that still names its former holder', async t => {
	const [store, time] = [new FakeStore(), new VirtualTime()];
	const keeper = createLease(store, time, 'vm1');
	t.true(await time.waitFor(keeper.tryAcquire(undefined)));
	keeper.stepDown();
	keeper.resume(readCoordinatorRow(store), {monotonicMs: time.now(), wallMs: time.getWallTime()});
	t.false(keeper.isHeld());
	t.true(await time.waitFor(createLease(store, time, 'vm2').tryAcquire(readCoordinatorRow(store))));
	t.is(readCoordinatorRow(store).token, 2);
	time.stop();
});

test.serial('a take-over whose answer was lost is found in the row', async t => {
	const [store, time] = [new FakeStore(), new VirtualTime()];
	const keeper = createLease(store, time, 'vm1');
	store.fault = 'answers-lost';
	t.false(await time.waitFor(keeper.tryAcquire(undefined)));
	t.false(keeper.isHeld());
	keeper.resume(readCoordinatorRow(store), {monotonicMs: time.now(), wallMs: time.getWallTime()});
	t.true(keeper.isHeld());
	time.stop();
});

test.serial('a late answer to a take-over counts for nothing after the duty was found in the row and given up', async t => {
	const [store, time] = [new FakeStore(), new VirtualTime()];
	const keeper = createLease(store, time, 'vm1');
	const answer = keeper.tryAcquire(undefined);
	const content = {
		holder: 'vm1', incarnation: 'vm1-1', address: 'vm1:1', token: 1, version: 1,
	};
	keeper.resume(content, {monotonicMs: time.now(), wallMs: time.getWallTime()});
	keeper.stepDown();
	t.false(await time.waitFor(answer));
	t.false(keeper.isHeld());
	time.stop();
});

test.serial('the duty ends for its holder before another may take it', async t => {
	const [store, time] = [new FakeStore(), new VirtualTime()];
	const [holder, other] = [createLease(store, time, 'vm1'), createLease(store, time, 'vm2')];
	await time.waitFor(holder.tryAcquire(undefined));
	t.false(other.isVacant(readCoordinatorRow(store)));
	while (!other.isVacant(readCoordinatorRow(store))) {
		await time.advance(50);
	}

	t.false(holder.isHeld());
	time.stop();
});

test.serial('rows are only written while the duty is held, and a lost answer is settled by reading back', async t => {
	const [store, time] = [new FakeStore(), new VirtualTime()];
	const keeper = createLease(store, time, 'vm1');
	await time.waitFor(keeper.tryAcquire(undefined));
	store.fault = 'answers-lost';
	const version = await time.waitFor(keeper.writeRowsIfHeld([{key: 'group/db', expectedVersion: 0, value: 'x'}]));
	t.is(version, store.rows.get('group/db')!.version);
	store.fault = 'none';
	await time.waitFor(createLease(store, time, 'vm2').tryAcquire(readCoordinatorRow(store)));
	t.is(await time.waitFor(keeper.writeRowsIfHeld([{key: 'group/db', expectedVersion: version!, value: 'y'}])), undefined);
	t.is(store.rows.get('group/db')!.value, 'x');
	t.false(keeper.isHeld());
	time.stop();
});
