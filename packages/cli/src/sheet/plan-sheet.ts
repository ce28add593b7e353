import {createHash} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts';
import {formatRow, parseRow as checkStoredRow, type StoredRow} from '@chicorysaddle/model';
import {type SheetColumn, type SheetKind} from './sheet-columns.js';
import {type SheetProblem} from './sheet-problem.js';
import {getCell, getColumnNumber, type SheetRow} from './sheet-row.js';

/** One difference between a sheet and the configuration. */
export type PlannedChange = {
	readonly row: StoredRow;
	readonly action: 'add' | 'change' | 'remove';
	/** Value in force, absent when the row is added. */
	readonly before?: string | undefined;
};

const hashPrefix = 'sha256:';

/** Returns the hash under which a key of a sheet is stored; a key may be given as its hash. */
export function getKeyHash(cell: string): string {
	return cell.startsWith(hashPrefix) ? cell.slice(hashPrefix.length).toLowerCase() : createHash('sha256').update(cell).digest('hex');
}

const converters: Readonly<Record<SheetKind, (row: SheetRow) => StoredRow>> = {
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

const subjectColumns: Readonly<Record<SheetKind, SheetColumn>> = {account: 'name', key: 'account', endpoint: 'group'};

/**
 * Works out what a sheet changes. Rows of the configuration that the sheet does not name stay as they are.
 * @param rows - Rows of a checked sheet.
 * @param current - Rows of the configuration in force.
 * @returns The differences, or everything that does not fit the configuration.
 */
export function planSheet(rows: readonly SheetRow[], current: readonly StoredRow[]): Either<SheetProblem[], PlannedChange[]> {
	const inForce = new Map(current.map(row => [row.key, row.value]));
	const problems: SheetProblem[] = [];
	const changes: PlannedChange[] = [];
	const wanted = new Map(rows.map(row => [row, converters[row.kind](row)]));
	const known = new Set(inForce.keys());
	for (const row of wanted.values()) {
		if (row.value === undefined) {
			known.delete(row.key);
		} else {
			known.add(row.key);
		}
	}

	for (const [row, stored] of wanted) {
		problems.push(...checkPlannedRow(row, stored, known, inForce));
		const before = inForce.get(stored.key);
		if (before !== stored.value) {
			changes.push({row: stored, action: stored.value === undefined ? 'remove' : (before === undefined ? 'add' : 'change'), before});
		}
	}

	return problems.length > 0 ? Left(problems) : Right(changes);
}

function checkPlannedRow(row: SheetRow, stored: StoredRow, known: ReadonlySet<string>, inForce: ReadonlyMap<string, string | undefined>): SheetProblem[] {
	const at = (column: SheetColumn, message: string) => [{line: row.line, column: getColumnNumber(row, column), message}];
	const checked = checkStoredRow(stored);
	if (checked.isLeft()) {
		return at(subjectColumns[row.kind], String(checked.extract()));
	}

	if (row.kind === 'endpoint' && stored.value !== undefined && !known.has(`group/${getCell(row, 'group')}`)) {
		return at('group', `no database group "${getCell(row, 'group')}"`);
	}

	if (row.kind !== 'key') {
		return [];
	}

	const account = getCell(row, 'account');
	const holder = inForce.get(stored.key);
	const holderAccount = holder === undefined ? account : (JSON.parse(holder) as {account: string}).account;
	if (holderAccount !== account) {
		return at('key', `this key belongs to client account "${holderAccount}"`);
	}

	return stored.value !== undefined && !known.has(`account/${account}`) ? at('account', `no client account "${account}"`) : [];
}
