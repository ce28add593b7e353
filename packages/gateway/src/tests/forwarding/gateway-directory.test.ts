import test from 'ava';
import {type CoordinatorReport, type MemberEntry} from '@chicorysaddle/protocol/coordination';
import {ConfigurationView} from '../../configuration/index.js';
import {GatewayDirectory} from '../../forwarding/index.js';
import {type Instance} from '../../instances/index.js';
import {FakeInstance} from '../fakes/fake-database.js';
import {measureCollections} from '../fakes/collection-sizes.js';
import {createConfiguration, statements, TestCluster} from '../fakes/test-cluster.js';
import {createScarceConfiguration, ScarceCluster} from './scarce-cluster.js';

const roundCount = 5;

const instance: Instance = {
	id: 'i-1', group: 'db', address: 'i-1:1', zone: 'a', slots: 2, state: 'ready', reportedRole: 'primary', bornMs: 1,
};

// Guards against memory that grows with every instance that ever was there, while the VMs stay the same.
test.serial('a VM keeps the gateways of the present instances only', async t => {
	const cluster = new ScarceCluster(6);
	const {database, store} = cluster;
	const vm = 'vm1';
	await cluster.startAll(createScarceConfiguration({groups: [{name: 'db', maxConnections: 4}]}));
	for (let round = 2; round < roundCount + 2; round++) {
		for (const former of database.instances.splice(3)) {
			former.crash();
		}

		const added = new FakeInstance(`db-added-${round}`, database);
		added.position = database.primary.position;
		database.instances.push(added);
		store.instances = database.createInstances();
		const [account] = createConfiguration(round).accounts;
		store.setConfiguration(createScarceConfiguration({version: round, groups: [{name: 'db', maxConnections: 4}], accounts: [{...account!, name: `account-${round}`, keyDigests: [`key-${round}`]}]}));
		await cluster.time.advance(3000);
		const caller = cluster.openSession(vm, 'own', `key-${round}`);
		for (let count = 0; count < 20; count++) {
			await caller.sendAndWait(statements.read);
		}

		caller.disconnect();
		await cluster.time.advance(1000);
	}

	const sizes = measureCollections(cluster.getGateway(vm).gateway, value => value instanceof TestCluster);
	const instanceCount = database.instances.length;
	t.true(sizes.get('GatewayDirectory.#gatewaysByInstance')! <= instanceCount, `${sizes.get('GatewayDirectory.#gatewaysByInstance')} instances`);
	cluster.stop();
});

// Guards against memory that grows with every account that was ever in the configuration, while the VMs and instances stay the same.
test('a directory forgets the accounts of former configurations', t => {
	const configuration = new ConfigurationView();
	const directory = new GatewayDirectory({identity: {vm: 'vm1', regions: new Map()}, configuration});
	const member: MemberEntry = {
		vm: 'vm2', zone: 'a', region: undefined, address: 'vm2:1', capacity: 1, isDraining: undefined,
	};
	directory.setMemberCount(100);
	directory.applyReport({memberRevision: 'a.1', memberList: [member], memberChanges: undefined} as unknown as CoordinatorReport);
	const countItems = () => [...measureCollections(directory, value => value === configuration)].filter(([path]) => path.startsWith('GatewayDirectory.#gatewaysByInstance')).reduce((sum, [, size]) => sum + size, 0);
	const chooseGateway = (version: number) => {
		configuration.applyConfiguration(createScarceConfiguration({version}));
		t.is(directory.getGateway(instance, `account-${version}`)?.vm, 'vm2');
	};

	chooseGateway(1);
	const itemCount = countItems();
	for (let version = 2; version <= 50; version++) {
		chooseGateway(version);
	}

	t.is(countItems(), itemCount);
});
