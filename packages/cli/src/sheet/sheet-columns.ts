/** Columns of a sheet, by the names in its first line; their order is free. */
export const sheetColumns = ['kind', 'name', 'state', 'account', 'key', 'rate', 'burst', 'weight', 'group', 'address', 'zone', 'slots', 'connections'] as const;

export type SheetColumn = (typeof sheetColumns)[number];

/** Kinds of rows of a sheet. */
export type SheetRowKind = 'account' | 'key' | 'endpoint';

/** Columns that a row of each kind has to fill. */
export const requiredColumns: Readonly<Record<SheetRowKind, readonly SheetColumn[]>> = {
	account: ['name', 'rate', 'burst'],
	key: ['account', 'key'],
	endpoint: ['name', 'group', 'address', 'zone', 'slots', 'connections'],
};

/** States of each kind; the first is taken where none is given. */
export const rowStates: Readonly<Record<SheetRowKind, readonly string[]>> = {
	account: ['active', 'closed'],
	key: ['active', 'withdrawn'],
	endpoint: ['active', 'joining', 'leaving', 'gone'],
};

/** Says whether a string names a kind of rows. */
export function isSheetRowKind(value: string): value is SheetRowKind {
	return Object.hasOwn(requiredColumns, value);
}
