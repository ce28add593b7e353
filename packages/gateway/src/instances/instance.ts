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
export function isSameInstance(a: Instance, b: Instance): boolean {
	return a.id === b.id && a.group === b.group && a.address === b.address && a.zone === b.zone && a.slots === b.slots
		&& a.state === b.state && a.reportedRole === b.reportedRole && a.bornMs === b.bornMs;
}
