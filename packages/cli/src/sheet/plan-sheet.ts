import {createHash} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts';
import {formatRow, parseRow as parseStoredRow, type StoredRow} from '@chicorysaddle/model';
import {type SheetColumn, type SheetRowKind} from './sheet-columns.js';
import {type SheetProblem} from './sheet-problem.js';
import {getCell, getColumnNumber, type SheetRow} from './sheet-row.js';

/** One difference between a sheet and the configuration in force. */
export type PlannedChange = {
	readonly row: StoredRow;
	readonly action: 'add' | 'change' | 'remove';
	/** Value in force as JSON; undefined when the row is added. */
	readonly before?: string | undefined;
};

const hashPrefix = 'sha256:';

/**
 * Returns the hash under which a key is stored: SHA-256 in hexadecimal.
 * @param keyOrHash - The key, or "sha256:" and its hash.
 */
export function getKeyHash(keyOrHash: string): string {
	return keyOrHash.startsWith(hashPrefix) ? keyOrHash.slice(hashPrefix.length).toLowerCase() : createHash('sha256').update(keyOrHash).digest('hex');
}

const storedRowFormatters: Readonly<Record<SheetRowKind, (row: SheetRow) => StoredRow>> = {
	account: row => formatRow('account', getCell(row, 'name'), getCell(row, 'state') === 'closed'
		? undefined
		: {
			rate: Number(getCell(row, 'rate')), burst: Number(getCell(row, 'burst')), weight: Number(getCell(row, 'weight') || 1),
		}),
	key: row => formatRow('key', getKeyHash(getCell(row, 'key')), getCell(row, 'state') === 'withdrawn' ? undefined : {account: getCell(row, 'account'), label: getCell(row, 'name')}),
	endpoint: row => formatRow('endpoint', getCell(row, 'name'), getCell(row, 'state') === 'gone'
		? undefined
		: {
			group: getCell(row, 'group'),
			address: getCell(row, 'address'),
			zone: getCell(row, 'zone'),
			slots: Number(getCell(row, 'slots')),
			connections: Number(getCell(row, 'connections')),
			state: getCell(row, 'state') === 'leaving' ? 'leaving' : 'active',
		}),
};

/** Column that is reported when a row does not match the schema. */
const problemColumns: Readonly<Record<SheetRowKind, SheetColumn>> = {account: 'name', key: 'account', endpoint: 'group'};

/**
 * Compares a sheet with the configuration. Rows of the configuration that the sheet does not name stay unchanged.
 * @param rows - Rows of a checked sheet.
 * @param current - Rows of the configuration in force.
 * @returns The differences, or every conflict with the configuration.
 */
export function planSheet(rows: readonly SheetRow[], current: readonly StoredRow[]): Either<SheetProblem[], PlannedChange[]> {
	const currentValues = new Map(current.map(row => [row.key, row.value]));
	const problems: SheetProblem[] = [];
	const changes: PlannedChange[] = [];
	const storedRows = new Map(rows.map(row => [row, keepEvacuation(storedRowFormatters[row.kind](row), currentValues)]));
	const resultingKeys = new Set(currentValues.keys());
	for (const row of storedRows.values()) {
		if (row.value === undefined) {
			resultingKeys.delete(row.key);
		} else {
			resultingKeys.add(row.key);
		}
	}

	for (const [row, storedRow] of storedRows) {
		problems.push(...checkPlannedRow(row, storedRow, resultingKeys, currentValues));
		const before = currentValues.get(storedRow.key);
		if (before !== storedRow.value) {
			changes.push({row: storedRow, action: storedRow.value === undefined ? 'remove' : (before === undefined ? 'add' : 'change'), before});
		}
	}

	return problems.length > 0 ? Left(problems) : Right(changes);
}

/** Keeps the mark of an evacuation on an endpoint, which a sheet does not hold; without it, applying a sheet would end the evacuation. */
function keepEvacuation(row: StoredRow, currentValues: ReadonlyMap<string, string | undefined>): StoredRow {
	const current = currentValues.get(row.key);
	const isEvacuated = row.value !== undefined && current !== undefined && (JSON.parse(current) as {evacuated?: boolean}).evacuated === true;
	return isEvacuated ? {key: row.key, value: JSON.stringify({...JSON.parse(row.value) as Record<string, unknown>, evacuated: true})} : row;
}

function checkPlannedRow(row: SheetRow, storedRow: StoredRow, resultingKeys: ReadonlySet<string>, currentValues: ReadonlyMap<string, string | undefined>): SheetProblem[] {
	const createProblems = (column: SheetColumn, message: string) => [{line: row.line, column: getColumnNumber(row, column), message}];
	const parsedRow = parseStoredRow(storedRow);
	if (parsedRow.isLeft()) {
		return createProblems(problemColumns[row.kind], String(parsedRow.extract()));
	}

	if (row.kind === 'endpoint' && storedRow.value !== undefined && !resultingKeys.has(`group/${getCell(row, 'group')}`)) {
		return createProblems('group', `no database group "${getCell(row, 'group')}"`);
	}

	if (row.kind !== 'key') {
		return [];
	}

	const account = getCell(row, 'account');
	const currentValue = currentValues.get(storedRow.key);
	const currentAccount = currentValue === undefined ? account : (JSON.parse(currentValue) as {account: string}).account;
	if (currentAccount !== account) {
		return createProblems('key', `this key belongs to client account "${currentAccount}"`);
	}

	return storedRow.value !== undefined && !resultingKeys.has(`account/${account}`) ? createProblems('account', `no client account "${account}"`) : [];
}
