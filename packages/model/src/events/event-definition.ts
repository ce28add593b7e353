/** Weight of an event: state changes are written first, then refusals, then a sample of successes. */
export type EventImportance = 'state' | 'refusal' | 'success';

/** Whom an event concerns: one request or session, the VM that logs it, or every VM. */
export type EventScope = 'request' | 'vm' | 'cluster';

/** Types of the values that an event's field may hold: a question mark marks a field that may be absent, counts are numbers by name. */
export type EventFieldKind = 'string' | 'number' | 'boolean' | 'string?' | 'number?' | 'counts';

/** What stands in the catalogue about one event. */
export type EventDefinition = {
	readonly importance: EventImportance;
	readonly scope: EventScope;
	/** Whether it may be the cause of how a request near it was answered. */
	readonly isPossibleCause: boolean;
	/** One line on what it says, for whoever reads the log. */
	readonly description: string;
	readonly fields: Readonly<Record<string, EventFieldKind>>;
};

type FieldTypes = {
	string: string;
	number: number;
	boolean: boolean;
	'string?': string | undefined;
	'number?': number | undefined;
	counts: Readonly<Record<string, number>>;
};

/** Values of the fields of an event. */
export type EventFields<Structure extends EventDefinition> = {
	readonly [Name in keyof Structure['fields']]: FieldTypes[Structure['fields'][Name]];
};
