import test from 'ava';
import {retryUntilServed, startLocalProxies} from '../local-proxies.js';
import {installResponsiveClock} from '../responsive-clock.js';

/** Keeps the event loop from running, as a machine does that gives the process no processor. */
function blockProcess(durationMs: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

test.serial('proxies of a test process that got no processor for longer than their leases go on serving', async t => {
	const local = await startLocalProxies({vms: 2});
	t.teardown(local.stop);
	const caller = local.createCallerClient(0);
	const {transaction} = await retryUntilServed(async () => caller.begin({group: 'orders'}));
	blockProcess(4000);
	await caller.runInTransaction({transaction, route: 'orders.file', parameters: {key: 'k', value: 'v', tag: 'v'}});
	await caller.commit({transaction});
	blockProcess(4000);
	const response = await local.createCallerClient(1).run({route: 'orders.file', parameters: {key: 'k', value: 'w', tag: 'w'}});
	t.is(response.servedBy, 'primary');
	t.is(local.deployment.groups[0]!.getPrimary().getValue('k'), 'v,w');
});

// Timers that run by the real clock end waits early on a loaded machine, and a cleared timer must not be started again.
test.serial('a timer of a test process stands still while each turn of the event loop takes long', async t => {
	installResponsiveClock();
	const fired: string[] = [];
	const cleared = setTimeout(() => fired.push('cleared'), 1000);
	const startedAt = performance.now();
	const elapsedMs = new Promise<number>(resolve => {
		setTimeout(() => {
			fired.push('due');
			resolve(performance.now() - startedAt);
		}, 1000);
	});
	for (let turn = 0; turn < 12; turn += 1) {
		blockProcess(180);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	t.deepEqual(fired, []);
	clearTimeout(cleared);
	t.true(await elapsedMs >= 999);
	t.deepEqual(fired, ['due']);
});
