import {Buffer} from 'node:buffer';
import {type ForwardMessage} from '@chicorysaddle/protocol/coordination';
import test from 'ava';
import {RemoteSessions} from '../../forwarding/remote-sessions.js';
import {measureHeapBytes} from '../fakes/heap.js';

function createMessage(id: number, value: string): ForwardMessage {
	return {session: {id, version: 1, values: {zone: value}}} as unknown as ForwardMessage;
}

// Guards against memory that grows with the values of sessions of other VMs, most of which have ended.
test.serial('the remembered sessions of a link are bounded in memory, and the newest ones stay', async t => {
	const sessions = new RemoteSessions();
	const usedBefore = await measureHeapBytes();
	for (let id = 0; id < 250; id++) {
		sessions.getSession(createMessage(id, Buffer.alloc(100_000, String(id)).toString('latin1')));
	}

	const grownBytes = await measureHeapBytes() - usedBefore;
	t.true(grownBytes < 2_000_000, `${grownBytes} bytes`);
	const newest = sessions.getSession(createMessage(249, ''));
	t.is(newest.values.get('zone')?.length, 100_000);
	// One that takes more than the bound alone is remembered.
	const large = sessions.getSession(createMessage(300, 'x'.repeat(2_000_000)));
	t.is(sessions.getSession(createMessage(300, '')), large);
});

test.serial('sessions with ordinary values are remembered', t => {
	const sessions = new RemoteSessions();
	const known = Array.from({length: 256}, (_, id) => sessions.getSession(createMessage(id, 'x'.repeat(100))));
	for (const [id, session] of known.entries()) {
		t.is(sessions.getSession(createMessage(id, 'x')), session);
	}
});
