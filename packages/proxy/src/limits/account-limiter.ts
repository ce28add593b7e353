import {type Either, Left, Right} from 'purify-ts';
import {
	type AdmissionDecision, type AllocatorState, defaultAllocatorOptions, type DemandReport, ShareAllocator, type ShareGrant,
} from '@chicorysaddle/decisions';
import {type AccountLimits, type Refusal, refusals} from '@chicorysaddle/model';
import {type Clock, type Logger, type Metrics} from '../observability/index.js';
import {type ConfigurationReplica} from '../configuration/index.js';
import {type Membership} from '../membership/index.js';
import {AllocatorClient} from './allocator-client.js';
import {type LeaseParticipant} from './lease-participant.js';
import {type LeaseRegistry} from './lease-registry.js';
import {rankVms} from './rank-vms.js';
import {formatAllocatorState} from './allocator-state-codec.js';
import {formatReport, parseGrant} from './share-codec.js';

/** Names of the ways to divide limits between VMs. */
export type LimitPolicyName = 'product' | 'static-split' | 'owner';

const reportTimeoutMs = 400;
const handOverTimeoutMs = 1000;
const sweepIntervalMs = 10;
/** Validity of a share that never changes hands, in milliseconds. */
const staticShareValidityMs = 1e12;

/** How a successor answered; one that did not answer may have taken the books. */
type HandOverOutcome = 'taken' | 'declined' | 'no-answer';

type PendingRequest = {readonly account: string; readonly resolve: (result: Either<Refusal, void>) => void};

/** Parts that the limiter works with. */
export type AccountLimiterDependencies = {
	readonly membership: Membership;
	readonly configuration: ConfigurationReplica;
	readonly leases: LeaseRegistry;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly policy: LimitPolicyName;
};

/** Keeps every client account to its rate and burst over all VMs together. */
export class AccountLimiter {
	readonly #allocatorClients = new Map<string, AllocatorClient>();
	readonly #pendingRequests = new Map<number, PendingRequest>();
	/** Allocators of the leases that this VM holds; one without a name under the policy of owners. */
	readonly #allocators = new Map<string, ShareAllocator>();
	/** Books of predecessors, until their lease is had. */
	readonly #incomingStates = new Map<string, AllocatorState>();
	#nextId = 1;
	#sweepTimer: NodeJS.Timeout | undefined;

	constructor(private readonly dependencies: AccountLimiterDependencies) {
		for (const keeper of dependencies.leases.participants) {
			keeper.setAcquiredListener(now => {
				const allocator = this.#createAllocator(now);
				const state = this.#incomingStates.get(keeper.lease);
				if (state !== undefined) {
					allocator.importState(state, now);
				}

				this.#allocators.set(keeper.lease, allocator);
			});
		}

		if (dependencies.policy === 'owner') {
			this.#allocators.set('', this.#createAllocator(dependencies.clock.getNow()));
		}
	}

	/** Waits until a request may run, or refuses it. */
	async admitRequest(account: string, deadline: number): Promise<Either<Refusal, void>> {
		const {clock} = this.dependencies;
		if (this.#getLimits(account) === undefined) {
			return Right(undefined);
		}

		const id = this.#nextId;
		this.#nextId += 1;
		const channel = this.#getAllocatorClient(this.#allocatorNames[this.dependencies.policy](account));
		const decision = channel.admission.requestAdmission(id, account, deadline, clock.getNow());
		if (decision !== undefined) {
			return this.#createResult(decision, account);
		}

		void channel.sendReportIfDue().then(() => {
			this.#resolveDecidedRequests();
		});
		return new Promise(resolve => {
			this.#pendingRequests.set(id, {account, resolve});
			this.#scheduleSweep();
		});
	}

	/** Reports the demand of every account, as is done at regular times. */
	async reportDemand(): Promise<void> {
		if (this.dependencies.policy === 'static-split') {
			this.#applyStaticSplit();
			return;
		}

		await Promise.all([...this.#allocatorClients.values()].map(async channel => channel.sendReportIfDue()));
		this.#resolveDecidedRequests();
	}

	/** Answers the report of a VM, where this one is the allocator. */
	handleReport(report: DemandReport, lease: string): ShareGrant | undefined {
		const now = this.dependencies.clock.getNow();
		if (this.dependencies.policy === 'owner') {
			return this.#allocators.get('')?.createGrant(report, Number.POSITIVE_INFINITY, now);
		}

		const keeper = this.dependencies.leases.getParticipant(lease);
		return keeper?.isHeld(now) ? this.#allocators.get(lease)?.createGrant(report, keeper.heldUntil, now) : undefined;
	}

	/** Takes over the books of an allocator whose VM shuts down, where its lease can be had. */
	async takeOver(lease: string, predecessor: string, term: number, state: AllocatorState): Promise<boolean> {
		if (this.dependencies.membership.isDraining) {
			return false;
		}

		const keeper = this.dependencies.leases.getParticipant(lease);
		this.#incomingStates.set(lease, state);
		const isTaken = await keeper?.takeOver(predecessor, term) ?? false;
		this.#incomingStates.delete(lease);
		return isTaken;
	}

	/** Hands leases over to the VMs that rank first for them, so that the loss of a VM touches few accounts. */
	async rebalanceLeases(): Promise<void> {
		const {leases, clock, membership} = this.dependencies;
		for (const keeper of leases.participants) {
			const successor = this.#findSuccessor(keeper.lease);
			const allocator = this.#allocators.get(keeper.lease);
			const isMisplaced = successor !== undefined && successor !== membership.self.name && membership.isStable(successor);
			if (!isMisplaced || allocator === undefined || !keeper.isHeld(clock.getNow())) {
				continue;
			}

			const outcome = await this.#handOver(keeper, successor, allocator);
			if (outcome === 'declined') {
				this.#allocators.set(keeper.lease, allocator);
			} else {
				keeper.releaseLocally();
			}
		}
	}

	/** Gives all shares back to the allocator. */
	async returnShares(): Promise<void> {
		await Promise.all([...this.#allocatorClients.values()].map(async channel => channel.sendFinalReport()));
	}

	/** Gives all shares back, and the leases that this VM holds. */
	async returnSharesAndLeases(): Promise<void> {
		await this.returnShares();
		await Promise.all(this.dependencies.leases.participants.map(async keeper => this.#handOverOrRelease(keeper)));
	}

	/** Returns the tokens that this VM holds for an account. */
	getTokens(account: string): number {
		return this.#getAllocatorClient(this.#allocatorNames[this.dependencies.policy](account)).admission.holder.getTokens(account, this.dependencies.clock.getNow());
	}

	getLocalRate(account: string): number {
		return this.#getAllocatorClient(this.#allocatorNames[this.dependencies.policy](account)).admission.holder.getRate(account, this.dependencies.clock.getNow());
	}

	readonly #allocatorNames: Readonly<Record<LimitPolicyName, (account: string) => string>> = {
		product: account => this.dependencies.leases.getLeaseForAccount(account),
		'static-split': () => '',
		owner: account => this.#findOwner(account),
	};

	#getLimits(account: string): AccountLimits | undefined {
		return this.dependencies.configuration.current.getAccount(account);
	}

	#createAllocator(now: number): ShareAllocator {
		const options = this.dependencies.policy === 'owner'
			? {
				...defaultAllocatorOptions, localRateShare: 0, coveredDemand: 0, holdMs: 0,
			}
			: defaultAllocatorOptions;
		return new ShareAllocator(now, account => this.#getLimits(account), options);
	}

	#getAllocatorClient(name: string): AllocatorClient {
		const {membership, clock} = this.dependencies;
		const known = this.#allocatorClients.get(name);
		if (known !== undefined) {
			return known;
		}

		const channel = new AllocatorClient(membership.self.name, membership.self.incarnation, account => this.#getLimits(account), async report => this.#sendReport(report, name), clock);
		this.#allocatorClients.set(name, channel);
		return channel;
	}

	/** Sends a report to the allocator of a channel, which is named for a lease or for the owner itself. */
	async #sendReport(report: DemandReport, channel: string): Promise<ShareGrant | undefined> {
		const {membership, leases, clock, metrics} = this.dependencies;
		const keeper = leases.getParticipant(channel);
		const target = keeper === undefined ? channel : keeper.findHolderVm(clock.getNow());
		if (target === membership.self.name) {
			return this.handleReport(report, channel);
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
		return rankVms(account, this.dependencies.membership.getLiveVms())[0] ?? this.dependencies.membership.self.name;
	}

	/** Returns the VM that ranks first for a lease. */
	#findSuccessor(lease: string): string | undefined {
		const {membership, configuration} = this.dependencies;
		const voters = configuration.current.getVoterNames();
		return rankVms(lease, membership.getLiveVms().filter(name => voters.includes(name)))[0];
	}

	/** Hands a lease over; where nobody takes it, it is released once every grant has expired. */
	async #handOverOrRelease(keeper: LeaseParticipant): Promise<void> {
		const successor = this.#findSuccessor(keeper.lease);
		const allocator = this.#allocators.get(keeper.lease);
		if (!keeper.isHeld(this.dependencies.clock.getNow()) || allocator === undefined) {
			return;
		}

		const outcome = successor === undefined ? 'declined' : await this.#handOver(keeper, successor, allocator);
		keeper.releaseLocally();
		if (outcome !== 'taken') {
			await new Promise(resolve => {
				setTimeout(resolve, defaultAllocatorOptions.validMs);
			});
			await keeper.releasePromises();
		}
	}

	/** Stops granting and offers the books and the lease to a successor. */
	async #handOver(keeper: LeaseParticipant, successor: string, allocator: ShareAllocator): Promise<HandOverOutcome> {
		this.#allocators.delete(keeper.lease);
		const {clock, logger} = this.dependencies;
		const state = allocator.exportState(clock.getNow());
		try {
			const response = await this.dependencies.membership.getPeer(successor)!.client.handOver({
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
		const {membership, configuration, clock} = this.dependencies;
		const fraction = 1 / membership.getVms().length;
		const accounts = configuration.current.getAccountNames().map(account => ({
			account, rateFraction: fraction, burstFraction: fraction, tokens: 0, nextTokenMs: 0,
		}));
		const now = clock.getNow();
		this.#getAllocatorClient('').admission.applyGrant({sequence: 1, validMs: staticShareValidityMs, accounts}, now, true, now);
		this.#resolveDecidedRequests();
	}

	#createResult(decision: AdmissionDecision, account: string): Either<Refusal, void> {
		return decision.kind === 'admitted' ? Right(undefined) : Left(refusals.overLimit(account, decision.retryAfterMs));
	}

	#resolveDecidedRequests(): void {
		for (const channel of this.#allocatorClients.values()) {
			for (const decision of channel.admission.processWaiters(this.dependencies.clock.getNow())) {
				const pending = this.#pendingRequests.get(decision.id);
				this.#pendingRequests.delete(decision.id);
				pending?.resolve(this.#createResult(decision, pending.account));
			}
		}
	}

	#scheduleSweep(): void {
		this.#sweepTimer ??= setTimeout(() => {
			this.#sweepTimer = undefined;
			this.#resolveDecidedRequests();
			if (this.#pendingRequests.size > 0) {
				for (const channel of this.#allocatorClients.values()) {
					void channel.sendReportIfDue().then(() => {
						this.#resolveDecidedRequests();
					});
				}

				this.#scheduleSweep();
			}
		}, sweepIntervalMs);
	}
}
