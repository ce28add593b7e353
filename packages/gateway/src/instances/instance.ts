/** A registered database instance. */
export type Instance = {
	readonly id: string;
	readonly group: string;
	/** Host and port. */
	readonly address: string;
	readonly zone: string;
	/** Number of statements that the instance executes concurrently. */
	readonly slots: number;
	readonly state: 'ready' | 'draining';
	/** Role as reported by the instance; may be outdated after a promotion. */
	readonly reportedRole: 'primary' | 'replica';
	/** Start time as a Unix timestamp, in milliseconds; a different value denotes a restarted instance. */
	readonly bornMs: number;
};

/** Returns whether all fields of two instances are equal. */
export function isInstanceUnchanged(before: Instance, after: Instance): boolean {
	return before.id === after.id && before.group === after.group && before.address === after.address && before.zone === after.zone && before.slots === after.slots
		&& before.state === after.state && before.reportedRole === after.reportedRole && before.bornMs === after.bornMs;
}
