import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {
	type Endpoint, formatRow, type RowKind, type RowValues,
} from '@chicorysaddle/model';
import {getKeyHash} from '../sheet/index.js';
import {CommandContext, type CommonFlags, exitCodes} from './command-context.js';

const keyLengthBytes = 24;

/** Flags of the commands that set limits: rate in requests per second, burst in requests. */
export type LimitFlags = CommonFlags & {readonly rate?: number; readonly burst?: number; readonly weight?: number};

/** Flags of the commands that set endpoints. */
export type EndpointFlags = CommonFlags & {
	readonly group?: string; readonly address?: string; readonly zone?: string; readonly slots?: number; readonly connections?: number;
};

type RowLookup<K extends RowKind> = {readonly context: CommandContext; readonly version: bigint; readonly value: RowValues[K] | undefined};

async function readRow<K extends RowKind>(flags: CommonFlags, kind: K, name: string): Promise<RowLookup<K>> {
	const context = new CommandContext(flags);
	const {version, rows} = await context.client.getConfiguration({});
	const row = rows.find(({key}) => key === `${kind}/${name}`);
	return {context, version, value: row?.value === undefined ? undefined : JSON.parse(row.value) as RowValues[K]};
}

function reportInvalidInput(message: string): number {
	process.stderr.write(`${message}\n`);
	return exitCodes.invalidInput;
}

/** Creates a client account and returns the exit code. */
export async function createAccount(name: string, flags: LimitFlags): Promise<number> {
	const {context, version, value} = await readRow(flags, 'account', name);
	if (value !== undefined) {
		return reportInvalidInput(`client account "${name}" already exists`);
	}

	const {rate, burst, weight = 1} = flags;
	return rate === undefined || burst === undefined
		? reportInvalidInput('account create needs --rate and --burst')
		: context.applyRows([formatRow('account', name, {rate: Number(rate), burst: Number(burst), weight: Number(weight)})], `create client account ${name}`, version);
}

/** Changes the limits of a client account and returns the exit code; limits without a flag stay. */
export async function setAccountLimits(name: string, flags: LimitFlags): Promise<number> {
	const {context, version, value} = await readRow(flags, 'account', name);
	return value === undefined
		? reportInvalidInput(`no client account "${name}"`)
		: context.applyRows([formatRow('account', name, {
			rate: Number(flags.rate ?? value.rate), burst: Number(flags.burst ?? value.burst), weight: Number(flags.weight ?? value.weight),
		})], `limit client account ${name}`, version);
}

/** Creates a key for a client account and returns the exit code. The key is printed once; only its hash is stored. */
export async function createKey(account: string, flags: CommonFlags & {readonly label?: string}): Promise<number> {
	const {context, version, value} = await readRow(flags, 'account', account);
	if (value === undefined) {
		return reportInvalidInput(`no client account "${account}"`);
	}

	const key = `csk_${randomBytes(keyLengthBytes).toString('base64url')}`;
	const hash = getKeyHash(key);
	process.stderr.write(`key ${key}\n`);
	return context.applyRows([formatRow('key', hash, {account, label: flags.label ?? ''})], `give a key to ${account}`, version, {key, hash});
}

/**
 * Withdraws a key and returns the exit code.
 * @param key - The key, or "sha256:" and its hash.
 */
export async function withdrawKey(key: string, flags: CommonFlags): Promise<number> {
	const hash = getKeyHash(key);
	const {context, version, value} = await readRow(flags, 'key', hash);
	return value === undefined ? reportInvalidInput('no such key in the configuration; expected a key or "sha256:" and its hash') : context.applyRows([formatRow('key', hash, undefined)], `withdraw a key of ${value.account}`, version);
}

/** Adds an endpoint, or makes an existing one active again, and returns the exit code; fields without a flag stay. */
export async function addEndpoint(name: string, flags: EndpointFlags): Promise<number> {
	const {context, version, value} = await readRow(flags, 'endpoint', name);
	const endpoint: Partial<Endpoint> = {
		...value,
		...(flags.group === undefined ? {} : {group: flags.group}),
		...(flags.address === undefined ? {} : {address: flags.address}),
		...(flags.zone === undefined ? {} : {zone: flags.zone}),
		...(flags.slots === undefined ? {} : {slots: Number(flags.slots)}),
		...(flags.connections === undefined ? {} : {connections: Number(flags.connections)}),
		state: 'active',
	};
	return context.applyRows([formatRow('endpoint', name, endpoint as Endpoint)], `endpoint ${name} joins`, version);
}

/** Marks an endpoint as leaving, so that it gets no new work, and returns the exit code. */
export async function drainEndpoint(name: string, flags: CommonFlags): Promise<number> {
	const {context, version, value} = await readRow(flags, 'endpoint', name);
	return value === undefined ? reportInvalidInput(`no endpoint "${name}"`) : context.applyRows([formatRow('endpoint', name, {...value, state: 'leaving'})], `endpoint ${name} leaves`, version);
}
