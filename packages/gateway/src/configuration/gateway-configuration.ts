/** Read consistency of a route. */
export type RouteConsistency = 'primary' | 'bounded' | 'read-your-writes';

/** Route from a database name to a group. */
export type DatabaseRoute = {
	readonly name: string;
	/** Database name as used by callers. */
	readonly database: string;
	readonly group: string;
	readonly consistency: RouteConsistency;
	readonly statementTimeoutMs: number;
	readonly targetLatencyMs: number;
	/** 0 is the highest priority. */
	readonly priority: number;
	/** Maximum staleness of reads, in milliseconds; ignored for the consistency `primary`. */
	readonly maxStalenessMs: number;
	/** Whether callers without an account are accepted. */
	readonly allowsAnonymous: boolean;
};

/** A group of database instances with one primary. */
export type DatabaseGroup = {
	readonly name: string;
	/** Maximum number of connections to one instance, over all VMs. */
	readonly maxConnections: number;
	/** Maximum number of operations per second that one cold instance may get, over all VMs; unlimited if absent. */
	readonly coldPerS?: number;
	/** Number of replicas that have received a commit before it is acknowledged; absent if a VM of a former build sent the configuration, which drops it. */
	readonly syncReplicas?: number;
};

/** A client account with its limits. */
export type ClientAccount = {
	readonly name: string;
	/** Digests of the account's keys. */
	readonly keyDigests: readonly string[];
	readonly priority: number;
	/** Operations per second, over all VMs. */
	readonly ratePerS: number;
	/** Operations allowed at once in addition to the rate, over all VMs. */
	readonly burst: number;
};

/** One version of the configuration. */
export type GatewayConfiguration = {
	readonly version: number;
	readonly routes: readonly DatabaseRoute[];
	readonly groups: readonly DatabaseGroup[];
	readonly accounts: readonly ClientAccount[];
	/** Idle time after which a transaction may be aborted, in milliseconds. */
	readonly transactionIdleMs: number;
	/** Maximum size of a statement, in bytes. */
	readonly maxStatementBytes: number;
};
