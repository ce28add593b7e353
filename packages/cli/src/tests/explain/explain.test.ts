import test from 'ava';
import {explainRequest, formatExplanationLine, parseLogLine} from '../../explain/index.js';

function formatLogLine(time: number, vm: string, message: string, context: Record<string, unknown>): string {
	return `  12.3 ${vm} ${JSON.stringify({
		context: {vm, ...context, logLevel: 30}, message, time, sequence: '1', version: '2.0.0',
	})}`;
}

const logLines = [
	formatLogLine(1000, 'vm2', 'promotion.begun', {group: 'db', term: 1, reason: 'crashed'}),
	formatLogLine(1001, 'vm1', 'term.adopted', {group: 'db', term: 1, phase: 'closing'}),
	formatLogLine(1002, 'vm1', 'term.adopted', {group: 'other', term: 1, phase: 'closing'}),
	formatLogLine(1003, 'vm3', 'store.lost', {call: 'instances'}),
	formatLogLine(1400, 'vm1', 'statement.refused', {
		connection: 'c1', request: 'r1', group: 'db', kind: 'no-primary',
	}),
	formatLogLine(1500, 'vm1', 'statement.completed', {connection: 'c1', request: 'r2'}),
	formatLogLine(2100, 'vm2', 'promotion.ended', {group: 'db', term: 2}),
	formatLogLine(90_000, 'vm1', 'term.adopted', {group: 'db', term: 3, phase: 'closing'}),
	'not a line of ours',
	'  1.0 vm1 {"context":{"vm":"vm1"',
].map(text => parseLogLine(text)).filter(line => line !== undefined);

test('an explanation holds the lines of the request and its connection, and the possible causes on its VM and in its group', t => {
	t.deepEqual(explainRequest('r1', logLines.toReversed()).map(line => `${line.relation} ${line.vm} ${line.event}`), [
		'cause vm2 promotion.begun', 'cause vm1 term.adopted', 'request vm1 statement.refused', 'connection vm1 statement.completed', 'cause vm2 promotion.ended',
	]);
});

test('a line is formatted with its time relative to the request', t => {
	const [first] = explainRequest('r1', logLines);
	t.is(formatExplanationLine(first!, 1400), '  -0.400 s  cause       vm2  promotion.begun  group=db term=1 reason=crashed');
});

test('an id without log lines has no explanation', t => {
	t.deepEqual(explainRequest('r9', logLines), []);
});
