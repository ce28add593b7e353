import test from 'ava';
import {type InstanceConnector} from '../../ports/index.js';
import {createGateway} from '../../wiring/index.js';
import {TestCluster} from '../fakes/test-cluster.js';
import {isServed, writeUntil} from '../coordination/write-load.js';

const vms = ['vm1', 'vm2', 'vm3'];

/** Time for which errors last, in milliseconds: several times that after which a silent primary is replaced. */
const failingMs = 6000;

/** Makes each use of an instance an error of the process while that is active. */
function createFailingConnector(connector: InstanceConnector, isFailing: (instanceId: string) => boolean): InstanceConnector {
	return {
		async open(instance, account, timeoutMs) {
			if (isFailing(instance.id)) {
				throw new Error('planned');
			}

			const result = await connector.open(instance, account, timeoutMs);
			if (result.kind === 'opened') {
				const {connection} = result;
				const run = connection.run.bind(connection);
				connection.run = async (statements, statementTimeoutMs) => {
					if (isFailing(instance.id)) {
						throw new Error('planned');
					}

					return run(statements, statementTimeoutMs);
				};
			}

			return result;
		},
	};
}

async function runWithErrors(chooseFailing: (coordinator: string) => readonly string[]) {
	const failing = new Set<string>();
	let failingInstance = '';
	const cluster = new TestCluster(vms);
	cluster.chooseBuild = vm => (identity, ports) => createGateway(identity, {...ports, connector: createFailingConnector(ports.connector, id => failing.has(vm) && id === failingInstance)});
	await cluster.start();
	const former = cluster.database.primary;
	const callers = vms.map(vm => cluster.openSession(vm, 'strict'));
	await isServed(cluster, callers, 1000);
	failingInstance = former.id;
	for (const vm of chooseFailing(cluster.getCoordinator())) {
		failing.add(vm);
	}

	await writeUntil(cluster, callers, failingMs, () => false);
	const errorCounts = vms.filter(vm => failing.has(vm)).map(vm => cluster.getGateway(vm).metrics.getCount('task_failed'));
	return {
		cluster, former, callers, hasErrors: errorCounts.every(count => count > 0),
	};
}

// Guards against a change of primary because of errors in the processes of some VMs, while the primary serves another.
for (const [name, chooseFailing] of Object.entries({
	'the coordinator': (coordinator: string) => [coordinator],
	'a VM that is not the coordinator': (coordinator: string) => [vms.find(vm => vm !== coordinator)!],
	'all VMs but the coordinator': (coordinator: string) => vms.filter(vm => vm !== coordinator),
	'the coordinator and another VM': (coordinator: string) => [coordinator, vms.find(vm => vm !== coordinator)!],
})) {
	test.serial(`a primary is kept while each use of it is an error of the process on ${name}`, async t => {
		const {cluster, former, hasErrors} = await runWithErrors(chooseFailing);
		t.teardown(() => {
			cluster.stop();
		});
		t.true(hasErrors);
		t.is(cluster.database.promotions.length, 0);
		t.is(cluster.getTermRow().primaryId, former.id);
	});
}

// Guards against a group that is served by nobody, because errors of the processes do not count against its primary.
test.serial('a primary is replaced if each use of it is an error of the process on every VM', async t => {
	const {cluster, former, callers, hasErrors} = await runWithErrors(() => vms);
	t.teardown(() => {
		cluster.stop();
	});
	t.true(hasErrors);
	t.not(cluster.getTermRow().primaryId, former.id);
	t.true(await isServed(cluster, callers, 2000));
});
