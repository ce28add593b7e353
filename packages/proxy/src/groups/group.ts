import {create} from '@bufbuild/protobuf';
import {
	FailureDetector, GroupState, type InstanceView, type QueuePolicy,
} from '@chicorysaddle/decisions';
import {type NamedEndpoint} from '@chicorysaddle/model';
import {ProbeRequestSchema} from '@chicorysaddle/protocol';
import {type Clock} from '../observability/index.js';
import {
	EndpointConnectionPool, type EndpointConnector, getMaxConnectionsPerVm, parseInstanceStatus,
} from '../endpoints/index.js';
import {Dispatcher} from './dispatcher.js';
import {WriteConfirmer} from './write-confirmer.js';
import {type ZoneEvacuations} from './zone-evacuations.js';

/** Timeout of a probe, in milliseconds. */
const probeTimeoutMs = 500;

/** Intervals between probes of an instance, in milliseconds. */
const probeIntervalsMs = {
	/** Of the primary, by a VM that monitors the group. */
	monitoredPrimary: 300,
	/** Of a replica, by a VM that monitors the group. */
	monitoredReplica: 1000,
	/** By any other VM. */
	unmonitored: 2000,
	/** Of an unreachable instance, or of any instance while the primary is unknown or suspected to have failed. */
	suspected: 300,
} as const;

/** One database group: its state, failure detection and connections as seen by this proxy. */
export class Group {
	readonly state: GroupState;
	readonly detector: FailureDetector;
	readonly confirmer: WriteConfirmer;
	readonly dispatcher: Dispatcher;
	/** Whether this VM is one of the monitors of the group. */
	isMonitoredLocally = false;
	readonly #pools = new Map<string, EndpointConnectionPool>();
	readonly #lastResponseAt = new Map<string, number>();
	readonly #lastProbeAt = new Map<string, number>();
	readonly #probedInstances = new Set<string>();

	constructor(name: string, private readonly connector: EndpointConnector, private readonly clock: Clock, queuePolicy: QueuePolicy, private readonly evacuations?: ZoneEvacuations) {
		this.state = new GroupState(name);
		this.detector = new FailureDetector(this.state);
		this.confirmer = new WriteConfirmer(this.state, instance => this.#pools.get(instance)?.control, clock);
		this.dispatcher = new Dispatcher(this.state, instance => this.#pools.get(instance), clock, queuePolicy);
	}

	/** Returns the connections to an instance, undefined if it is not in the group. */
	getPool(instance: string): EndpointConnectionPool | undefined {
		return this.#pools.get(instance);
	}

	/**
	 * Adds, updates and removes instances to match the configuration.
	 * @param endpoints - Endpoints of the group.
	 * @param vmCount - Number of VMs that share the connections of an instance.
	 */
	setEndpoints(endpoints: readonly NamedEndpoint[], vmCount: number): void {
		for (const name of [...this.#pools.keys()].filter(existing => !endpoints.some(endpoint => endpoint.name === existing))) {
			this.#removeInstance(name);
		}

		for (const endpoint of endpoints) {
			this.#addOrUpdateInstance(endpoint, vmCount);
		}

		this.dispatcher.placeQueuedRequests();
	}

	/** Whether every instance has been probed at least once. */
	get areAllInstancesProbed(): boolean {
		return this.state.instances.every(instance => this.#probedInstances.has(instance.name));
	}

	/** Records the primary of a term and, if it is new, re-evaluates pending writes and queued requests. */
	recordPrimary(term: number, name: string): void {
		if (this.state.recordPrimary(term, name)) {
			this.#handlePrimaryChange();
		}
	}

	/** Records that an instance responded to a request. */
	recordResponse(instance: InstanceView): void {
		instance.recordReachable();
		this.#lastResponseAt.set(instance.name, this.clock.getNow());
	}

	/** Records that a request to an instance failed, and probes the instance at once. */
	recordFailure(instance: InstanceView): void {
		this.#lastResponseAt.delete(instance.name);
		this.#lastProbeAt.delete(instance.name);
		void this.probeInstance(instance);
	}

	/** Probes the instances that are due and re-evaluates the health of the primary. */
	checkInstances(): void {
		const now = this.clock.getNow();
		for (const instance of this.state.instances) {
			this.#cutOffIfDue(instance, now);
			const lastActivityAt = Math.max(this.#lastResponseAt.get(instance.name) ?? Number.NEGATIVE_INFINITY, this.#lastProbeAt.get(instance.name) ?? Number.NEGATIVE_INFINITY);
			if (now - lastActivityAt >= this.#getProbeIntervalMs(instance, now)) {
				void this.probeInstance(instance);
			}
		}

		this.detector.updateFailureStart(now);
	}

	/** Requests the status of an instance and updates the state of the group from it. */
	async probeInstance(instance: InstanceView): Promise<void> {
		const control = this.#pools.get(instance.name)?.control;
		const sentAt = this.clock.getNow();
		this.#lastProbeAt.set(instance.name, sentAt);
		const status = await control?.probe(create(ProbeRequestSchema), {timeoutMs: probeTimeoutMs});
		this.#probedInstances.add(instance.name);
		status?.caseOf({
			Left() {
				instance.recordUnreachable(sentAt);
			},
			Right: response => {
				instance.recordReport(parseInstanceStatus(response), sentAt);
				this.#updatePrimary(instance);
			},
		});
		this.detector.updateFailureStart(this.clock.getNow());
		this.confirmer.recheckPendingWrites();
	}

	/** Closes the connections to all instances. */
	close(): void {
		for (const pool of this.#pools.values()) {
			pool.close();
		}
	}

	/** Closes the connections to an instance whose zone has been evacuated for long enough. */
	#cutOffIfDue(instance: InstanceView, now: number): void {
		if (!instance.isCutOff && this.evacuations?.getAccess(instance.zone, now) === 'none') {
			instance.isCutOff = true;
			instance.recordUnreachable(now);
			this.#pools.get(instance.name)?.abandon();
			this.#pools.delete(instance.name);
		}
	}

	/** Updates whether the zone of an instance is evacuated; returns whether connections to the instance are allowed. */
	#updateEvacuation(instance: InstanceView, now: number): boolean {
		const access = this.evacuations?.getAccess(instance.zone, now) ?? 'all';
		if (instance.isEvacuated && access === 'all') {
			instance.returnedAt = now;
			instance.isCutOff = false;
		}

		instance.isEvacuated = access !== 'all';
		this.#cutOffIfDue(instance, now);
		return !instance.isCutOff;
	}

	#updatePrimary(instance: InstanceView): void {
		if (instance.isPrimary) {
			this.recordPrimary(instance.term, instance.name);
		} else if (instance.name === this.state.primaryName) {
			this.state.recordTerm(instance.term);
		}
	}

	#handlePrimaryChange(): void {
		this.confirmer.recheckPendingWrites();
		this.dispatcher.placeQueuedRequests();
	}

	#getProbeIntervalMs(instance: InstanceView, now: number): number {
		if (!instance.isReachable || this.state.primary === undefined || this.detector.getFailingMs(now) > 0) {
			return probeIntervalsMs.suspected;
		}

		if (!this.isMonitoredLocally) {
			return probeIntervalsMs.unmonitored;
		}

		return instance.name === this.state.primaryName ? probeIntervalsMs.monitoredPrimary : probeIntervalsMs.monitoredReplica;
	}

	#addOrUpdateInstance(endpoint: NamedEndpoint, vmCount: number): void {
		const instance = this.state.addInstance(endpoint.name, endpoint.zone);
		instance.isLeaving = endpoint.state === 'leaving';
		if (!this.#updateEvacuation(instance, this.clock.getNow())) {
			return;
		}

		const existing = this.#pools.get(endpoint.name);
		if (existing !== undefined && existing.address !== endpoint.address) {
			existing.close();
		}

		const pool = existing?.address === endpoint.address ? existing : new EndpointConnectionPool(endpoint.address, this.connector);
		this.#pools.set(endpoint.name, pool);
		pool.setMayOpen(!instance.isEvacuated);
		pool.setMaxConnections(getMaxConnectionsPerVm(endpoint.connections, vmCount));
		instance.limit = Math.min(pool.maxRequestConnections, endpoint.slots);
		if (!instance.isLeaving && !instance.isEvacuated) {
			void pool.warmConnections(async connection => connection.probe(create(ProbeRequestSchema), {timeoutMs: probeTimeoutMs}));
		}
	}

	#removeInstance(name: string): void {
		this.#pools.get(name)?.close();
		this.#pools.delete(name);
		this.#probedInstances.delete(name);
		this.state.removeInstance(name);
	}
}
