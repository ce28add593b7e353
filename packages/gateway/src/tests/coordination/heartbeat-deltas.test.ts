import test from 'ava';
import fc from 'fast-check';
import {type PrimaryEvidence} from '@chicorysaddle/decisions';
import {
	type CoordinatorReport, formatPeerMessage, type Heartbeat, type HeartbeatDelta, parsePeerMessage,
} from '@chicorysaddle/protocol/coordination';
import {type ConfigurationView, type ConfigurationWatcher} from '../../configuration/index.js';
import {
	ConfigurationAssigner, Coordinator, type CoordinatorLease, HeartbeatBuilder,
} from '../../coordination/index.js';
import {type Dispatcher} from '../../dispatch/index.js';
import {EventLog, GatewayMetrics} from '../../observability/index.js';
import {type PeerLink} from '../../ports/index.js';
import {TermRegistry} from '../../terms/index.js';

const groups = ['a', 'b', 'c'];
const log = new EventLog('vm1', {write: () => undefined, writableLength: 0});

function createLink(): PeerLink {
	return {
		isOpen: true,
		send() {
			// The test delivers messages itself.
		},
		close() {
			// The test replaces links itself.
		},
	};
}

/** One VM and its coordinator, which exchange messages under the control of the test; both have the same clock. */
class Exchange {
	now = 10_000;
	readonly evidence = new Map<string, Omit<PrimaryEvidence, 'vm'>>();
	readonly vmTerms: TermRegistry;
	readonly coordinatorTerms: TermRegistry;
	readonly coordinator: Coordinator;
	readonly #builder: HeartbeatBuilder;
	#link = createLink();
	#offset = 0;
	#heldHeartbeat: Heartbeat | HeartbeatDelta | undefined;

	constructor() {
		const clock = {now: () => this.now, getWallTime: () => this.now};
		const configuration = {version: 1} as unknown as ConfigurationView;
		this.vmTerms = new TermRegistry(clock, log, new GatewayMetrics());
		this.coordinatorTerms = new TermRegistry(clock, log, new GatewayMetrics());
		const dispatcher = {
			admission: {createLoads: () => undefined},
			getTracker: (instanceId: string) => {
				const evidence = this.evidence.get(instanceId);
				return evidence === undefined ? undefined : {createEvidence: (vm: string) => ({...evidence, vm})};
			},
		} as unknown as Dispatcher;
		this.#builder = new HeartbeatBuilder({
			identity: {
				vm: 'vm1', zone: 'a', regions: new Map(), incarnation: 'run-1', peerAddress: 'vm1:1',
			}, terms: this.vmTerms, configuration, dispatcher, clock, getSettings: () => ({
				drainMs: 7000, limitWindowMs: 5000, capacity: 1, seeds: [],
			}), getConfigurationTransfer: () => undefined, createUsageReport: () => [],
		});
		const configurationAssigner = new ConfigurationAssigner({
			vm: 'vm2', configuration, configurationWatcher: {} as unknown as ConfigurationWatcher, regions: new Map(), clock,
		});
		this.coordinator = new Coordinator({
			vm: 'vm2', coordinatorLease: {token: 1, version: 1, acquiredAt: 0} as unknown as CoordinatorLease, terms: this.coordinatorTerms, configuration, configurationAssigner, clock, log, limitWindowMs: 5000,
		});
		for (const group of groups) {
			this.applyTerm(group, 1);
		}
	}

	applyTerm(group: string, revision: number): void {
		for (const terms of [this.vmTerms, this.coordinatorTerms]) {
			terms.applyTerm({
				group, term: 1, primaryId: `${group}-1`, phase: 'open', drainMs: 0, revision,
			});
		}
	}

	observePosition(group: string, by: TermRegistry): void {
		this.#offset += 1;
		by.recordPosition(group, {term: 1, offset: this.#offset}, this.now);
	}

	openLink(): void {
		this.#link = createLink();
	}

	/** Exchanges a heartbeat, which it returns, and its report; `held` delivers the heartbeat only after the next one. */
	exchange(delivery: 'both' | 'heartbeat-lost' | 'report-lost' | 'held'): Heartbeat | HeartbeatDelta {
		const heartbeat = this.#builder.createHeartbeat(this.#link, undefined);
		if (delivery === 'held') {
			this.#heldHeartbeat ??= heartbeat;
			return heartbeat;
		}

		if (delivery !== 'heartbeat-lost') {
			this.#deliver(heartbeat, delivery === 'both');
		}

		if (this.#heldHeartbeat !== undefined) {
			this.#deliver(this.#heldHeartbeat, delivery === 'both');
			this.#heldHeartbeat = undefined;
		}

		return heartbeat;
	}

	#deliver(heartbeat: Heartbeat | HeartbeatDelta, isAnswered: boolean): void {
		// The messages go through their text form, as on the network.
		const received = parsePeerMessage(formatPeerMessage(heartbeat)) as Heartbeat | HeartbeatDelta;
		const report: CoordinatorReport | undefined = received.kind === 'heartbeat'
			? this.coordinator.handleHeartbeat(received, this.#link)
			: this.coordinator.handleHeartbeatDelta(received, this.#link);
		if (!isAnswered) {
			return;
		}

		if (report === undefined) {
			this.#builder.requireComplete();
			return;
		}

		const sentAt = this.#builder.recordReport(report);
		for (const [group, term, offset, ageMs] of sentAt === undefined ? [] : report.compactPositions ?? []) {
			this.vmTerms.recordPosition(group, {term, offset}, sentAt!.monotonicMs - ageMs);
		}
	}
}

const groupArbitrary = fc.constantFrom(...groups);
const stepArbitrary = fc.oneof(
	fc.record({kind: fc.constant('position' as const), group: groupArbitrary, isAtVm: fc.boolean()}),
	fc.record({kind: fc.constant('evidence' as const), group: groupArbitrary, isFailing: fc.boolean()}),
	fc.record({kind: fc.constant('term' as const), group: groupArbitrary}),
	fc.record({kind: fc.constant('link' as const)}),
	fc.record({kind: fc.constant('exchange' as const), delivery: fc.constantFrom('both' as const, 'heartbeat-lost' as const, 'report-lost' as const, 'held' as const)}),
);
type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

function runStep(exchange: Exchange, step: Step, index: number): void {
	exchange.now += 10;
	switch (step.kind) {
		case 'position': {
			exchange.observePosition(step.group, step.isAtVm ? exchange.vmTerms : exchange.coordinatorTerms);
			return;
		}

		case 'evidence': {
			exchange.evidence.set(`${step.group}-1`, {
				instanceId: `${step.group}-1`, answeredAt: exchange.now, failingSince: step.isFailing ? exchange.now : undefined, isRefused: step.isFailing,
			});
			return;
		}

		case 'term': {
			exchange.applyTerm(step.group, index + 2);
			return;
		}

		case 'link': {
			exchange.openLink();
			return;
		}

		case 'exchange': {
			exchange.exchange(step.delivery);
		}
	}
}

test('after lost, delayed and repeated exchanges, two complete ones leave both sides with the same state', t => {
	fc.assert(fc.property(fc.array(stepArbitrary, {maxLength: 60}), steps => {
		const exchange = new Exchange();
		for (const [index, step] of steps.entries()) {
			runStep(exchange, step, index);
		}

		for (let round = 0; round < 2; round++) {
			exchange.now += 10;
			exchange.exchange('both');
		}

		for (const group of groups) {
			const expected = exchange.evidence.get(`${group}-1`);
			t.deepEqual(exchange.coordinator.getPrimaryEvidence(group), expected === undefined ? [] : [{...expected, vm: 'vm1'}]);
			const [atVm, atCoordinator] = [exchange.vmTerms, exchange.coordinatorTerms].map(terms => terms.getNewestPosition(group)?.position);
			t.deepEqual(atVm, atCoordinator);
			t.true(exchange.coordinator.isTermClosed(group, exchange.vmTerms.getTerm(group)!.revision, exchange.now, new Set(['vm1'])));
		}
	}), {seed: 7, numRuns: 300});
});

test('a heartbeat without news is small, however many groups there are', t => {
	const exchange = new Exchange();
	for (const group of groups) {
		exchange.observePosition(group, exchange.vmTerms);
	}

	t.is(exchange.exchange('both').kind, 'heartbeat');
	exchange.exchange('both');
	const heartbeat = exchange.exchange('both');
	const {kind, positions, evidence, revisions} = heartbeat;
	t.deepEqual([kind, positions, evidence, revisions], ['heartbeat-delta', [], {}, {}]);
	t.true(formatPeerMessage(heartbeat).length < 200);
});

test('a coordinator that reads no deltas gets complete heartbeats, and a VM that reads no compact reports gets every position', t => {
	const exchange = new Exchange();
	exchange.observePosition('a', exchange.coordinatorTerms);
	const former: Heartbeat = {
		kind: 'heartbeat', vm: 'vm3', incarnation: 'run-1', sequence: 1, positions: {}, evidence: {}, revisions: {}, storeRevisions: undefined, configurationVersion: 1, instanceRevision: undefined, configurationTransfer: undefined, evacuationVersion: undefined, echo: {stampMs: 5000, ageMs: 1}, loads: undefined, readsCompactReports: undefined, writesPerS: undefined, memberRevision: undefined, registration: undefined, uptimeMs: undefined, accountUsage: undefined, statedUsage: undefined,
	};
	const report = exchange.coordinator.handleHeartbeat(former, createLink());
	t.deepEqual([Object.keys(report.positions), report.compactPositions, report.acceptsDeltas], [['a'], undefined, undefined]);
});

test('an offer of the coordinator role goes to a few VMs, and to others the next time', t => {
	const exchange = new Exchange();
	const asked: string[] = [];
	for (let index = 1; index <= 20; index++) {
		const vm = `vm${index}`;
		exchange.coordinator.handleHeartbeat({
			kind: 'heartbeat', vm, incarnation: 'run-1', sequence: 1, positions: {}, evidence: {}, revisions: {}, storeRevisions: undefined, configurationVersion: 1, instanceRevision: undefined, configurationTransfer: undefined, evacuationVersion: undefined, echo: undefined, loads: undefined, readsCompactReports: true, writesPerS: undefined, memberRevision: undefined, registration: undefined, uptimeMs: undefined, accountUsage: undefined, statedUsage: undefined,
		}, {
			...createLink(), send() {
				asked.push(vm);
			},
		});
	}

	exchange.coordinator.offerHandOver();
	t.is(asked.length, 8);
	exchange.coordinator.offerHandOver();
	exchange.coordinator.offerHandOver();
	t.is(new Set(asked).size, 20);
});

test('a VM that falls silent before it is registered counts as silent', t => {
	const exchange = new Exchange();
	exchange.exchange('both');
	t.deepEqual(exchange.coordinator.getSilentVms(1500), []);
	exchange.now += 2000;
	t.deepEqual(exchange.coordinator.getSilentVms(1500), ['vm1']);
});
