import process from 'node:process';
import sade from 'sade';
import {
	addEndpoint, applySheetFile, checkSheetFile, type CommonFlags, createAccount, createKey, drainEndpoint, type EndpointFlags, evacuateZone, type EvacuationFlags, exitCodes, type LimitFlags, planSheetFile, setAccountLimits,
	showAccounts, showConfiguration, showExplanation, showHistory, showStatus, showTopView, type TopFlags, withdrawKey,
} from './commands/index.js';

/** Sets the exit code of the process to that of a command; an error is printed and sets `failed`. */
async function setExitCode(command: Promise<number>): Promise<void> {
	try {
		process.exitCode = await command;
	} catch (error) {
		process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
		process.exitCode = exitCodes.failed;
	}
}

const program = sade('chicorysaddle');

program
	.version('0.1.0')
	.option('--proxy', 'Operator address of any proxy, by default CHICORYSADDLE_PROXY or 127.0.0.1:7002')
	.option('--token', 'Operator token, by default CHICORYSADDLE_TOKEN')
	.option('--json', 'Print the result as one JSON object', false)
	.option('--wait', 'Longest wait until a change is in force on every VM, in seconds', 15);

program.command('sheet check <file>', 'Check a sheet without a proxy')
	.example('sheet check morning.csv')
	.action(async (file: string, flags: CommonFlags) => setExitCode(checkSheetFile(file, flags)));
program.command('sheet plan <file>', 'Print the changes that a sheet would make')
	.example('sheet plan morning.csv')
	.action(async (file: string, flags: CommonFlags) => setExitCode(planSheetFile(file, flags)));
program.command('sheet apply <file>', 'Apply a sheet atomically and wait until it is in force on every VM')
	.example('sheet apply morning.csv --wait 30')
	.action(async (file: string, flags: CommonFlags) => setExitCode(applySheetFile(file, flags)));
program.command('account create <name>', 'Create a client account')
	.option('--rate', 'Requests per second')
	.option('--burst', 'Largest burst, in requests')
	.option('--weight', 'Weight in fair queueing')
	.example('account create harbour-homes --rate 20 --burst 40')
	.action(async (name: string, flags: LimitFlags) => setExitCode(createAccount(name, flags)));
program.command('account limit <name>', 'Change the limits of a client account')
	.option('--rate', 'Requests per second')
	.option('--burst', 'Largest burst, in requests')
	.option('--weight', 'Weight in fair queueing')
	.example('account limit harbour-homes --rate 30')
	.action(async (name: string, flags: LimitFlags) => setExitCode(setAccountLimits(name, flags)));
program.command('account show <name>', 'Print a client account with the hashes of its keys')
	.action(async (name: string, flags: CommonFlags) => setExitCode(showAccounts(flags, name)));
program.command('account list', 'Print all client accounts')
	.action(async (flags: CommonFlags) => setExitCode(showAccounts(flags)));
program.command('key give <account>', 'Create a key for a client account; the key is printed once')
	.option('--label', 'Label that tells the keys of an account apart')
	.example('key give harbour-homes --label autumn')
	.action(async (account: string, flags: CommonFlags & {label?: string}) => setExitCode(createKey(account, flags)));
program.command('key withdraw <key>', 'Withdraw a key, written in full or as sha256:HASH')
	.action(async (key: string, flags: CommonFlags) => setExitCode(withdrawKey(key, flags)));
program.command('endpoint join <name>', 'Add an endpoint, or make an existing one active again')
	.option('--group', 'Database group')
	.option('--address', 'Address as host:port')
	.option('--zone', 'Availability zone')
	.option('--slots', 'Number of statements that it runs at a time')
	.option('--connections', 'Number of connections that it accepts')
	.example('endpoint join casefile-a-4 --group casefile-a --address 10.0.0.9:5400 --zone lorient --slots 5 --connections 30')
	.action(async (name: string, flags: EndpointFlags) => setExitCode(addEndpoint(name, flags)));
program.command('endpoint leave <name>', 'Mark an endpoint as leaving: it gets no new work')
	.action(async (name: string, flags: CommonFlags) => setExitCode(drainEndpoint(name, flags)));
program.command('evacuate <zone>', 'Take all endpoints of an availability zone out of use and move their primaries')
	.option('--undo', 'End the evacuation', false)
	.example('evacuate lorient')
	.example('evacuate lorient --undo')
	.action(async (zone: string, flags: EvacuationFlags) => setExitCode(evacuateZone(zone, flags)));
program.command('status', 'Print the state of a proxy, and of the other VMs as it sees them')
	.action(async (flags: CommonFlags) => setExitCode(showStatus(flags)));
program.command('top', 'Show a live view of one VM')
	.option('--every', 'Interval between two refreshes, in seconds', 2)
	.option('--rounds', 'Number of refreshes, by default unlimited')
	.action(async (flags: TopFlags) => setExitCode(showTopView(flags)));
program.command('explain <id>', 'Print the log lines that explain how a request was answered; reads log files or standard input')
	.example('explain 5c0e7a21d94b36f8 vm-1.log vm-2.log')
	.action(async (id: string, flags: CommonFlags & {readonly _: readonly string[]}) => setExitCode(showExplanation(id, flags._)));
program.command('config show', 'Print the configuration in force')
	.action(async (flags: CommonFlags) => setExitCode(showConfiguration(flags)));
program.command('config history', 'Print the latest changes of the configuration')
	.option('--limit', 'Number of changes', 20)
	.action(async (flags: CommonFlags & {limit?: number}) => setExitCode(showHistory(flags)));

program.parse(process.argv);
