import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import test from 'ava';
import {PooledConnection, type SessionValues} from '../../dispatch/index.js';
import {type InstanceConnection} from '../../ports/index.js';
import {measureHeapBytes} from '../fakes/heap.js';

/** Size of a definition, in bytes. */
const definitionBytes = 100_000;

function createConnection(): PooledConnection {
	return new PooledConnection({} as InstanceConnection, 'large');
}

function createSession(value: string): SessionValues {
	return {values: new Map([['zone', value]]), valuesVersion: 1};
}

/** Creates a text of its own, which shares no memory with others. */
function createText(index: number): string {
	return Buffer.alloc(definitionBytes, `${index} `).toString('latin1');
}

// Guards against memory that grows with the shapes that callers prepare: each connection knows up to a hundred of them.
test.serial('a connection does not keep the long shapes that were prepared on it', async t => {
	const connection = createConnection();
	const session = {values: new Map<string, string>(), valuesVersion: 0};
	const usedBefore = await measureHeapBytes();
	for (let index = 0; index < 90; index++) {
		const [prepare] = connection.createPreparation(session, {access: 'read', shape: createText(index)});
		t.like(prepare, {statement: {kind: 'control-prepare', name: `p${index}`}});
	}

	const grownBytes = await measureHeapBytes() - usedBefore;
	t.true(grownBytes < 2_000_000, `${grownBytes} bytes`);
	// A short shape is never taken for a long one.
	const digest = createHash('sha256').update(createText(0)).digest('base64');
	t.is(connection.getPreparedName({access: 'read', shape: digest}), undefined);
	for (const [index, name] of [[0, 'p0'], [89, 'p89']] as const) {
		t.is(connection.getPreparedName({access: 'read', shape: createText(index)}), name);
		t.is(connection.getPreparedName({access: 'write', shape: createText(index)}), undefined);
		t.is(connection.getPreparedName({access: 'read', shape: `${createText(index)}x`}), undefined);
	}
});

// Guards against values of callers that left long ago, kept by each connection on which one of their statements ran.
test.serial('a connection does not keep the values of a session that has ended', async t => {
	const connections = Array.from({length: 100}, () => createConnection());
	const usedBefore = await measureHeapBytes();
	for (const [index, connection] of connections.entries()) {
		t.is(connection.createPreparation(createSession(createText(index)), undefined).length, 1);
	}

	const grownBytes = await measureHeapBytes() - usedBefore;
	t.true(grownBytes < 2_000_000, `${grownBytes} bytes`);
	for (const connection of connections) {
		const session = createSession('a');
		// The values of the former session are still in force at the instance.
		t.false(connection.hasValuesOf({values: new Map(), valuesVersion: 0}));
		t.deepEqual(connection.createPreparation(session, undefined), [
			{statement: {kind: 'control-reset'}}, {statement: {kind: 'control-set', name: 'zone', value: 'a'}},
		]);
		t.true(connection.hasValuesOf(session));
		t.deepEqual(connection.createPreparation(session, undefined), []);
	}
});
