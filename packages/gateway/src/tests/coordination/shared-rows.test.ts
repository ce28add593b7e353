import test from 'ava';
import fc from 'fast-check';
import {parseSharedRows} from '../../coordination/index.js';
import {EventLog} from '../../observability/index.js';
import {type SharedRow} from '../../ports/index.js';

const coordinator = {
	holder: 'vm1', incarnation: 'r1', address: 'vm1:1', token: 3,
};
const member = {address: 'vm1:1', zone: 'a', incarnation: 'r1'};
const term = {
	term: 4, primaryId: 'i-1', phase: 'open', drainMs: 0,
};

function createRow(key: string, value: unknown, version = 7): SharedRow {
	return {key, value: typeof value === 'string' ? value : JSON.stringify(value), version};
}

const goodRows = [createRow('coordinator', coordinator), createRow('vm/vm1', member), createRow('group/db', term)];

function createLog() {
	const lines: string[] = [];
	return {lines, log: new EventLog('vm1', {write: (text: string) => lines.push(text), writableLength: 0})};
}

const deeplyNested = '['.repeat(100_000) + ']'.repeat(100_000);

// Guards against a row that ends the task that reads the rows, or against numbers with which a token or a term can't rise.
test('rows with impossible values are left out, and the good ones beside them hold', t => {
	const {log, lines} = createLog();
	const badRows = [
		...['1e999', '1e300', '1.5', '-1', '"3"', 'null', deeplyNested].flatMap((number, index) => [
			createRow(`group/bad-${index}`, `{"term":${number},"primaryId":"i-1","phase":"open","drainMs":0}`),
			createRow(`group/drain-${index}`, `{"term":1,"primaryId":"i-1","phase":"open","drainMs":${number === '1.5' ? '-0.5' : (number === '1e300' ? '1e301' : number)}}`),
			createRow(`group/promotion-${index}`, `{"term":1,"primaryId":"i-1","phase":"closing","drainMs":0,"promotion":{"token":${number},"formerPrimaryId":"i-1"}}`),
			createRow(`vm/bad-${index}`, `{"address":${number === '"3"' ? '4' : number},"zone":"a","incarnation":"r"}`),
			createRow('coordinator', `{"holder":"vm1","incarnation":"r1","address":"vm1:1","token":${number}}`),
		]),
		createRow('group/', term),
		createRow('vm/', member),
		createRow('group/text', 'no JSON'),
		createRow('', deeplyNested),
		createRow('group/__proto__', deeplyNested),
	];
	const state = parseSharedRows([...goodRows, ...badRows], log);
	t.deepEqual(state.coordinator, {...coordinator, version: 7});
	t.deepEqual([...state.members.keys()], ['vm1']);
	t.deepEqual([...state.terms.keys()], ['db']);
	t.true(lines.every(line => line.length < 1000));
	// The rows are read every second.
	const count = lines.length;
	for (let round = 0; round < 3; round++) {
		parseSharedRows([...goodRows, ...badRows], log);
	}

	t.is(lines.filter(line => line.includes('row.unreadable')).length, count);
	t.is(log.countEvents('row.unreadable'), count);
});

// Guards against stricter checks that take what VMs of former builds wrote for unreadable.
test('rows as former builds write them are read, and so are those of VMs that can\'t be connected to', t => {
	const {log, lines} = createLog();
	const state = parseSharedRows([
		createRow('coordinator', {...coordinator, holder: '', address: '127.0.0.1:99999'}),
		createRow('vm/vm1', {...member, address: ''}),
		createRow('group/db', {
			...term, phase: 'closing', primaryId: '', drainMs: 7000.5, promotion: {token: 3, formerPrimaryId: 'i-1', order: {instanceId: 'i-2', instanceTerm: 4}},
		}),
		createRow('group/new', {...term, term: 0, unknownField: {}}),
	], log);
	t.deepEqual([state.coordinator?.address, state.members.size, state.terms.size, lines.length], ['127.0.0.1:99999', 1, 2, 0]);
});

// Guards against a decoder that throws.
test('no row makes the parsing throw, and good rows hold beside any other', t => {
	const field = fc.oneof(fc.jsonValue(), fc.double(), fc.integer(), fc.constantFrom('open', 'closing', 'vm1', '1.2.3.4:99999'));
	const value = fc.oneof(fc.string(), fc.json(), fc.dictionary(fc.constantFrom('holder', 'incarnation', 'address', 'token', 'era', 'zone', 'term', 'primaryId', 'phase', 'drainMs', 'promotion'), field).map(fields => JSON.stringify({
		...coordinator, ...member, ...term, ...fields,
	})));
	const key = fc.oneof(fc.string(), fc.string().map(name => `vm/x${name}`), fc.string().map(name => `group/x${name}`));
	fc.assert(fc.property(fc.array(fc.record({key: key.filter(text => text !== 'coordinator'), value, version: fc.nat()})), rows => {
		const {log} = createLog();
		const state = parseSharedRows([...rows, ...goodRows], log);
		for (const each of [...state.terms.values(), ...state.restoredTerms.values()]) {
			t.true(Number.isSafeInteger(each.term) && Number.isFinite(each.drainMs) && each.drainMs >= 0);
		}

		t.true(state.coordinator?.token === 3 && state.members.has('vm1') && state.terms.has('db'));
	}), {seed: 49, numRuns: 500});
});
