import test from 'ava';
import {FailureDetector, GroupState} from '../../index.js';

const voters = ['v1', 'v2', 'v3'];

function createGroup(): GroupState {
	const group = new GroupState('g');
	for (const name of ['a', 'b', 'c']) {
		group.addInstance(name, 'z').recordReport({
			term: 1, promoter: 'initial', primary: name === 'a', position: {term: 1, offset: 1}, stalenessMs: 5, primarySilentMs: 5,
		}, 0);
	}

	group.recordPrimary(1, 'a');
	return group;
}

function createReport(vm: string, failingMs: number, requestedAt: number, term = 1) {
	return {
		vm, term, failingMs, requestedAt,
	};
}

test('one VM alone never starts a promotion, however long it cannot reach the primary', t => {
	const group = createGroup();
	const detector = new FailureDetector(group);
	group.getInstance('a')!.recordUnreachable(1000);
	detector.updateFailureStart(60_000);
	t.false(detector.isPromotionDue('v1', voters, 60_000));
	detector.recordReport(createReport('v2', 0, 59_900));
	t.false(detector.isPromotionDue('v1', voters, 60_000), 'the other VM reaches the primary');
	detector.recordReport(createReport('v2', 700, 59_900, 0));
	t.false(detector.isPromotionDue('v1', voters, 60_000), 'a report about another term');
	detector.recordReport(createReport('v2', 900, 50_000));
	t.false(detector.isPromotionDue('v1', voters, 60_000), 'a report that is too old');
	detector.recordReport(createReport('v2', 900, 59_900));
	t.true(detector.isPromotionDue('v1', voters, 60_000));
	detector.recordPromotionStarted(60_000);
	t.false(detector.isPromotionDue('v1', voters, 61_000), 'no second promotion within the minimum interval');
});

test('a primary that responds to a VM but is silent towards its replicas is failing', t => {
	const group = createGroup();
	const detector = new FailureDetector(group);
	for (const name of ['b', 'c']) {
		group.getInstance(name)!.recordReport({
			term: 1, promoter: 'initial', primary: false, position: {term: 1, offset: 1}, stalenessMs: 900, primarySilentMs: 900,
		}, 2000);
	}

	detector.updateFailureStart(2000);
	t.is(detector.getFailingMs(2000), 900);
	group.getInstance('c')!.recordReport({
		term: 1, promoter: 'initial', primary: false, position: {term: 1, offset: 1}, stalenessMs: 5, primarySilentMs: 5,
	}, 2100);
	const laterDetector = new FailureDetector(group);
	laterDetector.updateFailureStart(2100);
	t.is(laterDetector.getFailingMs(2100), 0, 'one replica still hears from it');
});
