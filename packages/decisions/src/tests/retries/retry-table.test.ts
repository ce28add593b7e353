import test from 'ava';
import {
	getFinalDecision, getRequestClass, getRetryDecision, getRetryDelayMs, RetryBudget, type RequestClass, type RequestStage,
} from '../../index.js';

const stages: RequestStage[] = ['unsent', 'refused-by-endpoint', 'unanswered', 'unconfirmed'];

test('every request is retried except an unrecorded write that may have run', t => {
	const classes: RequestClass[] = ['read', 'repeatable-write', 'recorded-write', 'unrecorded-write'];
	const refused = classes.flatMap(one => stages.filter(stage => getRetryDecision(one, stage) !== 'retry').map(stage => `${one} ${stage}`));
	t.deepEqual(refused, ['unrecorded-write unanswered', 'unrecorded-write unconfirmed']);
	t.is(getRequestClass('write', true, true), 'recorded-write');
	t.is(getRequestClass('write', false, false), 'unrecorded-write');
});

test('"not run" is reported only if no attempt can have run', t => {
	for (const requestClass of ['repeatable-write', 'recorded-write', 'unrecorded-write'] as const) {
		t.is(getFinalDecision(['unsent', 'refused-by-endpoint'], requestClass), 'refuse-not-run');
		t.is(getFinalDecision(['unanswered', 'refused-by-endpoint'], requestClass), 'refuse-unknown');
		t.is(getFinalDecision(['unconfirmed', 'unsent'], requestClass), 'refuse-unknown');
	}

	t.is(getFinalDecision(['unanswered'], 'read'), 'refuse-not-run');
});

test('retries stay below a tenth of the requests, except for an initial burst, and their delays grow', t => {
	const budget = new RetryBudget();
	let retries = 0;
	for (let request = 0; request < 1000; request += 1) {
		budget.recordRequest();
		retries += budget.acquireRetry() ? 1 : 0;
	}

	t.true(retries <= 110 && retries >= 100, String(retries));
	t.true(getRetryDelayMs(3, 0) > getRetryDelayMs(0, 0.9));
	t.is(getRetryDelayMs(20, 1), 200);
});
