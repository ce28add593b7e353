import {type SheetColumn, type SheetRowKind} from './sheet-columns.js';

/** One row of a sheet, with trimmed cells. */
export type SheetRow = {
	/** First line of the row in the file, counted from one. */
	readonly line: number;
	readonly kind: SheetRowKind;
	/** Cells by the name of their column. */
	readonly cells: Readonly<Partial<Record<SheetColumn, string>>>;
	/** Position of each column in the sheet, counted from one. */
	readonly columns: ReadonlyMap<SheetColumn, number>;
};

/** Returns a cell; empty when the sheet does not have the column. */
export function getCell(row: SheetRow, column: SheetColumn): string {
	return row.cells[column] ?? '';
}

/** Returns the position of a column in the sheet, counted from one; zero when the sheet does not have it. */
export function getColumnNumber(row: SheetRow, column: SheetColumn): number {
	return row.columns.get(column) ?? 0;
}
