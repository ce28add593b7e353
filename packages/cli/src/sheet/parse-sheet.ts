import {CsvError, parse} from 'csv-parse/sync';
import {type Either, Left, Right} from 'purify-ts';
import {
	isSheetRowKind, requiredColumns, rowStates, type SheetColumn, sheetColumns,
} from './sheet-columns.js';
import {type SheetProblem} from './sheet-problem.js';
import {getCell, getColumnNumber, type SheetRow} from './sheet-row.js';

type CsvRecord = {readonly record: string[]; readonly info: {readonly lines: number}};

/** Position of each column in the sheet, counted from one. */
type Header = ReadonlyMap<SheetColumn, number>;

/**
 * Parses and checks a sheet.
 * @param bytes - Contents of the file: CSV in UTF-8, with or without a byte-order mark, lines ending in LF or CRLF.
 * @returns Its rows, or every problem found, ordered by line and column.
 */
export function parseSheet(bytes: Uint8Array): Either<SheetProblem[], SheetRow[]> {
	return decodeText(bytes).chain(text => parseRecords(text)).chain(records => {
		const [headerRecord, ...rest] = records;
		if (headerRecord === undefined) {
			return Left([{line: 1, column: 0, message: 'the sheet is empty'}]);
		}

		return parseHeader(headerRecord.record).chain(header => parseRows(header, rest));
	});
}

function decodeText(bytes: Uint8Array): Either<SheetProblem[], string> {
	try {
		return Right(new TextDecoder('utf8', {fatal: true}).decode(bytes));
	} catch {
		return Left([{line: 1, column: 0, message: 'the sheet is not valid UTF-8'}]);
	}
}

function parseRecords(text: string): Either<SheetProblem[], CsvRecord[]> {
	try {
		const records: unknown = parse(text, {
			bom: true, info: true, relaxColumnCount: true, skipEmptyLines: true, trim: true,
		});
		return Right(records as CsvRecord[]);
	} catch (error) {
		const line = error instanceof CsvError ? Number(error.lines ?? 1) : 1;
		const column = error instanceof CsvError ? Number(error.index ?? -1) + 1 : 0;
		return Left([{line, column, message: `broken quoting or record: ${error instanceof Error ? error.message : String(error)}`}]);
	}
}

function parseHeader(names: readonly string[]): Either<SheetProblem[], Header> {
	const header = new Map<SheetColumn, number>();
	const problems: SheetProblem[] = [];
	for (const [index, name] of names.entries()) {
		const column = sheetColumns.find(known => known === name.toLowerCase());
		if (column === undefined) {
			problems.push({line: 1, column: index + 1, message: `unknown column "${name}"; known: ${sheetColumns.join(', ')}`});
		} else if (header.has(column)) {
			problems.push({line: 1, column: index + 1, message: `column "${name}" is repeated`});
		} else {
			header.set(column, index + 1);
		}
	}

	if (!header.has('kind')) {
		problems.push({line: 1, column: 0, message: 'the header has no column "kind"'});
	}

	return problems.length > 0 ? Left(problems) : Right(header);
}

function parseRows(header: Header, records: readonly CsvRecord[]): Either<SheetProblem[], SheetRow[]> {
	const problems: SheetProblem[] = [];
	const rows: SheetRow[] = [];
	for (const {record, info} of records) {
		// `info.lines` is the last line of the record; quoted cells may span several lines.
		const line = info.lines - record.join('').split('\n').length + 1;
		const parsedRow = parseRow(header, record, line);
		parsedRow.ifLeft(rowProblems => problems.push(...rowProblems)).ifRight(validRow => rows.push(validRow));
	}

	problems.push(...findDuplicates(rows));
	return problems.length > 0 ? Left(problems.toSorted((a, b) => a.line - b.line || a.column - b.column)) : Right(rows);
}

function parseRow(header: Header, record: readonly string[], line: number): Either<SheetProblem[], SheetRow> {
	const cells: Partial<Record<SheetColumn, string>> = {};
	for (const [column, number] of header) {
		cells[column] = record[number - 1] ?? '';
	}

	const kind = (cells.kind ?? '').toLowerCase();
	if (!isSheetRowKind(kind)) {
		return Left([{line, column: header.get('kind') ?? 0, message: `unknown kind "${cells.kind ?? ''}"; known: ${Object.keys(requiredColumns).join(', ')}`}]);
	}

	const row: SheetRow = {
		line, kind, cells, columns: header,
	};
	const problems = record.length > header.size ? [{line, column: header.size + 1, message: `the row has ${record.length} cells, but the header has ${header.size} columns`}] : [];
	problems.push(...checkCells(row));
	return problems.length > 0 ? Left(problems) : Right(row);
}

function checkCells(row: SheetRow): SheetProblem[] {
	const problems: SheetProblem[] = [];
	const addProblem = (column: SheetColumn, message: string) => {
		problems.push({line: row.line, column: getColumnNumber(row, column), message});
	};

	// A row that removes something has to fill only the columns that identify it.
	const isRemoval = ['closed', 'withdrawn', 'gone'].includes(getCell(row, 'state'));
	const required = isRemoval ? requiredColumns[row.kind].slice(0, row.kind === 'key' ? 2 : 1) : requiredColumns[row.kind];
	for (const column of required) {
		if (getCell(row, column) === '') {
			addProblem(column, `a row of kind "${row.kind}" needs "${column}"`);
		}
	}

	const state = getCell(row, 'state');
	if (state !== '' && !rowStates[row.kind].includes(state)) {
		addProblem('state', `unknown state "${state}"; known: ${rowStates[row.kind].join(', ')}`);
	}

	checkNumber('rate', value => value > 0, 'a number above zero');
	checkNumber('burst', value => value >= 1, 'a number of at least one');
	checkNumber('weight', value => value > 0, 'a number above zero');
	checkNumber('slots', value => Number.isInteger(value) && value > 0, 'a whole number above zero');
	checkNumber('connections', value => Number.isInteger(value) && value > 0, 'a whole number above zero');
	return problems;

	function checkNumber(column: SheetColumn, isValid: (value: number) => boolean, expected: string): void {
		const cell = getCell(row, column);
		if (cell !== '' && !isValid(Number(cell))) {
			addProblem(column, `"${cell}" is not ${expected}`);
		}
	}
}

/** Returns the identity of the object that a row sets; a sheet may set each object once. */
function getRowIdentity(row: SheetRow): {readonly column: SheetColumn; readonly id: string; readonly description: string} {
	return row.kind === 'key'
		? {column: 'key', id: `key ${getCell(row, 'key')}`, description: 'this key'}
		: {column: 'name', id: `${row.kind} ${getCell(row, 'name')}`, description: `${row.kind} "${getCell(row, 'name')}"`};
}

function findDuplicates(rows: readonly SheetRow[]): SheetProblem[] {
	const firstRowById = new Map<string, SheetRow>();
	const problems: SheetProblem[] = [];
	for (const row of rows) {
		const {column, id, description} = getRowIdentity(row);
		const earlier = firstRowById.get(id);
		if (earlier === undefined) {
			firstRowById.set(id, row);
			continue;
		}

		const isOtherAccount = row.kind === 'key' && getCell(earlier, 'account') !== getCell(row, 'account');
		const duplication = isOtherAccount ? `listed for another client account, "${getCell(earlier, 'account')}",` : 'already listed';
		problems.push({line: row.line, column: getColumnNumber(row, column), message: `${description} is ${duplication} on line ${earlier.line}`});
	}

	return problems;
}
