import {type EndpointEvent, type LogEntry} from '../fakes/index.js';

/** What became of a call, as its caller saw it. */
export type CallOutcome =
	| {readonly kind: 'answered'; readonly value: string | undefined; readonly rowKey: string | undefined; readonly servedBy: string}
	| {readonly kind: 'refused'; readonly refusal: string; readonly ran: string}
	/** The connection broke before the answer. */
	| {readonly kind: 'broken'};

/** One call, as its caller saw it. */
export type CallRecord = {
	readonly sentAt: number;
	readonly endedAt: number;
	readonly vm: string;
	/** Whether the VM was shutting down when the call ended. */
	readonly wasDraining: boolean;
	readonly account: string;
	readonly key: string;
	readonly session: number;
	readonly group: string;
	readonly action: 'read' | 'write' | 'begin' | 'statement' | 'commit';
	/** Row that the call was about. */
	readonly rowKey: string;
	/** Unique mark of what the call wrote, empty for none. */
	readonly tag: string;
	/** Marks that the session knew to be acknowledged when the call was sent. */
	readonly acknowledgedTags: readonly string[];
	/** Whether only a refusal is right. */
	readonly mustBeRefused: boolean;
	readonly outcome: CallOutcome;
};

/** A version seen at a VM. */
export type VersionObservation = {readonly at: number; readonly vm: string; readonly pid: number; readonly version: number; readonly isReady: boolean};

/** When an instance began to lead a term. */
export type PromotionRecord = {readonly at: number; readonly group: string; readonly term: number};

/** Limits of an account, from a time on. */
export type AccountLimits = {readonly account: string; readonly rate: number; readonly burst: number};

/** Everything recorded in a run, from the callers' side and the stand-ins' side. */
export type History = {
	readonly calls: CallRecord[];
	readonly events: EndpointEvent[];
	readonly observedVersions: VersionObservation[];
	readonly acceptedVersions: Array<{readonly at: number; readonly version: number}>;
	readonly keyWithdrawals: Array<{readonly at: number; readonly key: string}>;
	readonly leavingEndpoints: Array<{readonly at: number; readonly instance: string}>;
	readonly limits: AccountLimits[];
	/** Time at which a fault hit a group's primary. */
	readonly primaryFailures: Array<{readonly at: number; readonly group: string}>;
	/** Log lines of the daemons, for finding causes only. */
	readonly daemonLogs: string[];
	readonly groupByInstance: Map<string, string>;
	/** Log of each group's last primary at the end. */
	readonly finalPrimaryLogs: Map<string, readonly LogEntry[]>;
};

/** Creates an empty history. */
export function createHistory(): History {
	return {
		calls: [], events: [], observedVersions: [], acceptedVersions: [], keyWithdrawals: [], leavingEndpoints: [], limits: [], primaryFailures: [], daemonLogs: [], groupByInstance: new Map(), finalPrimaryLogs: new Map(),
	};
}
