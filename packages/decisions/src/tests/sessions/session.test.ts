import test from 'ava';
import fc from 'fast-check';
import {comparePositions} from '@chicorysaddle/model';
import {Session, type SessionWatermark} from '../../index.js';

const watermarksArbitrary = fc.array(fc.tuple(fc.constantFrom('a', 'b'), fc.record<SessionWatermark>({
	position: fc.record({term: fc.nat(3), offset: fc.nat(9)}), primaryOnly: fc.boolean(),
})), {maxLength: 4});

test('merging keeps the later position of each group, in either order', t => {
	fc.assert(fc.property(watermarksArbitrary, watermarksArbitrary, (left, right) => {
		const leftFirst = new Session(left);
		leftFirst.merge(new Session(right));
		const rightFirst = new Session(right);
		rightFirst.merge(new Session(left));
		for (const group of ['a', 'b']) {
			const merged = leftFirst.getWatermark(group);
			const inputs = [new Session(left).getWatermark(group), new Session(right).getWatermark(group)];
			t.true(inputs.every(watermark => comparePositions(merged.position, watermark.position) >= 0));
			t.is(merged.primaryOnly, inputs.some(watermark => watermark.primaryOnly));
			t.deepEqual(rightFirst.getWatermark(group), merged);
		}
	}), {seed: 1});
});

test('after a write with unknown outcome a group needs its primary until a read there', t => {
	const session = new Session();
	session.recordUnknownWrite('a');
	session.recordPosition('a', {term: 1, offset: 4}, false);
	t.true(session.getWatermark('a').primaryOnly);
	session.recordPosition('a', {term: 1, offset: 4}, true);
	t.false(session.getWatermark('a').primaryOnly);
});
