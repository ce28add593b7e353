import {create} from '@bufbuild/protobuf';
import {
	FailureDetector, GroupState, type InstanceView, type QueuePolicy,
} from '@chicorysaddle/decisions';
import {type NamedEndpoint} from '@chicorysaddle/model';
import {ProbeRequestSchema} from '@chicorysaddle/protocol';
import {type Clock} from '../observability/index.js';
import {
	EndpointPool, type EndpointConnector, getConnectionShare, parseStatus,
} from '../endpoints/index.js';
import {Dispatcher} from './dispatcher.js';
import {WriteConfirmer} from './write-confirmer.js';

const probeTimeoutMs = 500;

/** Pauses between probes of an instance, in milliseconds. */
const probePauses = {
	/** Of the primary, by a VM that watches the group. */
	watchedPrimary: 300,
	/** Of a replica, by a VM that watches the group. */
	watchedReplica: 1000,
	/** By any other VM. */
	unwatched: 2000,
	/** Of an instance that does not answer, or whose group is in doubt. */
	inDoubt: 300,
} as const;

/** One database group as this proxy sees and uses it. */
export class Group {
	readonly state: GroupState;
	readonly detector: FailureDetector;
	readonly confirmer: WriteConfirmer;
	readonly dispatcher: Dispatcher;
	/** Whether this VM is one of those that watch the group closely. */
	isWatched = false;
	readonly #pools = new Map<string, EndpointPool>();
	readonly #lastHeard = new Map<string, number>();
	readonly #lastProbed = new Map<string, number>();
	readonly #examined = new Set<string>();

	constructor(name: string, private readonly connector: EndpointConnector, private readonly clock: Clock, queuePolicy: QueuePolicy) {
		this.state = new GroupState(name);
		this.detector = new FailureDetector(this.state);
		this.confirmer = new WriteConfirmer(this.state, instance => this.#pools.get(instance)?.control, clock);
		this.dispatcher = new Dispatcher(this.state, instance => this.#pools.get(instance), clock, queuePolicy);
	}

	getPool(instance: string): EndpointPool | undefined {
		return this.#pools.get(instance);
	}

	/**
	 * Brings the instances in line with the configuration.
	 * @param endpoints - Endpoints of the group.
	 * @param vms - Number of VMs that share their connections.
	 */
	configure(endpoints: readonly NamedEndpoint[], vms: number): void {
		for (const name of [...this.#pools.keys()].filter(known => !endpoints.some(endpoint => endpoint.name === known))) {
			this.#removeInstance(name);
		}

		for (const endpoint of endpoints) {
			this.#configureInstance(endpoint, vms);
		}

		this.dispatcher.advance();
	}

	/** Whether every instance has been probed. */
	get isExamined(): boolean {
		return this.state.instances.every(instance => this.#examined.has(instance.name));
	}

	/** Takes in which instance leads which term. */
	observePrimary(term: number, name: string): void {
		if (this.state.observePrimary(term, name)) {
			this.#observeChange();
		}
	}

	/** Takes in that an instance has answered a request. */
	observeAnswer(instance: InstanceView): void {
		instance.observeReachable();
		this.#lastHeard.set(instance.name, this.clock.getNow());
	}

	/** Takes in that an instance could not be reached. */
	observeFailure(instance: InstanceView): void {
		this.#lastHeard.delete(instance.name);
		this.#lastProbed.delete(instance.name);
		void this.probeInstance(instance);
	}

	/** Probes the instances that are due, and re-evaluates the primary. */
	advance(): void {
		const now = this.clock.getNow();
		for (const instance of this.state.instances) {
			const heardAt = Math.max(this.#lastHeard.get(instance.name) ?? Number.NEGATIVE_INFINITY, this.#lastProbed.get(instance.name) ?? Number.NEGATIVE_INFINITY);
			if (now - heardAt >= this.#getProbePauseMs(instance, now)) {
				void this.probeInstance(instance);
			}
		}

		this.detector.observe(now);
	}

	/** Asks an instance for its status. */
	async probeInstance(instance: InstanceView): Promise<void> {
		const control = this.#pools.get(instance.name)?.control;
		const sentAt = this.clock.getNow();
		this.#lastProbed.set(instance.name, sentAt);
		const status = await control?.probe(create(ProbeRequestSchema), {timeoutMs: probeTimeoutMs});
		this.#examined.add(instance.name);
		status?.caseOf({
			Left() {
				instance.observeUnreachable(sentAt);
			},
			Right: answer => {
				instance.observeReport(parseStatus(answer), sentAt);
				this.#observeStatus(instance);
			},
		});
		this.detector.observe(this.clock.getNow());
		this.confirmer.observeGroup();
	}

	close(): void {
		for (const pool of this.#pools.values()) {
			pool.close();
		}
	}

	#observeStatus(instance: InstanceView): void {
		if (instance.isPrimary) {
			this.observePrimary(instance.term, instance.name);
		} else if (instance.name === this.state.primaryName) {
			this.state.observeTerm(instance.term);
		}
	}

	#observeChange(): void {
		this.confirmer.observeGroup();
		this.dispatcher.advance();
	}

	#getProbePauseMs(instance: InstanceView, now: number): number {
		if (!instance.isReachable || this.state.primary === undefined || this.detector.getFailingMs(now) > 0) {
			return probePauses.inDoubt;
		}

		if (!this.isWatched) {
			return probePauses.unwatched;
		}

		return instance.name === this.state.primaryName ? probePauses.watchedPrimary : probePauses.watchedReplica;
	}

	#configureInstance(endpoint: NamedEndpoint, vms: number): void {
		const instance = this.state.addInstance(endpoint.name, endpoint.zone);
		const known = this.#pools.get(endpoint.name);
		if (known !== undefined && known.address !== endpoint.address) {
			known.close();
		}

		const pool = known?.address === endpoint.address ? known : new EndpointPool(endpoint.address, this.connector);
		this.#pools.set(endpoint.name, pool);
		instance.isLeaving = endpoint.state === 'leaving';
		pool.setShare(getConnectionShare(endpoint.connections, vms));
		instance.limit = Math.min(pool.limit, endpoint.slots);
		if (!instance.isLeaving) {
			void pool.warmConnections(async connection => connection.probe(create(ProbeRequestSchema), {timeoutMs: probeTimeoutMs}));
		}
	}

	#removeInstance(name: string): void {
		this.#pools.get(name)?.close();
		this.#pools.delete(name);
		this.#examined.delete(name);
		this.state.removeInstance(name);
	}
}
