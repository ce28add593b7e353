import {randomBytes} from 'node:crypto';
import {ConfigurationLog, PlatformClient} from '@chicorysaddle/store';
import {formatRow, type Route, type StoredRow} from '@chicorysaddle/model';
import {hashKey} from '@chicorysaddle/proxy';
import {type FakeDeployment} from '../fakes/index.js';

/** Account of the first configuration version; its rate is in calls per second, its burst in calls. */
export type InitialAccount = {readonly name: string; readonly rate: number; readonly burst: number; readonly key: string};

/** Contents of the first configuration version besides the endpoints and routes. */
export type BootstrapOptions = {
	readonly accounts: readonly InitialAccount[];
	readonly voters: readonly string[];
	/** Whether the groups record request ids; true by default. */
	readonly recordsRequestIds?: boolean;
};

function createRoutes(group: string): Array<[string, Route]> {
	const commonFields = {group, open: false, stalenessMs: 0} as const;
	return [
		[`${group}.get`, {
			...commonFields, access: 'read', repeatable: true, priority: 'normal', statement: 'get',
		}],
		[`${group}.browse`, {
			...commonFields, access: 'read', repeatable: true, priority: 'low', statement: 'get', stalenessMs: 2000,
		}],
		[`${group}.put`, {
			...commonFields, access: 'write', repeatable: true, priority: 'normal', statement: 'put',
		}],
		[`${group}.file`, {
			...commonFields, access: 'write', repeatable: false, priority: 'high', statement: 'append',
		}],
		[`${group}.status`, {
			...commonFields, access: 'read', repeatable: true, priority: 'normal', statement: 'get', open: true,
		}],
	];
}

/** Writes the first configuration version of a deployment; throws the refusal if the store rejects it. */
export async function bootstrapConfiguration(deployment: FakeDeployment, options: BootstrapOptions): Promise<void> {
	const rows: StoredRow[] = [
		formatRow('secret', 'session', {key: randomBytes(32).toString('hex')}),
		...options.voters.map(voter => formatRow('voter', voter, {})),
		...options.accounts.flatMap(account => [
			formatRow('account', account.name, {rate: account.rate, burst: account.burst, weight: 1}),
			formatRow('key', hashKey(account.key), {account: account.name, label: 'first'}),
		]),
	];
	for (const group of deployment.groups) {
		rows.push(formatRow('group', group.name, {recordsRequestIds: options.recordsRequestIds ?? true}), ...createRoutes(group.name).map(([name, route]) => formatRow('route', name, route)));
	}

	for (const server of deployment.servers) {
		const {instance} = server;
		const group = deployment.groups.find(({instances}) => instances.includes(instance))!;
		rows.push(formatRow('endpoint', instance.name, {
			group: group.name, address: server.address, zone: instance.zone, slots: instance.slots, connections: instance.connections, state: 'active',
		}));
	}

	const client = new PlatformClient({address: `127.0.0.1:${deployment.platform.port}`, timeoutMs: 2000});
	const result = await new ConfigurationLog(client, client).writeChange({
		version: 1, writeId: 'bootstrap', author: 'bootstrap', summary: 'first version', rows,
	});
	client.close();
	result.ifLeft(refusal => {
		throw refusal;
	});
}
