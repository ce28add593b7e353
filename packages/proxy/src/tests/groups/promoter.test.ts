import test from 'ava';
import {type Table} from '@chicorysaddle/store';
import {Promoter, type Group} from '../../groups/index.js';
import {type Clock, type Logger, type Metrics} from '../../observability/index.js';

test('an unexpected error during a promotion is logged, and does not end the process or later attempts', async t => {
	const errors: string[] = [];
	let reads = 0;
	const table = {
		async readRows() {
			reads += 1;
			throw new TypeError('unexpected row');
		},
	};
	const logger = {
		info() {
			// Only errors are looked at.
		},
		error(message: string) {
			errors.push(message);
		},
	};
	const promoter = new Promoter('vm1', table as unknown as Table, {} as unknown as Clock, logger as unknown as Logger, {} as unknown as Metrics);
	const group = {state: {name: 'db', term: 1, instances: []}} as unknown as Group;
	await promoter.tryPromoteGroup(group);
	await promoter.tryPromoteGroup(group);
	t.deepEqual(errors, ['promotion failed', 'promotion failed']);
	t.is(reads, 2);
});
