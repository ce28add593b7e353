import {formatEvacuatedZones} from './evacuation-commands.js';
import {CommandContext, type CommonFlags, exitCodes} from './command-context.js';

/** Prints all client accounts, or one with the hashes of its keys, and returns the exit code. */
export async function showAccounts(flags: CommonFlags, name?: string): Promise<number> {
	const context = new CommandContext(flags);
	const {version, rows} = await context.client.getConfiguration({});
	const accounts = rows.filter(({key}) => (name === undefined ? key.startsWith('account/') : key === `account/${name}`));
	const keys = name === undefined ? [] : rows.filter(({key, value}) => key.startsWith('key/') && (JSON.parse(value ?? '{}') as {account?: string}).account === name);
	if (name !== undefined && accounts.length === 0) {
		context.printResult({result: 'absent', version}, [`no client account "${name}"`]);
		return exitCodes.invalidInput;
	}

	const shownRows = [...accounts, ...keys].map(({key, value}) => ({key, value: JSON.parse(value ?? '{}') as unknown}));
	context.printResult({version, rows: shownRows}, shownRows.map(({key, value}) => `${key} ${JSON.stringify(value)}`));
	return exitCodes.success;
}

/** Prints the state of a proxy, and of the other VMs as it sees them, and returns the exit code. */
export async function showStatus(flags: CommonFlags): Promise<number> {
	const context = new CommandContext(flags);
	const status = await context.client.getStatus({});
	context.printResult({...status}, [
		`${status.vm} ${status.state}, configuration ${status.configurationVersion}, confirmed ${Math.round(status.freshnessAgeMs)} ms ago, limits allocated by ${status.leaseHolder || 'nobody'}`,
		...formatEvacuatedZones(status.evacuatedZones),
		...status.vms.map(vm => `VM ${vm.name} in ${vm.zone}: ${vm.state}, configuration ${vm.configurationVersion}`),
		...status.instances.map(instance => `endpoint ${instance.endpoint} of ${instance.group}: ${instance.role}, term ${instance.term}, offset ${instance.offset}, ${instance.inUse} in use of ${instance.connections} connections`),
		...status.accounts.map(account => `client account ${account.account}: ${account.served} admitted, ${account.refused} refused, ${account.tokens.toFixed(1)} tokens on this VM`),
	]);
	return exitCodes.success;
}

/** Prints the configuration in force and returns the exit code. */
export async function showConfiguration(flags: CommonFlags): Promise<number> {
	const context = new CommandContext(flags);
	const {version, rows} = await context.client.getConfiguration({});
	context.printResult({version, rows: rows.map(({key, value}) => ({key, value}))}, [`version ${version}`, ...rows.map(({key, value}) => `${key} ${value ?? ''}`)]);
	return exitCodes.success;
}

/** Prints the latest changes of the configuration and returns the exit code. */
export async function showHistory(flags: CommonFlags & {readonly limit?: number}): Promise<number> {
	const context = new CommandContext(flags);
	const {changes} = await context.client.getHistory({limit: Number(flags.limit ?? 20)});
	context.printResult({changes}, changes.map(change => `${change.version} ${change.author}: ${change.summary} (${change.rows.length} rows)`));
	return exitCodes.success;
}
