import test from 'ava';
import fc from 'fast-check';
import {
	confirmationMs, findRecordedPrimary, findSurveyedPrimary, hasTakenEffect, getOrderedPromotion, isOrderComplete, type InstanceRole, type OrderedPromotion, rankResumedCandidates,
} from '../../index.js';

const former = {id: 'former', term: 3};
const order = {instanceId: 'successor', instanceTerm: 3};

function createReading(id: string, role: InstanceRole['role'], term: number): InstanceRole {
	return {id, role, term};
}

test('a record is complete only if no coordinator between its writer and the present one can have ordered a promotion', t => {
	const record = {token: 5, formerPrimaryId: 'former'};
	const ordered = [5, 6, 7, 4].map(token => getOrderedPromotion(record, token));
	t.deepEqual(ordered, ['none', 'none', 'unknown', 'unknown']);
	t.is(getOrderedPromotion({...record, order}, 6), order);
	t.is(getOrderedPromotion({...record, order}, 7), 'unknown');
	t.is(getOrderedPromotion(undefined, 5), 'unknown', 'a row of a former build');
});

test('the former primary is the primary only if no promotion was ordered and it leads the closed term', t => {
	const readings = [createReading('former', 'primary', 3), createReading('other', 'replica', 3)];
	t.is(findRecordedPrimary(former, 'none', readings)?.id, 'former');
	t.is(findRecordedPrimary(former, order, readings), undefined);
	t.is(findRecordedPrimary(former, 'none', [createReading('former', 'primary', 5)]), undefined);
	t.is(findRecordedPrimary(former, 'none', [createReading('former', 'replica', 3)]), undefined);
});

test('only the instance that was ordered last is the primary, and only in a later term than before the order', t => {
	t.is(findRecordedPrimary(former, order, [createReading('former', 'primary', 3), createReading('successor', 'primary', 4)])?.id, 'successor');
	t.is(findRecordedPrimary(former, order, [createReading('successor', 'replica', 3)]), undefined);
	// The successor leads term 4 from an earlier order; an instance that does not answer may lead term 5.
	t.is(findRecordedPrimary(former, {instanceId: 'successor', instanceTerm: 4}, [createReading('successor', 'primary', 4)]), undefined);
	t.is(findRecordedPrimary(former, {instanceId: 'other', instanceTerm: 3}, [createReading('successor', 'primary', 4)]), undefined);
});

test('without a record the answers of all instances tell the primary, and nothing does if one is missing or knows of a later term', t => {
	const readings = [createReading('former', 'primary', 3), createReading('other', 'replica', 3), createReading('third', 'replica', 2)];
	t.is(findSurveyedPrimary(readings, 3)?.id, 'former');
	t.is(findSurveyedPrimary(readings, 4), undefined);
	t.is(findSurveyedPrimary([createReading('former', 'primary', 3), createReading('other', 'replica', 4)], 2), undefined);
	t.is(findSurveyedPrimary([createReading('former', 'primary', 3), createReading('other', 'primary', 4)], 2)?.id, 'other');
	t.is(findSurveyedPrimary([createReading('former', 'primary', 3)], 1), undefined, 'an instance alone does not show that it was not replaced');
	t.is(findSurveyedPrimary<InstanceRole>([], 0), undefined);
});

test('a primary of a later term is promoted first, then the one that was ordered, then a primary of the closed term unless another instance knows of a later one', t => {
	const rank = (candidates: readonly InstanceRole[], orderedId?: string) => rankResumedCandidates(candidates, 3, orderedId).map(({id}) => id).join(' ');
	const replica = createReading('other', 'replica', 3);
	t.is(rank([replica, createReading('former', 'primary', 3)]), 'former other');
	t.is(rank([createReading('other', 'replica', 4), createReading('former', 'primary', 3)]), 'other former');
	t.is(rank([createReading('former', 'primary', 3), replica], 'other'), 'other former');
	t.is(rank([replica, createReading('former', 'primary', 3), createReading('leader', 'primary', 5)], 'other'), 'leader other former');
});

test('an accepted order is complete with a later term, or when an instance that was the primary already has not changed for long enough', t => {
	t.true(isOrderComplete(order, false, {role: 'primary', term: 4}, 0));
	t.false(isOrderComplete(order, false, {role: 'primary', term: 3}, confirmationMs));
	t.false(isOrderComplete(order, true, {role: 'primary', term: 3}, confirmationMs - 1));
	t.true(isOrderComplete(order, true, {role: 'primary', term: 3}, confirmationMs));
	t.false(isOrderComplete(order, true, {role: 'replica', term: 4}, confirmationMs));
});

/** Orders, one after another, and which of the instances answer. */
const historyArbitrary = fc.record({
	orders: fc.array(fc.record({index: fc.nat(2), isPerformed: fc.boolean()}), {maxLength: 4}),
	answering: fc.tuple(fc.boolean(), fc.boolean(), fc.boolean()),
});

// Guards against taking an instance that answers for the primary while a later one is silent.
test('whatever was ordered and whoever answers, an instance that the record names as the primary leads the newest term', t => {
	fc.assert(fc.property(historyArbitrary, ({orders, answering}) => {
		const ids = ['former', 'first', 'second'];
		const terms = [former.term, former.term, former.term];
		const leads = [true, false, false];
		let newest = 0;
		let newestTerm = former.term;
		let ordered: Exclude<OrderedPromotion, 'unknown'> = 'none';
		for (const {index, isPerformed} of orders) {
			ordered = {instanceId: ids[index]!, instanceTerm: terms[index]!};
			if (isPerformed && index !== newest) {
				newestTerm += 1;
				newest = index;
				terms[index] = newestTerm;
				leads[index] = true;
			}
		}

		const readings = ids.flatMap((id, index) => answering[index]! ? [createReading(id, leads[index]! ? 'primary' : 'replica', terms[index]!)] : []);
		const found = findRecordedPrimary(former, ordered, readings);
		t.true(found === undefined || found.id === ids[newest], JSON.stringify({orders, answering, found}));
	}), {seed: 45, numRuns: 2000});
});

// Guards against a watch that never ends for an order which was performed, and against one that ends although another order is the cause of the later term.
test('an order has taken effect once an instance is in a later term, unless another order may be the cause', t => {
	t.false(hasTakenEffect(3, 3, 0));
	t.true(hasTakenEffect(3, 4, 0));
	t.false(hasTakenEffect(3, 4, 1));
});
