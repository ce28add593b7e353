import {Step} from '@chicorysaddle/protocol';
import {type CallRecord, type History} from './history.js';
import {type ViolationCounts, type ViolationName, violationNames} from './violations.js';

/** Time after which a withdrawn key or a leaving endpoint must no longer be used, in milliseconds. */
const removalDeadlineMs = 3000;
/** Time after which every ready VM must use an accepted configuration, in milliseconds. */
const inForceDeadlineMs = 8000;
/** Prefix of every key in tests. */
const keyPrefix = 'csk_';
/** Tolerance for floating-point errors, in calls. */
const callCountTolerance = 1e-6;

/** Returns the number of violations of one invariant. */
type HistoryCheck = (history: History) => number;

function countMatching<T>(items: Iterable<T>, isViolation: (item: T) => boolean): number {
	let total = 0;
	for (const item of items) {
		total += isViolation(item) ? 1 : 0;
	}

	return total;
}

function isAnswered(call: CallRecord): boolean {
	return call.outcome.kind === 'answered';
}

function getAcknowledgedWrites(history: History): CallRecord[] {
	return history.calls.filter(call => call.tag !== '' && isAnswered(call) && call.action !== 'statement');
}

/** Counts how often each tag occurs in the final logs. */
function countFinalTags(history: History): Map<string, number> {
	const counts = new Map<string, number>();
	for (const log of history.finalPrimaryLogs.values()) {
		for (const {operations} of log) {
			for (const {tag} of operations) {
				counts.set(tag, (counts.get(tag) ?? 0) + 1);
			}
		}
	}

	return counts;
}

/** Returns whether a tag is that of a transaction or of one of its statements, which have the tag of the transaction followed by `:` and a number. */
function isTagOfTransaction(tag: string, transactionTag: string): boolean {
	return tag === transactionTag || tag.startsWith(`${transactionTag}:`);
}

function checkReadYourWrites({calls}: History): number {
	return countMatching(calls, ({action, outcome, acknowledgedTags}) => {
		const readTags = action === 'read' && outcome.kind === 'answered' ? new Set((outcome.value ?? '').split(',')) : undefined;
		return readTags !== undefined && acknowledgedTags.some(tag => !readTags.has(tag));
	});
}

/** Counts acknowledged writes that are missing from the final log and ran after a request of a higher term in their group. */
function checkFormerPrimaryAck(history: History): number {
	const finalTags = countFinalTags(history);
	const termEventsByGroup = new Map<string, Array<{at: number; term: number}>>();
	const acknowledged = new Set(getAcknowledgedWrites(history).map(call => call.tag));
	const latestWriteByTag = new Map<string, {at: number; group: string; term: number}>();
	for (const event of history.events) {
		const group = history.groupByInstance.get(event.instance)!;
		const terms = termEventsByGroup.get(group) ?? [];
		terms.push({at: event.at, term: event.term});
		termEventsByGroup.set(group, terms);
		for (const tag of event.writtenTags) {
			const latest = latestWriteByTag.get(tag);
			if (latest === undefined || latest.term < event.term) {
				latestWriteByTag.set(tag, {at: event.at, group, term: event.term});
			}
		}
	}

	return countMatching(latestWriteByTag, ([tag, {at, group, term}]) => acknowledged.has(tag) && history.finalPrimaryLogs.has(group)
		&& termEventsByGroup.get(group)!.some(other => other.term > term && other.at < at) && !finalTags.has(tag));
}

function checkLostWrite(history: History): number {
	const finalTags = countFinalTags(history);
	return countMatching(getAcknowledgedWrites(history), call => call.action === 'write' && !finalTags.has(call.tag));
}

function checkRanTwice(history: History): number {
	return countMatching(countFinalTags(history).values(), times => times > 1);
}

/** Counts writes that an endpoint applied although every call was refused as not run. */
function checkFalseNotRun(history: History): number {
	const writtenTags = new Set(history.events.flatMap(event => event.writtenTags));
	const writesByTag = new Map<string, CallRecord[]>();
	for (const call of history.calls) {
		if (call.tag !== '' && call.action === 'write') {
			writesByTag.set(call.tag, [...writesByTag.get(call.tag) ?? [], call]);
		}
	}

	return countMatching(writesByTag, ([tag, calls]) => writtenTags.has(tag) && calls.every(({outcome}) => outcome.kind === 'refused' && outcome.ran === 'no'));
}

/** Counts commits with writes of several transactions, and acknowledged commits that lack an acknowledged statement. */
function checkMixedTransactions({events, calls}: History): number {
	const mixedCommits = countMatching(events, ({committedTags}) => new Set(committedTags.map(tag => tag.split(':', 1)[0])).size > 1);
	const commits = events.filter(event => event.step === Step.COMMIT);
	const partialCommits = countMatching(calls, call => {
		if (call.action !== 'commit' || !isAnswered(call)) {
			return false;
		}

		const statements = calls.filter(other => other.action === 'statement' && isAnswered(other) && other.tag !== '' && isTagOfTransaction(other.tag, call.tag));
		const committed = commits.find(event => event.committedTags.some(tag => isTagOfTransaction(tag, call.tag)))?.committedTags ?? [];
		return statements.some(statement => !committed.includes(statement.tag));
	});
	return mixedCommits + partialCommits;
}

function checkOverRate({calls, limits}: History): number {
	return countMatching(limits, ({account, rate, burst}) => {
		const accountCalls = calls.filter(call => call.account === account && isAnswered(call) && call.action !== 'commit');
		return !isWithinRate(accountCalls, rate, burst);
	});
}

/** Returns whether the calls both sent and answered in any time window are at most the burst plus the rate times its length. */
function isWithinRate(calls: readonly CallRecord[], rate: number, burst: number): boolean {
	const startTimes = calls.map(call => call.sentAt).toSorted((a, b) => a - b);
	const callsByEnd = calls.toSorted((a, b) => a.endedAt - b.endedAt);
	return startTimes.every(start => {
		let callCount = 0;
		for (const call of callsByEnd) {
			callCount += call.sentAt >= start ? 1 : 0;
			if (call.sentAt >= start && callCount > burst + ((rate * (call.endedAt - start)) / 1000) + callCountTolerance) {
				return false;
			}
		}

		return true;
	});
}

/** Counts observations of a lower version than before in the same process, or of a ready VM without a version whose deadline has passed. */
function checkConfigReverted({observedVersions, acceptedVersions}: History): number {
	const highestVersions = new Map<number, number>();
	return countMatching(observedVersions, ({at, pid, version, isReady}) => {
		const isReverted = version < (highestVersions.get(pid) ?? 0);
		highestVersions.set(pid, Math.max(version, highestVersions.get(pid) ?? 0));
		const isLate = isReady && acceptedVersions.some(change => change.version > version && at > change.at + inForceDeadlineMs);
		return isReverted || isLate;
	});
}

const historyChecks: Readonly<Record<ViolationName, HistoryCheck>> = {
	readYourWrites: checkReadYourWrites,
	oldPrimaryAck: checkFormerPrimaryAck,
	mixedTransactions: checkMixedTransactions,
	wrongAccount: ({calls}) => countMatching(calls, call => call.mustBeRefused && isAnswered(call)),
	keySeenByEndpoint: ({events}) => countMatching(events, event => event.requestText.includes(keyPrefix)),
	withdrawnKeyServed: ({calls, keyWithdrawals}) => countMatching(calls, call => isAnswered(call) && keyWithdrawals.some(({key, at}) => key === call.key && call.sentAt > at + removalDeadlineMs)),
	overRate: checkOverRate,
	crossedAnswer: ({calls}) => countMatching(calls, ({outcome, action, rowKey}) => outcome.kind === 'answered' && action === 'read' && outcome.rowKey !== rowKey),
	falseNotRun: checkFalseNotRun,
	ranTwice: checkRanTwice,
	workAfterLeaving: ({events, leavingEndpoints}) => countMatching(events, event => (event.step === Step.SINGLE || event.step === Step.BEGIN) && leavingEndpoints.some(({instance, at}) => instance === event.instance && event.at > at + removalDeadlineMs)),
	cutByShutdown: ({calls}) => countMatching(calls, call => call.wasDraining && call.outcome.kind === 'broken'),
	configReverted: checkConfigReverted,
	lostWrite: checkLostWrite,
};

/** Counts the violations of each invariant in a history. */
export function checkHistory(history: History): ViolationCounts {
	const entries = violationNames.map(name => [name, historyChecks[name](history)] as const);
	return Object.fromEntries(entries) as ViolationCounts;
}
