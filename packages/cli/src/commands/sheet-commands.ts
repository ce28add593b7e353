import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {type Either, Left} from 'purify-ts';
import {
	formatSheetProblem, parseSheet, type PlannedChange, planSheet, type SheetProblem, type SheetRow,
} from '../sheet/index.js';
import {CommandContext, type CommonFlags, exitCodes} from './command-context.js';

async function readSheet(file: string): Promise<Either<SheetProblem[], SheetRow[]>> {
	try {
		return parseSheet(await readFile(file));
	} catch (error) {
		return Left([{line: 0, column: 0, message: `the file cannot be read: ${error instanceof Error ? error.message : String(error)}`}]);
	}
}

function reportProblems(file: string, problems: readonly SheetProblem[], flags: CommonFlags): number {
	if (flags.json) {
		process.stdout.write(`${JSON.stringify({result: 'bad', file, problems})}\n`);
	} else {
		process.stderr.write(`${problems.map(problem => formatSheetProblem(file, problem)).join('\n')}\n${problems.length} problems; nothing was changed\n`);
	}

	return exitCodes.invalidInput;
}

function formatChange({row, action, before}: PlannedChange): string {
	return `${action} ${row.key}${before === undefined ? '' : ` from ${before}`}${row.value === undefined ? '' : ` to ${row.value}`}`;
}

/** Checks a sheet without a proxy and returns the exit code. */
export async function checkSheetFile(file: string, flags: CommonFlags): Promise<number> {
	const sheet = await readSheet(file);
	return sheet.caseOf({
		Left: problems => reportProblems(file, problems, flags),
		Right(rows) {
			new CommandContext(flags).printResult({result: 'good', file, rows: rows.length}, [`${file}: ${rows.length} rows are valid`]);
			return exitCodes.success;
		},
	});
}

/** Prints the changes that a sheet would make and returns the exit code. */
export async function planSheetFile(file: string, flags: CommonFlags): Promise<number> {
	return runWithPlan(file, flags, async (context, version, changes) => {
		context.printResult({result: 'planned', version, changes}, [`${changes.length} changes against version ${version}`, ...changes.map(change => formatChange(change))]);
		return exitCodes.success;
	});
}

/** Applies a sheet atomically, waits until it is in force on every VM, and returns the exit code. */
export async function applySheetFile(file: string, flags: CommonFlags): Promise<number> {
	return runWithPlan(file, flags, async (context, version, changes) => context.applyRows(changes.map(({row}) => row), `sheet ${file}`, version, {changes: changes.length}));
}

async function runWithPlan(file: string, flags: CommonFlags, runAction: (context: CommandContext, version: bigint, changes: readonly PlannedChange[]) => Promise<number>): Promise<number> {
	const sheet = await readSheet(file);
	if (sheet.isLeft()) {
		return reportProblems(file, sheet.extract(), flags);
	}

	const context = new CommandContext(flags);
	const {version, rows} = await context.client.getConfiguration({});
	const plan = planSheet(sheet.unsafeCoerce(), rows);
	return plan.isLeft() ? reportProblems(file, plan.extract(), flags) : runAction(context, version, plan.unsafeCoerce());
}
