import test from 'ava';
import {findSurveyedPosition, type SurveyedInstance} from '../../index.js';

const primary = {id: 'a', term: 3};
const position = {term: 3, offset: 70};
const answers: readonly SurveyedInstance[] = [
	{
		id: 'a', role: 'primary', term: 3, position,
	},
	{
		id: 'b', role: 'replica', term: 3, position: {term: 3, offset: 68},
	},
	{
		id: 'c', role: 'replica', term: 2, position: {term: 2, offset: 40},
	},
];

test('all instances together show the position of a primary that none of them has replaced', t => {
	t.deepEqual(findSurveyedPosition(primary, answers, 3), position);
});

test('an instance that does not answer may have been promoted, and so may one that the group has but the VM does not list', t => {
	for (const missing of answers) {
		t.is(findSurveyedPosition(primary, answers.filter(answer => answer !== missing), 3), undefined);
	}

	t.is(findSurveyedPosition(primary, answers, 4), undefined);
	t.is(findSurveyedPosition(primary, answers.slice(0, 1), 1), undefined, 'a primary alone shows nothing');
});

test('one instance that leads or knows a later term outweighs all others', t => {
	for (const change of [{role: 'primary', term: 4}, {role: 'replica', term: 4}, {role: 'primary', term: 3}] as const) {
		t.is(findSurveyedPosition(primary, answers.map(answer => answer.id === 'b' ? {...answer, ...change} : answer), 3), undefined);
	}

	t.is(findSurveyedPosition(primary, answers.map(answer => answer.id === 'a' ? {...answer, role: 'replica'} : answer), 3), undefined);
	t.is(findSurveyedPosition({id: 'a', term: 2}, answers, 3), undefined, 'the VM knows an earlier term');
});
