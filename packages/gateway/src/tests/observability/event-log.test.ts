import test from 'ava';
import {EventLog} from '../../observability/index.js';

test('a stalled reader does not let the output buffer grow without bound: lines are dropped', t => {
	const written: string[] = [];
	const output = {
		writableLength: 0,
		write(text: string) {
			written.push(text);
			output.writableLength += text.length;
		},
	};
	const log = new EventLog('vm1', output);
	for (let index = 0; index < 100; index++) {
		log.logEvent('term.adopted', {
			group: 'x'.repeat(10_000), term: 1, primary: 'db-1', phase: 'open', revision: index, before: undefined,
		});
	}

	const kept = written.length;
	t.true(output.writableLength < 262_144 + 20_000);
	t.true(kept < 100);
	t.true(written.every(line => (JSON.parse(line) as {message: string}).message === 'term.adopted'));
});

test('success and refusal events are rate-limited, state events at the same rate are all written', t => {
	const counts: Record<string, number> = {};
	const log = new EventLog('vm1', {
		write(text: string) {
			const {message} = JSON.parse(text) as {message: string};
			counts[message] = (counts[message] ?? 0) + 1;
		},
		writableLength: 0,
	});
	for (let index = 0; index < 150; index++) {
		log.logEvent('statement.completed', {connection: 'c1', request: `${index}`, statement: 'read'});
		log.logEvent('statement.refused', {
			connection: 'c1', request: `${index}`, database: 'd', group: 'g', statement: 'read', kind: 'overloaded', why: 'no place', ran: 'no', retryAfterMs: 200, state: 'idle', places: undefined, configuration: 1,
		});
		log.logEvent('instance.lost', {
			instance: 'db-1', group: 'g', how: 'silent', answeredAgoMs: index,
		});
	}

	t.true(counts['statement.completed']! <= 4);
	t.true(counts['statement.refused']! <= 40);
	t.is(counts['instance.lost'], 150);
});
