import {CommandContext, type CommonFlags, exitCodes} from './command-context.js';

/** Prints the accounts, or one of them with its keys' hashes. */
export async function listAccounts(flags: CommonFlags, name?: string): Promise<number> {
	const context = new CommandContext(flags);
	const {version, rows} = await context.client.getConfiguration({});
	const accounts = rows.filter(({key}) => (name === undefined ? key.startsWith('account/') : key === `account/${name}`));
	const keys = name === undefined ? [] : rows.filter(({key, value}) => key.startsWith('key/') && (JSON.parse(value ?? '{}') as {account?: string}).account === name);
	if (name !== undefined && accounts.length === 0) {
		context.print({result: 'absent', version}, [`no client account "${name}"`]);
		return exitCodes.bad;
	}

	const shown = [...accounts, ...keys].map(({key, value}) => ({key, value: JSON.parse(value ?? '{}') as unknown}));
	context.print({version, rows: shown}, shown.map(({key, value}) => `${key} ${JSON.stringify(value)}`));
	return exitCodes.done;
}

/** Prints the state of a proxy as it sees the others. */
export async function showStatus(flags: CommonFlags): Promise<number> {
	const context = new CommandContext(flags);
	const status = await context.client.getStatus({});
	context.print({...status}, [
		`${status.vm} ${status.state}, configuration ${status.configurationVersion}, heard of ${Math.round(status.freshnessAgeMs)} ms ago, limits allocated by ${status.leaseHolder || 'nobody'}`,
		...status.vms.map(vm => `VM ${vm.name} in ${vm.zone}: ${vm.state}, configuration ${vm.configurationVersion}`),
		...status.instances.map(one => `endpoint ${one.endpoint} of ${one.group}: ${one.role}, term ${one.term}, offset ${one.offset}, ${one.inUse} in use of ${one.connections} connections`),
		...status.accounts.map(one => `client account ${one.account}: ${one.served} admitted, ${one.refused} refused, ${one.tokens.toFixed(1)} tokens here`),
	]);
	return exitCodes.done;
}

/** Prints the configuration in force. */
export async function showConfiguration(flags: CommonFlags): Promise<number> {
	const context = new CommandContext(flags);
	const {version, rows} = await context.client.getConfiguration({});
	context.print({version, rows: rows.map(({key, value}) => ({key, value}))}, [`version ${version}`, ...rows.map(({key, value}) => `${key} ${value ?? ''}`)]);
	return exitCodes.done;
}

/** Prints the latest changes. */
export async function showHistory(flags: CommonFlags & {readonly limit?: number}): Promise<number> {
	const context = new CommandContext(flags);
	const {changes} = await context.client.getHistory({limit: Number(flags.limit ?? 20)});
	context.print({changes}, changes.map(change => `${change.version} ${change.author}: ${change.summary} (${change.rows.length} rows)`));
	return exitCodes.done;
}
