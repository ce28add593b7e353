import {build} from 'hdr-histogram-js';
import {type AccountLimits, type CallRecord, type History} from './history.js';

/** Statistics of a run, computed from its history; they are part of the JSON output. */
export type RunStatistics = {
	/** Number of calls, without those that must be refused. */
	readonly requests: number;
	/** Number of these calls that were refused. */
	readonly refused: number;
	/** Fraction of the answered reads that a replica served. */
	readonly replicaReadShare: number;
	/** Longest time between two consecutive acknowledged writes around a failure of a group's primary, in milliseconds; zero without failures. */
	readonly failoverGapMs: number;
	/** Lowest fraction, over all accounts, of the admissible calls that were served. */
	readonly worstServedAccountShare: number;
	/** Fraction of the admissible calls of all accounts that were not served. */
	readonly refusedInsideRate: number;
	/** Latency of the answered calls, in milliseconds. */
	readonly latencyMs: {readonly p50: number; readonly p99: number; readonly max: number};
};

/** Returns for each call of an account, in order, whether a single token bucket shared by all VMs would have admitted it. */
export function simulateSharedBucket(calls: readonly CallRecord[], {rate, burst}: AccountLimits): boolean[] {
	let tokens = burst;
	let lastSentAt = calls[0]?.sentAt ?? 0;
	return calls.map(call => {
		tokens = Math.min(burst, tokens + (((call.sentAt - lastSentAt) / 1000) * rate));
		lastSentAt = call.sentAt;
		const isAdmitted = tokens >= 1;
		tokens -= isAdmitted ? 1 : 0;
		return isAdmitted;
	});
}

/** Calls of an account that a shared token bucket would have admitted, and the served calls up to that number. */
type AccountStatistics = {readonly admissibleCount: number; readonly servedCount: number};

/** Compares counts only: an account above its rate may have any of its calls served. */
function computeAccountStatistics(history: History, limits: AccountLimits): AccountStatistics {
	const calls = history.calls
		.filter(call => call.account === limits.account && !call.mustBeRefused && call.action !== 'commit')
		.toSorted((a, b) => a.sentAt - b.sentAt);
	const admissibleCount = simulateSharedBucket(calls, limits).filter(Boolean).length;
	return {admissibleCount, servedCount: Math.min(admissibleCount, calls.filter(call => call.outcome.kind === 'answered').length)};
}

function computeFailoverGapMs({calls, primaryFailures}: History): number {
	const gaps = primaryFailures.map(({at, group}) => {
		const times = calls.filter(call => call.group === group && call.action === 'write' && call.outcome.kind === 'answered').map(call => call.endedAt).toSorted((a, b) => a - b);
		const before = times.findLast(time => time <= at) ?? at;
		const failoverWindowMs = 15_000;
		const later = [before, ...times.filter(time => time > at && time < at + failoverWindowMs)];
		return Math.max(0, ...later.slice(1).map((time, index) => time - later[index]!));
	});
	return Math.round(Math.max(0, ...gaps));
}

/** Computes the statistics of a run. */
export function computeRunStatistics(history: History): RunStatistics {
	const calls = history.calls.filter(call => !call.mustBeRefused);
	const reads = calls.filter(call => call.action === 'read' && call.outcome.kind === 'answered');
	const replicaReads = reads.filter(({outcome}) => outcome.kind === 'answered' && outcome.servedBy === 'replica');
	const accountStatistics = history.limits.map(limits => computeAccountStatistics(history, limits)).filter(account => account.admissibleCount > 0);
	const histogram = build({numberOfSignificantValueDigits: 3});
	for (const call of calls.filter(({outcome}) => outcome.kind === 'answered')) {
		histogram.recordValue(Math.max(1, Math.round((call.endedAt - call.sentAt) * 1000)));
	}

	const admissibleCount = accountStatistics.reduce((sum, account) => sum + account.admissibleCount, 0);
	return {
		requests: calls.length,
		refused: calls.filter(({outcome}) => outcome.kind === 'refused').length,
		replicaReadShare: replicaReads.length / Math.max(1, reads.length),
		failoverGapMs: computeFailoverGapMs(history),
		worstServedAccountShare: Math.min(1, ...accountStatistics.map(account => account.servedCount / account.admissibleCount)),
		refusedInsideRate: (admissibleCount - accountStatistics.reduce((sum, account) => sum + account.servedCount, 0)) / Math.max(1, admissibleCount),
		latencyMs: {
			p50: histogram.getValueAtPercentile(50) / 1000, p99: histogram.getValueAtPercentile(99) / 1000, max: histogram.maxValue / 1000,
		},
	};
}
