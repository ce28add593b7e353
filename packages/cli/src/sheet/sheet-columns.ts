/** Names of the columns; the first line of a sheet holds them in any order. */
export const sheetColumns = ['kind', 'name', 'state', 'account', 'key', 'rate', 'burst', 'weight', 'group', 'address', 'zone', 'slots', 'connections'] as const;

/** Name of a column of a sheet. */
export type SheetColumn = (typeof sheetColumns)[number];

/** Kind of a row of a sheet. */
export type SheetRowKind = 'account' | 'key' | 'endpoint';

/** Columns that a row of each kind has to fill; those that identify the row come first. */
export const requiredColumns: Readonly<Record<SheetRowKind, readonly SheetColumn[]>> = {
	account: ['name', 'rate', 'burst'],
	key: ['account', 'key'],
	endpoint: ['name', 'group', 'address', 'zone', 'slots', 'connections'],
};

/** States of each kind; the first is the default. */
export const rowStates: Readonly<Record<SheetRowKind, readonly string[]>> = {
	account: ['active', 'closed'],
	key: ['active', 'withdrawn'],
	endpoint: ['active', 'joining', 'leaving', 'gone'],
};

/** Returns whether a string is a kind of row. */
export function isSheetRowKind(value: string): value is SheetRowKind {
	return Object.hasOwn(requiredColumns, value);
}
