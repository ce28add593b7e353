import {readFile} from 'node:fs/promises';
import test from 'ava';
import {eventCatalogue, formatEventTable, getEventDefinition} from '../../events/index.js';

test('the page for operators lists every event as the catalogue has it', async t => {
	const page = await readFile(new URL('../../../../../docs/OPERATIONS.md', import.meta.url), 'utf8');
	t.true(page.includes(formatEventTable()), 'docs/OPERATIONS.md differs from the catalogue: put in what formatEventTable returns');
	t.is(formatEventTable().split('\n').length, Object.keys(eventCatalogue).length + 2);
});

test('what stands in no catalogue has no structure, however it is named', t => {
	t.is(getEventDefinition('term.adopted')?.isPossibleCause, true);
	t.is(getEventDefinition('term.forgotten'), undefined);
	t.is(getEventDefinition('constructor'), undefined);
});
