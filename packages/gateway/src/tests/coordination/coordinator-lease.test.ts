import test from 'ava';
import {CoordinatorLease} from '../../coordination/index.js';
import {EventLog} from '../../observability/index.js';
import {FakeStore, FakeStoreClient} from '../fakes/fake-store.js';
import {VirtualTime} from '../fakes/virtual-time.js';

function createLease(store: FakeStore, time: VirtualTime, vm: string): CoordinatorLease {
	return new CoordinatorLease(new FakeStoreClient(vm, store), {
		vm, zone: 'a', regions: new Map(), incarnation: `${vm}-1`, peerAddress: `${vm}:1`,
	}, time, new EventLog(vm, {write: () => undefined, writableLength: 0}));
}

function readCoordinatorRow(store: FakeStore) {
	const row = store.rows.get('coordinator')!;
	return {...JSON.parse(row.value) as {holder: string; incarnation: string; address: string; token: number}, version: row.version};
}

test.serial('a lease that was ended is not resumed from a row that still names its former holder', async t => {
	const [store, time] = [new FakeStore(), new VirtualTime()];
	const lease = createLease(store, time, 'vm1');
	t.true(await time.waitFor(lease.tryAcquire(undefined)));
	lease.stepDown();
	lease.resume(readCoordinatorRow(store));
	t.false(lease.isHeld());
	t.true(await time.waitFor(createLease(store, time, 'vm2').tryAcquire(readCoordinatorRow(store))));
	t.is(readCoordinatorRow(store).token, 2);
	time.stop();
});

test.serial('an acquisition whose response was lost is resumed from the row', async t => {
	const [store, time] = [new FakeStore(), new VirtualTime()];
	const lease = createLease(store, time, 'vm1');
	store.fault = 'answers-lost';
	t.false(await time.waitFor(lease.tryAcquire(undefined)));
	t.false(lease.isHeld());
	lease.resume(readCoordinatorRow(store));
	t.true(lease.isHeld());
	time.stop();
});

// Guards against two coordinators at once: the lease counted from the read of the row, seconds after the write that others had observed.
test.serial('a lease that is resumed after a loss of contact ends before another VM may acquire it', async t => {
	for (const cutMs of [500, 3000, 5500, 5900, 6400]) {
		const [store, time] = [new FakeStore(), new VirtualTime()];
		const [lease, other] = [createLease(store, time, 'vm1'), createLease(store, time, 'vm2')];
		store.fault = 'answers-lost';
		t.false(await time.waitFor(lease.tryAcquire(undefined)));
		store.fault = 'none';
		t.false(other.isVacant(readCoordinatorRow(store)));
		const observedAt = time.now();
		await time.advance(cutMs);
		lease.resume(readCoordinatorRow(store));
		while (!other.isVacant(readCoordinatorRow(store))) {
			await time.advance(50);
		}

		t.false(lease.isHeld(), `cut for ${cutMs} ms, vacant after ${time.now() - observedAt} ms`);
		time.stop();
	}
});

test.serial('a late response to an acquisition is ignored after the lease was resumed from the row and ended', async t => {
	const [store, time] = [new FakeStore(), new VirtualTime()];
	const lease = createLease(store, time, 'vm1');
	const acquisition = lease.tryAcquire(undefined);
	const content = {
		holder: 'vm1', incarnation: 'vm1-1', address: 'vm1:1', token: 1, version: 1,
	};
	lease.resume(content);
	lease.stepDown();
	t.false(await time.waitFor(acquisition));
	t.false(lease.isHeld());
	time.stop();
});

test.serial('the lease ends for its holder before another VM may acquire it', async t => {
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

test.serial('rows are written only while the lease is held, and a write whose response was lost is read back', async t => {
	const [store, time] = [new FakeStore(), new VirtualTime()];
	const lease = createLease(store, time, 'vm1');
	await time.waitFor(lease.tryAcquire(undefined));
	store.fault = 'answers-lost';
	const versions = await time.waitFor(lease.writeRowsIfHeld([{key: 'group/db', expectedVersion: 0, value: 'x'}]));
	t.is(versions?.get('group/db'), store.rows.get('group/db')!.version);
	store.fault = 'none';
	await time.waitFor(createLease(store, time, 'vm2').tryAcquire(readCoordinatorRow(store)));
	t.is(await time.waitFor(lease.writeRowsIfHeld([{key: 'group/db', expectedVersion: versions!.get('group/db')!, value: 'y'}])), undefined);
	t.is(store.rows.get('group/db')!.value, 'x');
	t.false(lease.isHeld());
	time.stop();
});

// Guards against a row that can never be written again: the version of the lease's row was taken for that of a row which the store had written late.
test.serial('a row that an earlier write without an answer has written late keeps its own version', async t => {
	const [store, time] = [new FakeStore(), new VirtualTime()];
	const lease = createLease(store, time, 'vm1');
	await time.waitFor(lease.tryAcquire(undefined));
	const write = {key: 'group/db', expectedVersion: 0, value: 'x'};
	store.fault = 'silent';
	store.getLateMs = () => 2000;
	t.is(await time.waitFor(lease.writeRowsIfHeld([write])), undefined);
	await time.advance(1000);
	store.fault = 'none';
	const {version} = store.rows.get('group/db')!;
	await time.waitFor(lease.renew());
	await time.waitFor(lease.renew());
	t.true(store.rows.get('coordinator')!.version > version);
	const versions = await time.waitFor(lease.writeRowsIfHeld([write]));
	t.is(versions?.get('group/db'), version);
	t.true((await time.waitFor(lease.writeRowsIfHeld([{...write, expectedVersion: version, value: 'y'}]))) !== undefined);
	time.stop();
});
