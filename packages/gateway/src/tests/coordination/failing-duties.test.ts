import test from 'ava';
import {type GatewayPorts, type WiredGateway, createGateway} from '../../wiring/index.js';
import {createErrorClosingNetwork} from '../fakes/error-closing-network.js';
import {TestCluster} from '../fakes/test-cluster.js';
import {isServed} from './write-load.js';

const vms = ['vm1', 'vm2', 'vm3'];

/** Time within which another VM is the coordinator, once a duty of the present one fails each time, in milliseconds: less than a lease that is not renewed lasts. */
const maxFailingMs = 6000;

/** Time for which a VM whose duties failed does not become the coordinator again while others can, in milliseconds. */
const minRestMs = 30_000;

/** VMs whose duties fail at present. */
type FailingVms = ReadonlySet<string>;

/** Makes a duty of the VMs that are in a set fail each time. */
type DutyFault = (gateway: WiredGateway, ports: GatewayPorts, vm: string, failing: FailingVms) => void;

function failWhile<Arguments extends unknown[], Result>(isFailing: () => boolean, call: (...arguments_: Arguments) => Result): (...arguments_: Arguments) => Result {
	return (...arguments_) => {
		if (isFailing()) {
			throw new Error('planned');
		}

		return call(...arguments_);
	};
}

/** Makes the list of instances that the store returns unusable. */
const failInstanceWatch: DutyFault = (_gateway, {store}, vm, failing) => {
	const read = store.readInstances.bind(store);
	Object.assign(store, {
		async readInstances(timeoutMs: number) {
			return failing.has(vm) ? {kind: 'ok', value: undefined} : read(timeoutMs);
		},
	});
};

const dutyFaults: Readonly<Record<string, DutyFault>> = {
	'reports and the search for dead primaries fail'({terms}, _ports, vm, failing) {
		Object.assign(terms, {getTerms: failWhile(() => failing.has(vm), terms.getTerms.bind(terms))});
	},
	'its own term lease is not renewed'({terms}, _ports, vm, failing) {
		Object.assign(terms, {renewLease: failWhile(() => failing.has(vm), terms.renewLease.bind(terms))});
	},
	'the check of a group fails'({terms}, _ports, vm, failing) {
		Object.assign(terms, {getTerm: failWhile(() => failing.has(vm), terms.getTerm.bind(terms))});
	},
	'the list of instances is not read': failInstanceWatch,
	'the configuration is not read'(_gateway, {store}, vm, failing) {
		const poll = store.pollConfiguration.bind(store);
		const read = store.readConfiguration.bind(store);
		Object.assign(store, {
			pollConfiguration: async (...call: Parameters<typeof poll>) => failing.has(vm) ? {kind: 'ok', value: undefined} : poll(...call),
			readConfiguration: async (...call: Parameters<typeof read>) => failing.has(vm) ? {kind: 'ok', value: undefined} : read(...call),
		});
	},
};

function createCluster(failing: FailingVms, fault: DutyFault): TestCluster {
	const cluster = new TestCluster(vms);
	cluster.chooseBuild = vm => (identity, ports) => {
		const gateway = createGateway(identity, {...ports, network: createErrorClosingNetwork(ports.network)});
		fault(gateway, ports, vm, failing);
		return gateway;
	};

	return cluster;
}

async function measureUntil(cluster: TestCluster, timeoutMs: number, isReached: () => boolean): Promise<number> {
	const startedAt = cluster.time.now();
	while (!isReached() && cluster.time.now() - startedAt < timeoutMs) {
		await cluster.time.advance(20);
	}

	return cluster.time.now() - startedAt;
}

// Guards against a coordinator whose work fails but whose lease is renewed: no primary is replaced, or no report sent, until it ends.
for (const [name, fault] of Object.entries(dutyFaults)) {
	test.serial(`a coordinator of whose duties one fails each time gives up the role, and another VM does its work: ${name}`, async t => {
		const failing = new Set<string>();
		const cluster = createCluster(failing, fault);
		t.teardown(() => {
			cluster.stop();
		});
		await cluster.start();
		const former = cluster.getCoordinator();
		failing.add(former);
		const takenMs = await measureUntil(cluster, 3 * maxFailingMs, () => cluster.getCoordinator() !== former && cluster.getCoordinator() !== '');
		t.true(takenMs <= maxFailingMs, `${takenMs} ms`);
		t.true(cluster.log.events.some(event => event.name === 'coordinator.failing' && event.vm === former));
		t.is(cluster.getGateway(former).metrics.getCount('coordinator_failing'), 1);
		const callers = vms.filter(vm => vm !== former).map(vm => cluster.openSession(vm, 'strict'));
		cluster.database.primary.crash();
		t.true(await isServed(cluster, callers, 6000));
		const takenBy = cluster.log.events.filter(event => event.name === 'coordinator.taken').length;
		await cluster.time.advance(minRestMs);
		t.is(cluster.log.events.filter(event => event.name === 'coordinator.taken').length, takenBy, 'the coordinator changed again');
	});
}

// Guards against a VM without a working duty that gets the role back at once because it is larger than the others.
test.serial('a larger VM whose duties failed is not offered the role again at once', async t => {
	const failing = new Set<string>();
	const cluster = createCluster(failing, failInstanceWatch);
	t.teardown(() => {
		cluster.stop();
	});
	cluster.capacity = 0.2;
	cluster.capacities.set('vm2', 1);
	await cluster.start();
	await cluster.time.advance(5000);
	t.is(cluster.getCoordinator(), 'vm2');
	failing.add('vm2');
	await cluster.time.advance(maxFailingMs + 2000);
	const successor = cluster.getCoordinator();
	t.true(successor !== 'vm2' && successor !== '', successor);
	await cluster.time.advance(minRestMs);
	t.is(cluster.getCoordinator(), successor);
});

// Guards against a role that passes round all the time, or that nobody takes, when the cause is the same on every VM.
test.serial('when a duty fails on every VM, the role passes on ever more rarely, and callers are served', async t => {
	const failing = new Set<string>();
	const cluster = createCluster(failing, failInstanceWatch);
	t.teardown(() => {
		cluster.stop();
	});
	await cluster.start();
	for (const vm of vms) {
		failing.add(vm);
	}

	const callers = vms.map(vm => cluster.openSession(vm, 'strict'));
	const countTaken = () => cluster.log.events.filter(event => event.name === 'coordinator.taken').length;
	let changesInLastMinute = 0;
	for (let minute = 0; minute < 5; minute++) {
		const before = countTaken();
		for (let part = 0; part < 12; part++) {
			t.true(await isServed(cluster, callers, 5000), `not served after ${(minute * 60) + (part * 5)} s`);
			await cluster.time.advance(5000);
		}

		changesInLastMinute = countTaken() - before;
	}

	t.true(changesInLastMinute <= 3, `${changesInLastMinute} changes in the last minute`);
	failing.clear();
	await cluster.time.advance(10_000);
	t.true(await isServed(cluster, callers, 5000));
});

// Guards against a VM that is alone and gives its role to nobody.
test.serial('a VM that is alone goes on as the coordinator although a duty fails', async t => {
	const failing = new Set<string>();
	const cluster = new TestCluster(['vm1']);
	cluster.chooseBuild = vm => (identity, ports) => {
		const gateway = createGateway(identity, ports);
		failInstanceWatch(gateway, ports, vm, failing);
		return gateway;
	};

	t.teardown(() => {
		cluster.stop();
	});
	await cluster.start();
	failing.add('vm1');
	const callers = [cluster.openSession('vm1', 'strict')];
	for (let part = 0; part < 10; part++) {
		await cluster.time.advance(3000);
		t.true(await isServed(cluster, callers, 500));
	}

	t.is(cluster.log.events.filter(event => event.name === 'coordinator.taken').length, 1);
});
