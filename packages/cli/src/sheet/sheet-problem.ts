/** A problem in one cell, or one row, of a sheet. */
export type SheetProblem = {
	/** Line of the file, counted from one; zero when the file cannot be read. */
	readonly line: number;
	/** Column of the sheet, counted from one; zero for the whole row or file. */
	readonly column: number;
	readonly message: string;
};

/** Formats a problem as "file:line:column: message". */
export function formatSheetProblem(file: string, {line, column, message}: SheetProblem): string {
	return `${file}:${line}:${column}: ${message}`;
}
