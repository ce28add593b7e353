import test from 'ava';
import {type Heartbeat} from '@chicorysaddle/protocol/coordination';
import {type ConfigurationView, type ConfigurationWatcher} from '../../configuration/index.js';
import {ConfigurationAssigner, Coordinator, type CoordinatorLease} from '../../coordination/index.js';
import {EventLog, GatewayMetrics} from '../../observability/index.js';
import {TermRegistry} from '../../terms/index.js';

const log = new EventLog('vm1', {write: () => undefined, writableLength: 0});

function createHeartbeat(vm: string): Heartbeat {
	return {
		kind: 'heartbeat', vm, incarnation: 'run-1', sequence: 1, positions: {}, evidence: {}, revisions: {}, storeRevisions: {}, configurationVersion: 1, instanceRevision: undefined, configurationTransfer: undefined, evacuationVersion: undefined, echo: undefined, loads: undefined, readsCompactReports: true, writesPerS: undefined, memberRevision: undefined, registration: undefined, uptimeMs: 10_000, accountUsage: [], statedUsage: undefined,
	};
}

// Guards against VMs that left while another VM was the coordinator: they took a share of every limit, and the closing of a term waited for them.
test('a VM that becomes the coordinator again does not count the members of its first time', t => {
	const clock = {now: () => 20_000, getWallTime: () => 20_000};
	const lease = {token: 1, version: 1, acquiredAt: 0};
	const configuration = {version: 1} as unknown as ConfigurationView;
	const configurationAssigner = new ConfigurationAssigner({
		vm: 'vm1', configuration, configurationWatcher: {} as unknown as ConfigurationWatcher, regions: new Map(), clock,
	});
	const coordinator = new Coordinator({
		vm: 'vm1', coordinatorLease: lease as unknown as CoordinatorLease, configuration, configurationAssigner, clock, log, limitWindowMs: 5000, terms: new TermRegistry(clock, log, new GatewayMetrics()),
	});
	coordinator.handleHeartbeat(createHeartbeat('vm2'), undefined);
	coordinator.handleHeartbeat(createHeartbeat('vm3'), undefined);
	t.is(coordinator.memberCount, 3);
	lease.acquiredAt = 15_000;
	lease.token = 3;
	coordinator.setRegisteredMembers(new Map([['vm2', {
		vm: 'vm2', address: 'vm2:1', zone: 'a', incarnation: 'run-1', version: 5,
	}]]));
	t.is(coordinator.memberCount, 2);
	t.deepEqual(coordinator.getSilentVms(1500), ['vm2']);
});
