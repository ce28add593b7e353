/** Priority of an event in the log: state changes come first, then refusals, then a sample of successes. */
export type EventImportance = 'state' | 'refusal' | 'success';

/** What an event is about: one request or session, the VM that logs it, or every VM. */
export type EventScope = 'request' | 'vm' | 'cluster';

/** Type of an event field; a question mark marks an optional field, and `counts` is a record of numbers by name. */
export type EventFieldKind = 'string' | 'number' | 'boolean' | 'string?' | 'number?' | 'counts';

/** Definition of an event in the catalogue. */
export type EventDefinition = {
	readonly importance: EventImportance;
	readonly scope: EventScope;
	/** Whether the event can explain the outcome of a request at about the same time. */
	readonly isPossibleCause: boolean;
	/** One line on the meaning of the event, for operators who read the log. */
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

/** Field values of an event. */
export type EventFields<Definition extends EventDefinition> = {
	readonly [Name in keyof Definition['fields']]: FieldTypes[Definition['fields'][Name]];
};
