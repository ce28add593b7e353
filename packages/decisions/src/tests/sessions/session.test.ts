import test from 'ava';
import fc from 'fast-check';
import {comparePositions} from '@chicorysaddle/model';
import {Session, type SessionWatermark} from '../../index.js';

const marks = fc.array(fc.tuple(fc.constantFrom('a', 'b'), fc.record<SessionWatermark>({
	position: fc.record({term: fc.nat(3), offset: fc.nat(9)}), primaryOnly: fc.boolean(),
})), {maxLength: 4});

test('merging keeps the later position of each group, in either order', t => {
	fc.assert(fc.property(marks, marks, (left, right) => {
		const one = new Session(left);
		one.merge(new Session(right));
		const other = new Session(right);
		other.merge(new Session(left));
		for (const group of ['a', 'b']) {
			const merged = one.getWatermark(group);
			const inputs = [new Session(left).getWatermark(group), new Session(right).getWatermark(group)];
			t.true(inputs.every(mark => comparePositions(merged.position, mark.position) >= 0));
			t.is(merged.primaryOnly, inputs.some(mark => mark.primaryOnly));
			t.deepEqual(other.getWatermark(group), merged);
		}
	}), {seed: 1});
});

test('a write with unknown outcome binds the group to the primary until a read there', t => {
	const session = new Session();
	session.observeUnknownWrite('a');
	session.observePosition('a', {term: 1, offset: 4}, false);
	t.true(session.getWatermark('a').primaryOnly);
	session.observePosition('a', {term: 1, offset: 4}, true);
	t.false(session.getWatermark('a').primaryOnly);
});
