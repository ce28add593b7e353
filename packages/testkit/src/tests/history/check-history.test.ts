import test from 'ava';
import {Step} from '@chicorysaddle/protocol';
import {
	type CallRecord, checkHistory, createHistory, type History, type ViolationName, violationNames,
} from '../../history/index.js';
import {type EndpointEvent} from '../../fakes/index.js';

function createCall(call: Partial<CallRecord>): CallRecord {
	return {
		sentAt: 0, endedAt: 10, vm: 'vm-1', wasDraining: false, account: 'a', key: 'csk_a', session: 1, group: 'g', action: 'read', rowKey: 'r', tag: '',
		acknowledgedTags: [], mustBeRefused: false, outcome: {
			kind: 'answered', value: 't1', rowKey: 'r', servedBy: 'replica',
		}, ...call,
	};
}

function createEvent(event: Partial<EndpointEvent>): EndpointEvent {
	return {
		at: 5, instance: 'g-1', term: 1, statement: 'append', parameters: {}, step: Step.SINGLE, requestText: '', writtenTags: [], committedTags: [], ...event,
	};
}

function createLog(...tags: string[]): History['finalPrimaryLogs'] {
	const operations = tags.map(tag => ({
		statement: 'append' as const, key: 'r', value: tag, tag,
	}));
	return new Map([['g', [{
		position: {term: 1, offset: 1}, operations, recordId: '', bodyHash: '', writtenAt: 0,
	}]]]);
}

/** Creates a history with an acknowledged write, a read of it and a committed transaction. */
function createValidHistory(): History {
	const history = createHistory();
	history.groupByInstance.set('g-1', 'g').set('g-2', 'g');
	history.limits.push({account: 'a', rate: 1, burst: 10});
	history.calls.push(
		createCall({action: 'write', tag: 't1'}),
		createCall({sentAt: 20, endedAt: 30, acknowledgedTags: ['t1']}),
		createCall({
			action: 'statement', tag: 'x:0', sentAt: 40, endedAt: 41,
		}),
		createCall({
			action: 'commit', tag: 'x', sentAt: 42, endedAt: 43,
		}),
	);
	history.events.push(createEvent({writtenTags: ['t1']}), createEvent({
		at: 42, step: Step.COMMIT, committedTags: ['x:0'], writtenTags: ['x:0'],
	}));
	history.observedVersions.push({
		at: 0, vm: 'vm-1', pid: 1, version: 2, isReady: true,
	});
	history.acceptedVersions.push({at: 0, version: 2});
	history.finalPrimaryLogs.set('g', createLog('t1', 'x:0').get('g')!);
	return history;
}

const refusedNotRun = {kind: 'refused', refusal: 'overloaded', ran: 'no'} as const;

const injectedViolations: Readonly<Record<ViolationName, (history: History) => void>> = {
	readYourWrites: ({calls}) => calls.push(createCall({acknowledgedTags: ['t1', 't2']})),
	oldPrimaryAck({calls, events}) {
		events.push(createEvent({at: 6, term: 2, instance: 'g-2'}), createEvent({at: 7, term: 1, writtenTags: ['t9']}));
		calls.push(createCall({action: 'write', tag: 't9'}));
	},
	mixedTransactions: ({events}) => events.push(createEvent({step: Step.COMMIT, committedTags: ['x:1', 'y:0']})),
	wrongAccount: ({calls}) => calls.push(createCall({mustBeRefused: true})),
	keySeenByEndpoint: ({events}) => events.push(createEvent({requestText: 'authorization: Bearer csk_a'})),
	withdrawnKeyServed({keyWithdrawals, calls}) {
		keyWithdrawals.push({at: 0, key: 'csk_old'});
		calls.push(createCall({key: 'csk_old', sentAt: 3500, endedAt: 3510}));
	},
	overRate: ({calls}) => calls.push(...Array.from({length: 11}, () => createCall({}))),
	crossedAnswer: ({calls}) => calls.push(createCall({
		outcome: {
			kind: 'answered', value: '', rowKey: 'other', servedBy: 'replica',
		},
	})),
	falseNotRun({calls, events}) {
		calls.push(createCall({action: 'write', tag: 't5', outcome: refusedNotRun}));
		events.push(createEvent({writtenTags: ['t5']}));
	},
	ranTwice: ({finalPrimaryLogs}) => finalPrimaryLogs.set('g', createLog('t1', 'x:0', 't1').get('g')!),
	workAfterLeaving({leavingEndpoints, events}) {
		leavingEndpoints.push({at: 0, instance: 'g-1'});
		events.push(createEvent({at: 3100}));
	},
	cutByShutdown: ({calls}) => calls.push(createCall({wasDraining: true, outcome: {kind: 'broken'}})),
	configReverted: ({observedVersions}) => observedVersions.push({
		at: 9, vm: 'vm-1', pid: 1, version: 1, isReady: true,
	}),
	lostWrite: ({calls}) => calls.push(createCall({action: 'write', tag: 't7'})),
};

test('a valid history has no violations', t => {
	t.deepEqual(Object.values(checkHistory(createValidHistory())).filter(times => times > 0), []);
});

for (const name of violationNames) {
	test(`the check of ${name} detects an injected violation`, t => {
		const history = createValidHistory();
		injectedViolations[name](history);
		t.is(checkHistory(history)[name], 1);
	});
}

test('an accepted version that is not in force after eight seconds is a violation', t => {
	const history = createValidHistory();
	history.acceptedVersions.push({at: 0, version: 3});
	history.observedVersions.push({
		at: 8001, vm: 'vm-1', pid: 1, version: 2, isReady: true,
	});
	t.is(checkHistory(history).configReverted, 1);
});

test('a commit without one of its acknowledged statements is a mixed transaction', t => {
	const history = createValidHistory();
	history.calls.push(createCall({action: 'statement', tag: 'x:1'}));
	t.is(checkHistory(history).mixedTransactions, 1);
});
