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
	/** Time for which the instance stayed slow when its entry was written, in milliseconds; absent or 0 unless it is cold. */
	readonly coldRemainingMs?: number;
};

/** Creates an instance that is not listed, so that nothing but its address is known. */
export function createUnlisted(group: string, id: string, address: string): Instance {
	return {
		id, group, address, zone: '', slots: 1, state: 'draining', reportedRole: 'replica', bornMs: 0,
	};
}

/** Returns whether an instance was cold when its entry was written. */
export function isCold({coldRemainingMs = 0}: Instance): boolean {
	return coldRemainingMs > 0;
}

/** Returns whether all fields of two instances are equal, apart from how long a cold one stays cold, which passes by itself. */
export function isInstanceUnchanged(before: Instance, after: Instance): boolean {
	return before.id === after.id && before.group === after.group && before.address === after.address && before.zone === after.zone && before.slots === after.slots
		&& before.state === after.state && before.reportedRole === after.reportedRole && before.bornMs === after.bornMs
		&& isCold(before) === isCold(after);
}
