import {readFile} from 'node:fs/promises';
import test from 'ava';
import {eventCatalogue, formatEventTable, getEventDefinition} from '../../events/index.js';

test('the page for operators contains the table of the catalogue', async t => {
	const page = await readFile(new URL('../../../../../docs/OPERATIONS.md', import.meta.url), 'utf8');
	t.true(page.includes(formatEventTable()), 'docs/OPERATIONS.md differs from the catalogue: replace its table with the output of formatEventTable');
	t.is(formatEventTable().split('\n').length, Object.keys(eventCatalogue).length + 2);
});

test('a name that is not in the catalogue has no definition, even if every object has a property of that name', t => {
	t.is(getEventDefinition('term.adopted')?.isPossibleCause, true);
	t.is(getEventDefinition('term.forgotten'), undefined);
	t.is(getEventDefinition('constructor'), undefined);
});
