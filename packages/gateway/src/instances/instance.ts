/** A database instance as it registered itself. */
export type Instance = {
	readonly id: string;
	readonly group: string;
	/** Host and port. */
	readonly address: string;
	readonly zone: string;
	readonly slots: number;
	readonly state: 'ready' | 'draining';
	/** Role in its own eyes, which may lag behind a promotion. */
	readonly reportedRole: 'primary' | 'replica';
	/** Unix time of its start in milliseconds: a changed value is another incarnation. */
	readonly bornMs: number;
};

/** Says whether two entries of one instance differ in anything but their age. */
export function isInstanceUnchanged(before: Instance, after: Instance): boolean {
	return before.id === after.id && before.group === after.group && before.address === after.address && before.zone === after.zone && before.slots === after.slots
		&& before.state === after.state && before.reportedRole === after.reportedRole && before.bornMs === after.bornMs;
}
