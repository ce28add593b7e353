import {type ForwardFailure, type ForwardingDecision, ForwardingPolicy} from '@chicorysaddle/decisions';
import {clampTimerMs} from '@chicorysaddle/model';
import {type ForwardAnswer, type ForwardMessage, type parsePeerMessage} from '@chicorysaddle/protocol/coordination';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type Clock, type PeerLink, type PeerNetwork} from '../ports/index.js';
import {type ForwardResult} from '../statements/index.js';
import {type BackgroundTasks} from '../tasks/index.js';
import {type GatewayMember} from './gateway-directory.js';
import {decodeOutcome} from './outcome-codec.js';

/** Time after which a link that the gateway has not accepted is given up, in milliseconds. */
const connectTimeoutMs = 1000;

/** Time for which operations on an instance are not sent to a gateway that did not accept one, in milliseconds. */
const refusalBackoffMs = 1000;

/** Minimum interval between two log lines about failures of a gateway, in milliseconds. */
const logIntervalMs = 1000;

/** Dependencies of a `GatewayLink`. */
export type GatewayLinkDependencies = {
	readonly vm: string;
	readonly network: PeerNetwork;
	readonly clock: Clock;
	readonly metrics: GatewayMetrics;
	readonly log: EventLog;
	readonly tasks: BackgroundTasks;
};

type PendingForward = {
	readonly instanceId: string;
	readonly sentAt: number;
	readonly settle: (result: ForwardResult) => void;
	readonly timer: NodeJS.Timeout;
};

/** A connection to one gateway, with the statements that it has not answered. */
type Channel = {
	readonly link: PeerLink;
	readonly pending: Map<number, PendingForward>;
	/** Transactions that are open at the gateway. */
	readonly transactions: Set<number>;
	isAccepted: boolean;
	/** Whether new statements are sent on another link. */
	isRetired: boolean;
};

/** The link of this VM to one gateway: sends statements and passes on their outcomes. */
export class GatewayLink {
	readonly #policy = new ForwardingPolicy();
	#channel: Channel | undefined;
	#nextId = 1;
	/** Monotonic times until which no operation on an instance is sent to the gateway, in milliseconds. */
	readonly #refusedUntil = new Map<string, number>();
	/** Monotonic time at which a failure was last logged, in milliseconds. */
	#loggedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly gateway: GatewayMember, private readonly dependencies: GatewayLinkDependencies, private readonly onCapacityFreed: () => void) {}

	/** Whether operations are in flight, or transactions open at the gateway. */
	get isInUse(): boolean {
		return this.#policy.inFlightCount > 0 || (this.#channel?.transactions.size ?? 0) > 0;
	}

	/** Decides whether an operation on an instance is forwarded now, and opens the link if it is needed. */
	choose(instanceId: string): ForwardingDecision {
		const now = this.dependencies.clock.now();
		if (now < (this.#refusedUntil.get(instanceId) ?? Number.NEGATIVE_INFINITY)) {
			return 'open';
		}

		const isSilent = this.#policy.isSilent(now);
		if (isSilent) {
			this.#abandonChannel();
		}

		const decision = this.#policy.choose(now);
		if (!isSilent && this.#policy.isLinkNeeded(now)) {
			this.#connect(now);
		}

		return decision;
	}

	/** Estimates the time that forwarding adds to an operation, in milliseconds. */
	estimateCostMs(): number {
		return this.#policy.estimateForwardingCostMs(this.dependencies.clock.now());
	}

	/** Returns whether a channel can be used, and statements sent on it. */
	isChannelOpen(channel: Channel): boolean {
		return channel.link.isOpen;
	}

	/** Returns whether the gateway owes an answer and has sent nothing for too long. */
	isSilent(channel: Channel): boolean {
		return channel.isRetired || (channel === this.#channel && this.#policy.isSilent(this.dependencies.clock.now()));
	}

	/** Returns the channel for a new operation, which counts as in flight until its first statement is answered. */
	reserveChannel(): {readonly channel: Channel; readonly id: number} {
		const id = this.#nextId++;
		this.#policy.recordSent(id, this.dependencies.clock.now());
		return {channel: this.#channel!, id};
	}

	/** Returns an operation that was reserved but is not sent. */
	returnReservation(id: number): void {
		this.#policy.recordEnded(id);
		this.onCapacityFreed();
	}

	/** Returns the id of another statement on a channel. */
	nextStatementId(): number {
		return this.#nextId++;
	}

	/** Sends a statement and waits for its outcome; a statement that cannot be sent was not run. */
	async send(channel: Channel, message: ForwardMessage): Promise<ForwardResult> {
		const sentAt = this.dependencies.clock.now();
		if (!channel.link.isOpen) {
			this.#policy.recordEnded(message.id);
			return {kind: 'not-run', reason: 'not-forwarded', state: 'idle'};
		}

		return new Promise(resolve => {
			const timer = setTimeout(this.dependencies.tasks.createCallback('forwarded statement', () => {
				this.#abandon(channel, message.id);
			}), clampTimerMs(Math.max(1, message.runMs)));
			channel.pending.set(message.id, {
				instanceId: message.instance, sentAt, timer, settle: resolve,
			});
			if (!channel.isRetired) {
				this.#policy.recordSent(message.id, sentAt);
			}

			channel.link.send(message);
		});
	}

	/** Counts a transaction as open at the gateway. */
	beginTransaction(channel: Channel, transaction: number): void {
		channel.transactions.add(transaction);
	}

	/** Counts a transaction as ended by the gateway. */
	removeTransaction(channel: Channel, transaction: number): void {
		channel.transactions.delete(transaction);
		this.#closeIfUnused(channel);
	}

	/** Tells the gateway that a transaction has ended. */
	endTransaction(channel: Channel, transaction: number): void {
		channel.link.send({kind: 'forward-end', transaction});
		this.removeTransaction(channel, transaction);
	}

	/** Records the time that it took to open a connection to an instance, in milliseconds. */
	recordOpening(ms: number): void {
		this.#policy.recordOpeningCost(ms, this.dependencies.clock.now());
	}

	/** Closes the link; its unanswered statements are lost. */
	close(): void {
		this.#channel?.link.close();
	}

	#connect(now: number): void {
		this.#policy.recordConnecting(now);
		const link = this.dependencies.network.connect(this.gateway.address, {
			onMessage: message => {
				this.#handleMessage(channel, message);
			},
			onClosed: () => {
				this.#handleClosed(channel);
			},
		});
		const channel: Channel = {
			link, pending: new Map(), transactions: new Set(), isAccepted: false, isRetired: false,
		};
		this.#channel = channel;
		link.send({kind: 'forward-open', vm: this.dependencies.vm});
		setTimeout(() => {
			if (!channel.isAccepted) {
				link.close();
			}
		}, connectTimeoutMs).unref();
	}

	/** Sends further statements on another link; the answers to those in flight may still arrive. */
	#abandonChannel(): void {
		const channel = this.#channel;
		if (channel !== undefined) {
			channel.isRetired = true;
			this.#channel = undefined;
			this.#policy.recordClosed(this.dependencies.clock.now());
			this.#recordFailure('silent');
			this.#closeIfUnused(channel);
		}
	}

	#handleMessage(channel: Channel, message: ReturnType<typeof parsePeerMessage>): void {
		const now = this.dependencies.clock.now();
		if (channel === this.#channel) {
			this.#policy.recordMessage(now);
		}

		if (message.kind === 'forward-opened') {
			this.#handleOpened(channel, now);
		} else if (message.kind === 'forward-answer') {
			this.#handleAnswer(channel, message, now);
		} else if (message.kind !== 'forward-progress') {
			this.dependencies.log.logEvent('peer.unexpected', {message: message.kind});
			channel.link.close();
		}
	}

	#handleOpened(channel: Channel, now: number): void {
		channel.isAccepted = true;
		if (channel === this.#channel) {
			this.#policy.recordConnected(now);
			this.onCapacityFreed();
		}
	}

	#handleAnswer(channel: Channel, {id, outcome, gatewayMs}: ForwardAnswer, now: number): void {
		const pending = channel.pending.get(id);
		if (pending === undefined) {
			return;
		}

		this.#endPending(channel, id, pending);
		if (outcome.kind === 'rejected') {
			this.#recordRejection(outcome.reason, pending.instanceId, now);
		} else if (channel === this.#channel) {
			this.#policy.recordForwardingCost(Math.max(0, now - pending.sentAt - gatewayMs), now);
		}

		pending.settle(decodeOutcome(outcome));
		this.onCapacityFreed();
	}

	/** Stops waiting for the answer to a statement, which may have run. */
	#abandon(channel: Channel, id: number): void {
		const pending = channel.pending.get(id);
		if (pending !== undefined) {
			channel.link.send({kind: 'forward-cancel', id});
			this.dependencies.metrics.addCount('forward_failed_timeout');
			if (this.isSilent(channel) && channel === this.#channel) {
				this.#abandonChannel();
			}

			this.#endPending(channel, id, pending);
			pending.settle({kind: 'lost', reason: 'timeout'});
		}
	}

	#handleClosed(channel: Channel): void {
		if (channel === this.#channel) {
			this.#channel = undefined;
			this.#policy.recordClosed(this.dependencies.clock.now());
			this.#recordFailure('closed');
		}

		for (const [id, pending] of channel.pending) {
			this.#endPending(channel, id, pending);
			pending.settle({kind: 'lost', reason: 'closed'});
		}

		this.onCapacityFreed();
	}

	#endPending(channel: Channel, id: number, {timer}: PendingForward): void {
		clearTimeout(timer);
		channel.pending.delete(id);
		this.#policy.recordEnded(id);
		this.#closeIfUnused(channel);
	}

	#closeIfUnused(channel: Channel): void {
		if (channel.isRetired && channel.pending.size === 0 && channel.transactions.size === 0) {
			channel.link.close();
		}
	}

	/** Records that the gateway did not accept an operation: any one if it is draining, otherwise only those on the instance. */
	#recordRejection(reason: 'draining' | 'not-gateway' | 'unusable', instanceId: string, now: number): void {
		if (reason === 'draining') {
			this.#recordFailure('draining');
		} else {
			this.#recordRefusal(instanceId, now);
			this.dependencies.metrics.addCount('forward_failed_refused');
		}
	}

	/** Records until when operations on an instance are not sent, and forgets the times that have passed. */
	#recordRefusal(instanceId: string, now: number): void {
		for (const [id, until] of this.#refusedUntil) {
			if (now >= until) {
				this.#refusedUntil.delete(id);
			}
		}

		this.#refusedUntil.set(instanceId, now + refusalBackoffMs);
	}

	#recordFailure(reason: ForwardFailure): void {
		const now = this.dependencies.clock.now();
		this.#policy.recordFailure(reason, now);
		this.dependencies.metrics.addCount(`forward_failed_${reason}`);
		if (now - this.#loggedAt >= logIntervalMs) {
			this.#loggedAt = now;
			this.dependencies.log.logEvent('gateway.avoided', {gateway: this.gateway.vm, reason});
		}
	}
}

export type {Channel as GatewayChannel};
