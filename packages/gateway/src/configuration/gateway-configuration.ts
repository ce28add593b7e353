/** What a route promises its readers. */
export type RouteConsistency = 'primary' | 'bounded' | 'read-your-writes';

/** A database name that callers may open a session on. */
export type DatabaseRoute = {
	readonly name: string;
	readonly database: string;
	readonly group: string;
	readonly consistency: RouteConsistency;
	readonly statementTimeoutMs: number;
	readonly targetLatencyMs: number;
	/** Zero is the highest. */
	readonly priority: number;
	readonly maxStalenessMs: number;
	readonly allowsAnonymous: boolean;
};

/** A group of database instances with one primary. */
export type DatabaseGroup = {
	readonly name: string;
	/** Connections that one instance takes from all VMs together. */
	readonly maxConnections: number;
};

/** A client account with its limits. */
export type ClientAccount = {
	readonly name: string;
	/** Digests of the account's keys. */
	readonly keyDigests: readonly string[];
	readonly priority: number;
	/** Operations a second, over all VMs. */
	readonly ratePerS: number;
	readonly burst: number;
};

/** One version of the configuration. */
export type GatewayConfiguration = {
	readonly version: number;
	readonly routes: readonly DatabaseRoute[];
	readonly groups: readonly DatabaseGroup[];
	readonly accounts: readonly ClientAccount[];
	/** Idle time after which a transaction may be ended. */
	readonly transactionIdleMs: number;
	/** Largest statement that is taken from a caller, bytes. */
	readonly maxStatementBytes: number;
};
