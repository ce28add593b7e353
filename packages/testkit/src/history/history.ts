import {type EndpointEvent, type LogEntry} from '../fakes/index.js';

/** Outcome of a call, as seen by its caller. */
export type CallOutcome =
	| {readonly kind: 'answered'; readonly value: string | undefined; readonly rowKey: string | undefined; readonly servedBy: string}
	| {readonly kind: 'refused'; readonly refusal: string; readonly ran: string}
	/** The connection failed before a response arrived. */
	| {readonly kind: 'broken'};

/** One call, as seen by its caller. Times are in milliseconds on the monotonic clock. */
export type CallRecord = {
	readonly sentAt: number;
	readonly endedAt: number;
	readonly vm: string;
	/** Whether the VM was shutting down when the call ended. */
	readonly wasDraining: boolean;
	readonly account: string;
	readonly key: string;
	/** Id of the caller's session. */
	readonly session: number;
	readonly group: string;
	readonly action: 'read' | 'write' | 'begin' | 'statement' | 'commit';
	/** Key of the row that the call reads or writes. */
	readonly rowKey: string;
	/** Unique tag of the write; empty if the call writes nothing. */
	readonly tag: string;
	/** Tags of the writes that were acknowledged to the session before the call was sent. */
	readonly acknowledgedTags: readonly string[];
	/** Whether a refusal is the only correct outcome. */
	readonly mustBeRefused: boolean;
	readonly outcome: CallOutcome;
};

/** Configuration version that a VM reported. */
export type VersionObservation = {readonly at: number; readonly vm: string; readonly pid: number; readonly version: number; readonly isReady: boolean};

/** Time at which an instance became the primary of a term. */
export type PromotionRecord = {readonly at: number; readonly group: string; readonly term: number};

/** Rate of an account, in calls per second, and its burst, in calls. */
export type AccountLimits = {readonly account: string; readonly rate: number; readonly burst: number};

/** Records of a run, from the callers and from the fakes. Times are in milliseconds on the monotonic clock. */
export type History = {
	readonly calls: CallRecord[];
	readonly events: EndpointEvent[];
	readonly observedVersions: VersionObservation[];
	readonly acceptedVersions: Array<{readonly at: number; readonly version: number}>;
	readonly keyWithdrawals: Array<{readonly at: number; readonly key: string}>;
	readonly leavingEndpoints: Array<{readonly at: number; readonly instance: string}>;
	readonly limits: AccountLimits[];
	/** Times at which a group's primary was made to fail. */
	readonly primaryFailures: Array<{readonly at: number; readonly group: string}>;
	/** Log lines of the daemons, for diagnosis; no check reads them. */
	readonly daemonLogs: string[];
	readonly groupByInstance: Map<string, string>;
	/** Log of each group's primary at the end of the run. */
	readonly finalPrimaryLogs: Map<string, readonly LogEntry[]>;
};

/** Creates an empty history. */
export function createHistory(): History {
	return {
		calls: [], events: [], observedVersions: [], acceptedVersions: [], keyWithdrawals: [], leavingEndpoints: [], limits: [], primaryFailures: [], daemonLogs: [], groupByInstance: new Map(), finalPrimaryLogs: new Map(),
	};
}
