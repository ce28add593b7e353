import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';

/** Maximum length of the name of an account, group, endpoint or route, in characters. */
export const maxNameLength = 100;

const nameSchema = z.string().min(1).max(maxNameLength).regex(/^[^\s\/\p{C}][^\/\p{C}]*$/v, 'must not hold "/" or control characters');
const addressSchema = z.string().regex(/^[\w.:\[\]\-]+:\d{1,5}$/v, 'must be host:port');

/** Schema of a client account's limits: requests per second, maximum burst in requests, and weight in queues. */
export const accountSchema = z.object({
	rate: z.number().positive(),
	burst: z.number().min(1),
	weight: z.number().positive().default(1),
});

/** Schema of an API key, whose row is named by the key's SHA-256 hash. */
export const keySchema = z.object({account: nameSchema, label: z.string().default('')});

/** Schema of a database group. */
export const groupSchema = z.object({
	/** Whether the group records the request id of a write in the same transaction, so that the write does not run twice. */
	recordsRequestIds: z.boolean().default(true),
});

/** Schema of an instance of a database group. */
export const endpointSchema = z.object({
	group: nameSchema,
	address: addressSchema,
	zone: nameSchema,
	/** Maximum number of requests that the instance runs at once. */
	slots: z.number().int().positive(),
	/** Maximum number of connections that the instance accepts from all VMs together. */
	connections: z.number().int().positive(),
	state: z.enum(['active', 'leaving']).default('active'),
	/** Whether the availability zone of the instance is evacuated; a mark on one instance holds for its zone. A former build ignores it, which it could not do with another kind of row. */
	evacuated: z.boolean().optional(),
});

/** Schema of a named operation on a database group. */
export const routeSchema = z.object({
	group: nameSchema,
	access: z.enum(['read', 'write']),
	/** Whether the operation may run twice. */
	repeatable: z.boolean(),
	priority: z.enum(['high', 'normal', 'low']).default('normal'),
	/** Maximum staleness of a read, in milliseconds; zero means any. */
	stalenessMs: z.number().int().min(0).default(0),
	/** Whether the route may be called without an API key. */
	open: z.boolean().default(false),
	statement: z.string().min(1),
});

/** Schema of a key that signs session tokens: 64 hexadecimal digits. */
export const secretSchema = z.object({key: z.string().regex(/^[\da-f]{64}$/v)});

/** Schema of a voter: a VM that counts towards majorities; its row has no fields. */
export const voterSchema = z.object({});

const schemas = {
	account: accountSchema,
	key: keySchema,
	group: groupSchema,
	endpoint: endpointSchema,
	route: routeSchema,
	secret: secretSchema,
	voter: voterSchema,
} as const;

/** Kinds of configuration rows. */
export type RowKind = keyof typeof schemas;
/** Limits of a client account. */
export type AccountLimits = z.infer<typeof accountSchema>;
/** An API key of a client account. */
export type ApiKey = z.infer<typeof keySchema>;
/** A database group. */
export type DatabaseGroup = z.infer<typeof groupSchema>;
/** An instance of a database group. */
export type Endpoint = z.infer<typeof endpointSchema>;
/** A named operation on a database group. */
export type Route = z.infer<typeof routeSchema>;
/** A key that signs session tokens. */
export type Secret = z.infer<typeof secretSchema>;
/** A VM that counts towards majorities. */
export type Voter = z.infer<typeof voterSchema>;

/** The value type of each kind of row. */
export type RowValues = {
	account: AccountLimits;
	key: ApiKey;
	group: DatabaseGroup;
	endpoint: Endpoint;
	route: Route;
	secret: Secret;
	voter: Voter;
};

/** A row as stored: the key "kind/name" and the value as JSON, absent when the row is removed. */
export type StoredRow = {readonly key: string; readonly value?: string | undefined};

/** A validated row; its value is undefined when the row is removed. */
export type ParsedRow = {[K in RowKind]: {readonly kind: K; readonly name: string; readonly value: RowValues[K] | undefined}}[RowKind];

function parseValue(schema: z.ZodType, row: StoredRow): Either<string, unknown> {
	return Either.encase(() => JSON.parse(row.value ?? '') as unknown)
		.mapLeft(() => `${row.key}: not JSON`)
		.chain(json => {
			const result = schema.safeParse(json);
			return result.success ? Right(result.data) : Left(`${row.key}: ${result.error.issues.map(issue => `${issue.path.join('.')} ${issue.message}`).join('; ')}`);
		});
}

/**
 * Parses and validates a stored row.
 * @param row - Row as stored.
 * @returns The parsed row, or an error message that names its key.
 */
export function parseRow(row: StoredRow): Either<string, ParsedRow> {
	const slash = row.key.indexOf('/');
	const kind = row.key.slice(0, slash);
	const rowName = row.key.slice(slash + 1);
	if (!Object.hasOwn(schemas, kind)) {
		return Left(`${row.key}: unknown kind "${kind}"`);
	}

	if (!nameSchema.safeParse(rowName).success) {
		return Left(`${row.key}: bad name "${rowName}"`);
	}

	if (row.value === undefined) {
		return Right({kind, name: rowName, value: undefined} as ParsedRow);
	}

	return parseValue(schemas[kind as RowKind], row).map(value => {
		const parsed = {kind, name: rowName, value};
		return parsed as ParsedRow;
	});
}

/** Formats a row as it is stored; a value of undefined removes the row. */
export function formatRow<K extends RowKind>(kind: K, rowName: string, value: RowValues[K] | undefined): StoredRow {
	return {key: `${kind}/${rowName}`, value: value === undefined ? undefined : JSON.stringify(value)};
}
