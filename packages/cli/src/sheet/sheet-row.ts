import {type SheetColumn, type SheetRowKind} from './sheet-columns.js';

/** One row of a sheet, its cells trimmed. */
export type SheetRow = {
	readonly line: number;
	readonly kind: SheetRowKind;
	/** Cells by the name of their column; absent ones are empty. */
	readonly cells: Readonly<Partial<Record<SheetColumn, string>>>;
	/** Place of each column in the sheet, counted from one. */
	readonly columns: ReadonlyMap<SheetColumn, number>;
};

/** Returns a cell, empty where the column is absent. */
export function getCell(row: SheetRow, column: SheetColumn): string {
	return row.cells[column] ?? '';
}

/** Returns the place of a column in the sheet, zero where it is absent. */
export function getColumnNumber(row: SheetRow, column: SheetColumn): number {
	return row.columns.get(column) ?? 0;
}
