/** A registered database instance. */
export type Instance = {
	readonly id: string;
	readonly group: string;
	/** Host and port. */
	readonly address: string;
	readonly zone: string;
	readonly slots: number;
	readonly state: 'ready' | 'draining';
	/** Role as reported by the instance; may be outdated after a promotion. */
	readonly reportedRole: 'primary' | 'replica';
	/** Unix start time, milliseconds; a different value denotes a restarted instance. */
	readonly bornMs: number;
};

/** Checks whether all fields of two entries are equal. */
export function isInstanceUnchanged(before: Instance, after: Instance): boolean {
	return before.id === after.id && before.group === after.group && before.address === after.address && before.zone === after.zone && before.slots === after.slots
		&& before.state === after.state && before.reportedRole === after.reportedRole && before.bornMs === after.bornMs;
}
