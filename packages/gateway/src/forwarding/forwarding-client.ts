import {type ForwardedStatement, type ForwardMessage} from '@chicorysaddle/protocol/coordination';
import {
	type ConnectionShare, type InstanceTracker, type PlacementRoute, type PlacementRouter, type RemotePlacement,
} from '../dispatch/index.js';
import {type Instance} from '../instances/index.js';
import {
	type ForwardRequest, type ForwardResult, type OutgoingStatement,
} from '../statements/index.js';
import {type TermRegistry} from '../terms/index.js';
import {type GatewayDirectory} from './gateway-directory.js';
import {GatewayLink, type GatewayChannel, type GatewayLinkDependencies} from './gateway-link.js';

/** Dependencies of a `ForwardingClient`. */
export type ForwardingClientDependencies = GatewayLinkDependencies & {
	readonly directory: GatewayDirectory;
	readonly terms: TermRegistry;
};

/** How an operation is placed at a gateway. */
type RemoteTarget = {
	readonly instance: Instance;
	readonly isPrimary: boolean;
	readonly tracker: InstanceTracker;
};

/** Forwards operations to the gateways of instances with scarce connections. */
export class ForwardingClient implements PlacementRouter {
	readonly #links = new Map<string, GatewayLink>();
	readonly #capacityListeners: Array<() => void> = [];
	/** Ids of the sessions whose values were sent. */
	readonly #sessionIds = new WeakMap<ForwardRequest['session'], number>();
	#nextSessionId = 1;

	constructor(private readonly dependencies: ForwardingClientDependencies) {}

	chooseRoute(instance: Instance, account: string): PlacementRoute {
		const {directory, vm} = this.dependencies;
		const gateway = directory.getGateway(instance, account);
		if (gateway === undefined || gateway.vm === vm) {
			return {kind: 'open'};
		}

		const link = this.#getLink(gateway.vm, gateway.address, () => new GatewayLink(gateway, this.dependencies, () => {
			this.#notifyCapacityFreed();
		}));
		const decision = link.choose(instance.id);
		if (decision !== 'forward') {
			return {kind: decision};
		}

		return {
			kind: 'forward', costMs: link.estimateCostMs(), createPlacement: (isPrimary, tracker) => this.#createPlacement(link, {instance, isPrimary, tracker}),
		};
	}

	getShare(instance: Instance): ConnectionShare | undefined {
		return this.dependencies.directory.getShare(instance);
	}

	setMemberCount(memberCount: number): void {
		this.dependencies.directory.setMemberCount(memberCount);
	}

	recordOpening(instance: Instance, account: string, ms: number): void {
		const gateway = this.dependencies.directory.getGateway(instance, account);
		if (gateway !== undefined && gateway.vm !== this.dependencies.vm) {
			this.dependencies.metrics.addCount('forward_opened_instead');
		}

		for (const link of this.#links.values()) {
			link.recordOpening(ms);
		}
	}

	onCapacityFreed(listener: () => void): void {
		this.#capacityListeners.push(listener);
	}

	/** Closes the links to all gateways. */
	stop(): void {
		for (const link of this.#links.values()) {
			link.close();
		}
	}

	#getLink(vm: string, address: string, create: () => GatewayLink): GatewayLink {
		const key = createLinkKey(vm, address);
		let link = this.#links.get(key);
		if (link === undefined) {
			this.#removeUnusedLinks();
			link = create();
			this.#links.set(key, link);
		}

		return link;
	}

	/** Removes the links to VMs that are no longer members; one with operations is removed later. */
	#removeUnusedLinks(): void {
		const members = new Set(this.dependencies.directory.members.map(({vm, address}) => createLinkKey(vm, address)));
		for (const [key, link] of this.#links) {
			if (!members.has(key) && !link.isInUse) {
				link.close();
				this.#links.delete(key);
			}
		}
	}

	#notifyCapacityFreed(): void {
		for (const listener of this.#capacityListeners) {
			this.dependencies.tasks.tryCall('dispatch', listener);
		}
	}

	#createPlacement(link: GatewayLink, target: RemoteTarget): RemotePlacement {
		const {channel, id} = link.reserveChannel();
		let reservedId: number | undefined = id;
		let transaction: number | undefined;
		return {
			instance: target.instance,
			isPrimary: target.isPrimary,
			get isOpen() {
				return link.isChannelOpen(channel);
			},
			isSilent: () => link.isSilent(channel),
			run: async request => {
				const statementId = reservedId ?? link.nextStatementId();
				reservedId = undefined;
				const {kind} = request.outgoing.statement;
				if (kind === 'control-begin') {
					transaction = statementId;
					link.beginTransaction(channel, transaction);
				}

				const result = await this.#run({link, channel}, target, request, {id: statementId, transaction});
				if (transaction !== undefined && kind === 'commit' && isCommitAnswered(result)) {
					link.removeTransaction(channel, transaction);
					transaction = undefined;
				}

				return result;
			},
			release() {
				if (reservedId !== undefined) {
					link.returnReservation(reservedId);
				}

				if (transaction !== undefined) {
					link.endTransaction(channel, transaction);
					transaction = undefined;
				}
			},
		};
	}

	async #run({link, channel}: {readonly link: GatewayLink; readonly channel: GatewayChannel}, target: RemoteTarget, request: ForwardRequest, ids: {readonly id: number; readonly transaction: number | undefined}): Promise<ForwardResult> {
		const {terms, clock, metrics} = this.dependencies;
		const {instance: {group}, isPrimary} = target;
		const sentAt = clock.now();
		const {outgoing} = request;
		const isPending = isPrimary && request.canCommit;
		if (isPending) {
			terms.beginWrite(group);
		}

		metrics.addCount('forwarded');
		let result: ForwardResult;
		try {
			result = await this.#send({link, channel}, target, request, ids);
		} catch (error) {
			link.returnReservation(ids.id);
			throw error;
		} finally {
			if (isPending) {
				// As at an instance, the write ends only after the continuation that passes on its outcome has run.
				setImmediate(() => {
					terms.endWrite(group);
				});
			}
		}

		this.#recordResult(target, outgoing, result, sentAt);
		this.#recordReplicaLag(target, request, result, sentAt);
		return result;
	}

	async #send({link, channel}: {readonly link: GatewayLink; readonly channel: GatewayChannel}, {instance, isPrimary}: RemoteTarget, request: ForwardRequest, ids: {readonly id: number; readonly transaction: number | undefined}): Promise<ForwardResult> {
		const sentAt = this.dependencies.clock.now();
		const {outgoing, prepared} = request;
		return link.send(channel, {
			kind: 'forward',
			id: ids.id,
			group: instance.group,
			instance: instance.id,
			account: request.account,
			isPrimary,
			statementId: outgoing.id,
			statement: convertStatement(outgoing),
			requiredPosition: outgoing.since,
			commitAgeMs: request.committedAt === undefined ? undefined : sentAt - request.committedAt,
			priority: request.priority,
			waitMs: Math.max(0, request.waitDeadline - sentAt),
			runMs: Math.max(1, request.deadline - sentAt),
			session: this.#createSession(request.session),
			prepared,
			transaction: ids.transaction,
			isReservation: request.isReservation || undefined,
		});
	}

	/** Records what a result shows about the instance. */
	#recordResult({tracker, isPrimary, instance}: RemoteTarget, {since}: OutgoingStatement, result: ForwardResult, sentAt: number): void {
		const now = this.dependencies.clock.now();
		if (result.kind === 'completed') {
			tracker.recordOutcome(result, sentAt, now);
			if (isPrimary && result.position !== undefined) {
				this.dependencies.terms.recordPosition(instance.group, result.position, sentAt);
			}
		} else if (result.kind === 'not-run' && result.reason === 'lagging' && since !== undefined) {
			tracker.recordLagging(since, now);
		}
	}

	/** Records whether a replica had the session's own commit; the gateway sends the read to it at some time between `sentAt` and the answer. */
	#recordReplicaLag({tracker, isPrimary}: RemoteTarget, {committedAt}: ForwardRequest, result: ForwardResult, sentAt: number): void {
		if (isPrimary || committedAt === undefined) {
			return;
		}

		const now = this.dependencies.clock.now();
		if (result.kind === 'completed') {
			tracker.lag.recordCaughtUp(now - committedAt, now);
		} else if (result.kind === 'not-run' && result.reason === 'lagging') {
			tracker.lag.recordLagging(sentAt - committedAt, now);
		}
	}

	#createSession(session: ForwardRequest['session']): ForwardMessage['session'] {
		if (session.values.size === 0) {
			return undefined;
		}

		const id = this.#sessionIds.get(session) ?? this.#nextSessionId++;
		this.#sessionIds.set(session, id);
		return {id, version: session.valuesVersion, values: Object.fromEntries(session.values)};
	}
}

function createLinkKey(vm: string, address: string): string {
	return `${vm} ${address}`;
}

/** Returns whether the gateway has ended the transaction of a commit with a result. */
export function isCommitAnswered(result: ForwardResult): boolean {
	return result.kind !== 'lost' && !(result.kind === 'not-run' && result.state === 'in-transaction');
}

function convertStatement({statement}: OutgoingStatement): ForwardedStatement {
	if (statement.kind === 'read' || statement.kind === 'write' || statement.kind === 'commit') {
		return {kind: statement.kind, text: statement.text};
	}

	if (statement.kind === 'execute') {
		return {
			kind: 'execute', text: statement.text, name: statement.name, parameters: statement.parameters,
		};
	}

	if (statement.kind === 'control-begin') {
		return {kind: 'control-begin', access: statement.access};
	}

	throw new Error(`a statement of kind "${statement.kind}" is not forwarded`);
}
