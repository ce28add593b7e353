import {type Either, Left, Right} from 'purify-ts';
import {
	type AdmissionDecision, type AllocatorState, defaultAllocatorOptions, type DemandReport, ShareAllocator, type ShareGrant,
} from '@chicorysaddle/decisions';
import {type AccountLimits, type Refusal, refusals} from '@chicorysaddle/model';
import {type Clock, type Logger, type Metrics} from '../observability/index.js';
import {type ConfigurationKeeper} from '../configuration/index.js';
import {type Membership} from '../membership/index.js';
import {AllocationChannel} from './allocation-channel.js';
import {type LeaseKeeper} from './lease-keeper.js';
import {type LeaseRegistry} from './lease-registry.js';
import {rankVms} from './rank-vms.js';
import {formatAllocatorState} from './state-codec.js';
import {formatReport, parseGrant} from './share-codec.js';

/** Names of the ways to divide limits between VMs. */
export type LimitPolicyName = 'product' | 'static-split' | 'owner';

const reportTimeoutMs = 400;
const handOverTimeoutMs = 1000;
const waiterSweepMs = 10;
/** Validity of a share that never changes hands, in milliseconds. */
const foreverMs = 1e12;

/** How a successor answered; one that did not answer may have taken the books. */
type HandOverOutcome = 'taken' | 'declined' | 'no-answer';

type Pending = {readonly account: string; readonly resolve: (result: Either<Refusal, void>) => void};

/** Parts that the limiter works with. */
export type LimiterParts = {
	readonly membership: Membership;
	readonly configuration: ConfigurationKeeper;
	readonly leases: LeaseRegistry;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly policy: LimitPolicyName;
};

/** Keeps every client account to its rate and burst over all VMs together. */
export class Limiter {
	readonly #channels = new Map<string, AllocationChannel>();
	readonly #pending = new Map<number, Pending>();
	/** Allocators of the leases that this VM holds; one without a name under the policy of owners. */
	readonly #allocators = new Map<string, ShareAllocator>();
	/** Books of predecessors, until their lease is had. */
	readonly #statesToTake = new Map<string, AllocatorState>();
	#nextId = 1;
	#timer: NodeJS.Timeout | undefined;

	constructor(private readonly parts: LimiterParts) {
		for (const keeper of parts.leases.keepers) {
			keeper.setAcquiredListener(now => {
				const allocator = this.#createAllocator(now);
				const state = this.#statesToTake.get(keeper.lease);
				if (state !== undefined) {
					allocator.importState(state, now);
				}

				this.#allocators.set(keeper.lease, allocator);
			});
		}

		if (parts.policy === 'owner') {
			this.#allocators.set('', this.#createAllocator(parts.clock.getNow()));
		}
	}

	/** Waits until a request may run, or refuses it. */
	async admitRequest(account: string, deadline: number): Promise<Either<Refusal, void>> {
		const {clock} = this.parts;
		if (this.#getLimits(account) === undefined) {
			return Right(undefined);
		}

		const id = this.#nextId;
		this.#nextId += 1;
		const channel = this.#getChannel(this.#channelNames[this.parts.policy](account));
		const decision = channel.admission.requestAdmission(id, account, deadline, clock.getNow());
		if (decision !== undefined) {
			return this.#describeDecision(decision, account);
		}

		void channel.reportIfDue().then(() => {
			this.#advance();
		});
		return new Promise(resolve => {
			this.#pending.set(id, {account, resolve});
			this.#schedule();
		});
	}

	/** Reports the demand of every account, as is done at regular times. */
	async reportDemand(): Promise<void> {
		if (this.parts.policy === 'static-split') {
			this.#applyStaticSplit();
			return;
		}

		await Promise.all([...this.#channels.values()].map(async channel => channel.reportIfDue()));
		this.#advance();
	}

	/** Answers the report of a VM, where this one is the allocator. */
	answerReport(report: DemandReport, lease: string): ShareGrant | undefined {
		const now = this.parts.clock.getNow();
		if (this.parts.policy === 'owner') {
			return this.#allocators.get('')?.createGrant(report, Number.POSITIVE_INFINITY, now);
		}

		const keeper = this.parts.leases.getKeeper(lease);
		return keeper?.isHeld(now) ? this.#allocators.get(lease)?.createGrant(report, keeper.heldUntil, now) : undefined;
	}

	/** Takes over the books of an allocator whose VM shuts down, where its lease can be had. */
	async takeOver(lease: string, predecessor: string, term: number, state: AllocatorState): Promise<boolean> {
		if (this.parts.membership.isDraining) {
			return false;
		}

		const keeper = this.parts.leases.getKeeper(lease);
		this.#statesToTake.set(lease, state);
		const isTaken = await keeper?.takeOver(predecessor, term) ?? false;
		this.#statesToTake.delete(lease);
		return isTaken;
	}

	/** Hands leases over to the VMs that rank first for them, so that the loss of a VM touches few accounts. */
	async balanceLeases(): Promise<void> {
		const {leases, clock, membership} = this.parts;
		for (const keeper of leases.keepers) {
			const successor = this.#findSuccessor(keeper.lease);
			const allocator = this.#allocators.get(keeper.lease);
			const isMisplaced = successor !== undefined && successor !== membership.self.name && membership.isSettled(successor);
			if (!isMisplaced || allocator === undefined || !keeper.isHeld(clock.getNow())) {
				continue;
			}

			const outcome = await this.#handOver(keeper, successor, allocator);
			if (outcome === 'declined') {
				this.#allocators.set(keeper.lease, allocator);
			} else {
				keeper.abandon();
			}
		}
	}

	/** Gives all shares back to the allocator. */
	async sendFarewell(): Promise<void> {
		await Promise.all([...this.#channels.values()].map(async channel => channel.sendFarewell()));
	}

	/** Gives all shares back, and the leases that this VM holds. */
	async leave(): Promise<void> {
		await this.sendFarewell();
		await Promise.all(this.parts.leases.keepers.map(async keeper => this.#leaveLease(keeper)));
	}

	/** Returns the tokens that this VM holds for an account. */
	getTokens(account: string): number {
		return this.#getChannel(this.#channelNames[this.parts.policy](account)).admission.holder.getTokens(account, this.parts.clock.getNow());
	}

	getLocalRate(account: string): number {
		return this.#getChannel(this.#channelNames[this.parts.policy](account)).admission.holder.getRate(account, this.parts.clock.getNow());
	}

	readonly #channelNames: Readonly<Record<LimitPolicyName, (account: string) => string>> = {
		product: account => this.parts.leases.getLeaseOf(account),
		'static-split': () => '',
		owner: account => this.#findOwner(account),
	};

	#getLimits(account: string): AccountLimits | undefined {
		return this.parts.configuration.current.getAccount(account);
	}

	#createAllocator(now: number): ShareAllocator {
		const options = this.parts.policy === 'owner'
			? {
				...defaultAllocatorOptions, localRateShare: 0, coveredDemand: 0, holdMs: 0,
			}
			: defaultAllocatorOptions;
		return new ShareAllocator(now, account => this.#getLimits(account), options);
	}

	#getChannel(name: string): AllocationChannel {
		const {membership, clock} = this.parts;
		const known = this.#channels.get(name);
		if (known !== undefined) {
			return known;
		}

		const channel = new AllocationChannel(membership.self.name, membership.self.incarnation, account => this.#getLimits(account), async report => this.#sendReport(report, name), clock);
		this.#channels.set(name, channel);
		return channel;
	}

	/** Sends a report to the allocator of a channel, which is named for a lease or for the owner itself. */
	async #sendReport(report: DemandReport, channel: string): Promise<ShareGrant | undefined> {
		const {membership, leases, clock, metrics} = this.parts;
		const keeper = leases.getKeeper(channel);
		const target = keeper === undefined ? channel : keeper.findHolderVm(clock.getNow());
		if (target === membership.self.name) {
			return this.answerReport(report, channel);
		}

		const peer = target === undefined ? undefined : membership.getPeer(target);
		if (peer === undefined) {
			return undefined;
		}

		metrics.addCount('limit_reports');
		try {
			return parseGrant(await peer.client.reportDemand({...formatReport(report), lease: channel}, {timeoutMs: reportTimeoutMs}));
		} catch {
			return undefined;
		}
	}

	#findOwner(account: string): string {
		return rankVms(account, this.parts.membership.getLiveVms())[0] ?? this.parts.membership.self.name;
	}

	/** Returns the VM that ranks first for a lease. */
	#findSuccessor(lease: string): string | undefined {
		const {membership, configuration} = this.parts;
		const voters = configuration.current.getVoterNames();
		return rankVms(lease, membership.getLiveVms().filter(name => voters.includes(name)))[0];
	}

	/** Hands a lease over; where nobody takes it, it is released once every grant has expired. */
	async #leaveLease(keeper: LeaseKeeper): Promise<void> {
		const successor = this.#findSuccessor(keeper.lease);
		const allocator = this.#allocators.get(keeper.lease);
		if (!keeper.isHeld(this.parts.clock.getNow()) || allocator === undefined) {
			return;
		}

		const outcome = successor === undefined ? 'declined' : await this.#handOver(keeper, successor, allocator);
		keeper.abandon();
		if (outcome !== 'taken') {
			await new Promise(resolve => {
				setTimeout(resolve, defaultAllocatorOptions.validMs);
			});
			await keeper.releaseEverywhere();
		}
	}

	/** Stops granting and offers the books and the lease to a successor. */
	async #handOver(keeper: LeaseKeeper, successor: string, allocator: ShareAllocator): Promise<HandOverOutcome> {
		this.#allocators.delete(keeper.lease);
		const {clock, logger} = this.parts;
		const state = allocator.exportState(clock.getNow());
		try {
			const response = await this.parts.membership.getPeer(successor)!.client.handOver({
				...formatAllocatorState(state), lease: keeper.lease, holder: keeper.id, term: BigInt(keeper.term),
			}, {timeoutMs: handOverTimeoutMs});
			const outcome = response.taken ? 'taken' : 'declined';
			logger.info('lease handed over', {lease: keeper.lease, successor, outcome});
			return outcome;
		} catch (error) {
			logger.warn('hand-over of a lease not answered', {lease: keeper.lease, successor, error: String(error)});
			return 'no-answer';
		}
	}

	#applyStaticSplit(): void {
		const {membership, configuration, clock} = this.parts;
		const fraction = 1 / membership.getVms().length;
		const accounts = configuration.current.getAccountNames().map(account => ({
			account, rateFraction: fraction, burstFraction: fraction, tokens: 0, nextTokenMs: 0,
		}));
		const now = clock.getNow();
		this.#getChannel('').admission.applyGrant({sequence: 1, validMs: foreverMs, accounts}, now, true, now);
		this.#advance();
	}

	#describeDecision(decision: AdmissionDecision, account: string): Either<Refusal, void> {
		return decision.kind === 'admitted' ? Right(undefined) : Left(refusals.overLimit(account, decision.retryAfterMs));
	}

	#advance(): void {
		for (const channel of this.#channels.values()) {
			for (const decision of channel.admission.processWaiters(this.parts.clock.getNow())) {
				const pending = this.#pending.get(decision.id);
				this.#pending.delete(decision.id);
				pending?.resolve(this.#describeDecision(decision, pending.account));
			}
		}
	}

	#schedule(): void {
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			this.#advance();
			if (this.#pending.size > 0) {
				for (const channel of this.#channels.values()) {
					void channel.reportIfDue().then(() => {
						this.#advance();
					});
				}

				this.#schedule();
			}
		}, waiterSweepMs);
	}
}
