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

/**
 * Policy that divides the limits of an account between VMs: `product` by demand, through the allocator that holds the lease of the account;
 * `static-split` in equal parts; `owner` through one VM per account, which grants tokens for waiting requests only.
 */
export type LimitPolicyName = 'product' | 'static-split' | 'owner';

/** Timeout of a demand report to an allocator, in milliseconds. */
const reportTimeoutMs = 400;
/** Timeout of the hand-over of a lease, in milliseconds. */
const handOverTimeoutMs = 1000;
/** Interval at which waiting requests are checked for a decision, in milliseconds. */
const sweepIntervalMs = 10;
/** Validity of a share under the `static-split` policy, in milliseconds; long enough that it never expires. */
const staticShareValidityMs = 1e12;

/** Response of a successor to the hand-over of a lease; after `no-answer` it may hold the lease nonetheless. */
type HandOverOutcome = 'taken' | 'declined' | 'no-answer';

type PendingRequest = {readonly account: string; readonly resolve: (result: Either<Refusal, void>) => void};

/** Dependencies of an `AccountLimiter`. */
export type AccountLimiterDependencies = {
	readonly membership: Membership;
	readonly configuration: ConfigurationReplica;
	readonly leases: LeaseRegistry;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly policy: LimitPolicyName;
};

/** Enforces the rate and burst limit of each client account across all VMs. */
export class AccountLimiter {
	readonly #allocatorClients = new Map<string, AllocatorClient>();
	readonly #pendingRequests = new Map<number, PendingRequest>();
	/** Allocators by the lease that this VM holds; under the `owner` policy, one allocator with an empty name. */
	readonly #allocators = new Map<string, ShareAllocator>();
	/** Allocator states of predecessors by lease, until the lease is acquired. */
	readonly #incomingStates = new Map<string, AllocatorState>();
	#nextId = 1;
	#sweepTimer: NodeJS.Timeout | undefined;

	constructor(private readonly dependencies: AccountLimiterDependencies) {
		for (const participant of dependencies.leases.participants) {
			participant.setAcquiredListener(now => {
				const allocator = this.#createAllocator(now);
				const state = this.#incomingStates.get(participant.lease);
				if (state !== undefined) {
					allocator.importState(state, now);
				}

				this.#allocators.set(participant.lease, allocator);
			});
		}

		if (dependencies.policy === 'owner') {
			this.#allocators.set('', this.#createAllocator(dependencies.clock.getNow()));
		}
	}

	/**
	 * Waits until the limits of an account admit a request, or refuses the request; admits it at once if the account has no limits.
	 * @param account - Client account of the request.
	 * @param deadline - Time until which the request may wait, in monotonic milliseconds.
	 */
	async admitRequest(account: string, deadline: number): Promise<Either<Refusal, void>> {
		const {clock} = this.dependencies;
		if (this.#getLimits(account) === undefined) {
			return Right(undefined);
		}

		const id = this.#nextId;
		this.#nextId += 1;
		const client = this.#getAllocatorClient(this.#allocatorNameByPolicy[this.dependencies.policy](account));
		const decision = client.admission.requestAdmission(id, account, deadline, clock.getNow());
		if (decision !== undefined) {
			return this.#createResult(decision, account);
		}

		void client.sendReportIfDue().then(() => {
			this.#resolveDecidedRequests();
		});
		return new Promise(resolve => {
			this.#pendingRequests.set(id, {account, resolve});
			this.#scheduleSweep();
		});
	}

	/** Sends the demand reports that are due, to be called at regular intervals; under the `static-split` policy, updates the local shares instead. */
	async reportDemand(): Promise<void> {
		if (this.dependencies.policy === 'static-split') {
			this.#applyStaticSplit();
			return;
		}

		await Promise.all([...this.#allocatorClients.values()].map(async client => client.sendReportIfDue()));
		this.#resolveDecidedRequests();
	}

	/** Returns the grant for a demand report, undefined if this VM is not the allocator. */
	handleReport(report: DemandReport, lease: string): ShareGrant | undefined {
		const now = this.dependencies.clock.getNow();
		if (this.dependencies.policy === 'owner') {
			return this.#allocators.get('')?.createGrant(report, Number.POSITIVE_INFINITY, now);
		}

		const participant = this.dependencies.leases.getParticipant(lease);
		return participant?.isHeld(now) ? this.#allocators.get(lease)?.createGrant(report, participant.heldUntil, now) : undefined;
	}

	/** Takes over a lease with the state of its allocator from a predecessor; returns whether the lease was acquired. */
	async takeOver(lease: string, predecessor: string, term: number, state: AllocatorState): Promise<boolean> {
		if (this.dependencies.membership.isDraining) {
			return false;
		}

		const participant = this.dependencies.leases.getParticipant(lease);
		this.#incomingStates.set(lease, state);
		const isTaken = await participant?.takeOver(predecessor, term) ?? false;
		this.#incomingStates.delete(lease);
		return isTaken;
	}

	/** Hands leases over to the VMs that rank first for them, so that the loss of a VM affects few accounts. */
	async rebalanceLeases(): Promise<void> {
		const {leases, clock, membership} = this.dependencies;
		for (const participant of leases.participants) {
			const successor = this.#findSuccessor(participant.lease);
			const allocator = this.#allocators.get(participant.lease);
			const isMisplaced = successor !== undefined && successor !== membership.self.name && membership.isStable(successor);
			if (!isMisplaced || allocator === undefined || !participant.isHeld(clock.getNow())) {
				continue;
			}

			const outcome = await this.#handOver(participant, successor, allocator);
			if (outcome === 'declined') {
				this.#allocators.set(participant.lease, allocator);
			} else {
				participant.releaseLocally();
			}
		}
	}

	/** Returns all shares to their allocators. */
	async returnShares(): Promise<void> {
		await Promise.all([...this.#allocatorClients.values()].map(async client => client.sendFinalReport()));
	}

	/** Returns all shares, then hands over or releases the leases that this VM holds. */
	async returnSharesAndLeases(): Promise<void> {
		await this.returnShares();
		await Promise.all(this.dependencies.leases.participants.map(async participant => this.#handOverOrRelease(participant)));
	}

	/** Returns the tokens that this VM holds for an account. */
	getTokens(account: string): number {
		return this.#getAllocatorClient(this.#allocatorNameByPolicy[this.dependencies.policy](account)).admission.holder.getTokens(account, this.dependencies.clock.getNow());
	}

	/** Returns the part of an account's rate that is granted to this VM, in tokens per second. */
	getLocalRate(account: string): number {
		return this.#getAllocatorClient(this.#allocatorNameByPolicy[this.dependencies.policy](account)).admission.holder.getRate(account, this.dependencies.clock.getNow());
	}

	/** Functions that return the name of an account's allocator: its lease under `product`, empty under `static-split`, its VM under `owner`. */
	readonly #allocatorNameByPolicy: Readonly<Record<LimitPolicyName, (account: string) => string>> = {
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
				...defaultAllocatorOptions, maxLocalRateFraction: 0, coveredDemandFraction: 0, prefetchMs: 0,
			}
			: defaultAllocatorOptions;
		return new ShareAllocator(now, account => this.#getLimits(account), options);
	}

	#getAllocatorClient(name: string): AllocatorClient {
		const {membership, clock} = this.dependencies;
		const existing = this.#allocatorClients.get(name);
		if (existing !== undefined) {
			return existing;
		}

		const client = new AllocatorClient(membership.self.name, membership.self.incarnation, account => this.#getLimits(account), async report => this.#sendReport(report, name), clock);
		this.#allocatorClients.set(name, client);
		return client;
	}

	/** Sends a demand report to an allocator, named after its lease or, under the `owner` policy, after its VM. */
	async #sendReport(report: DemandReport, allocatorName: string): Promise<ShareGrant | undefined> {
		const {membership, leases, clock, metrics} = this.dependencies;
		const participant = leases.getParticipant(allocatorName);
		const allocatorVm = participant === undefined ? allocatorName : participant.findHolderVm(clock.getNow());
		if (allocatorVm === membership.self.name) {
			return this.handleReport(report, allocatorName);
		}

		const peer = allocatorVm === undefined ? undefined : membership.getPeer(allocatorVm);
		if (peer === undefined) {
			return undefined;
		}

		metrics.addCount('limit_reports');
		try {
			return parseGrant(await peer.client.reportDemand({...formatReport(report), lease: allocatorName}, {timeoutMs: reportTimeoutMs}));
		} catch {
			return undefined;
		}
	}

	#findOwner(account: string): string {
		return rankVms(account, this.dependencies.membership.getLiveVms())[0] ?? this.dependencies.membership.self.name;
	}

	/** Returns the live voter that ranks first for a lease. */
	#findSuccessor(lease: string): string | undefined {
		const {membership, configuration} = this.dependencies;
		const voters = configuration.current.getVoterNames();
		return rankVms(lease, membership.getLiveVms().filter(name => voters.includes(name)))[0];
	}

	/** Hands a lease over to the first live voter in its order; if that VM does not take it, releases it once every grant has expired. */
	async #handOverOrRelease(participant: LeaseParticipant): Promise<void> {
		const successor = this.#findSuccessor(participant.lease);
		const allocator = this.#allocators.get(participant.lease);
		if (!participant.isHeld(this.dependencies.clock.getNow()) || allocator === undefined) {
			return;
		}

		const outcome = successor === undefined ? 'declined' : await this.#handOver(participant, successor, allocator);
		participant.releaseLocally();
		if (outcome !== 'taken') {
			await new Promise(resolve => {
				setTimeout(resolve, defaultAllocatorOptions.validMs);
			});
			await participant.releasePromises();
		}
	}

	/** Stops granting, then offers the lease and the state of the allocator to a successor. */
	async #handOver(participant: LeaseParticipant, successor: string, allocator: ShareAllocator): Promise<HandOverOutcome> {
		this.#allocators.delete(participant.lease);
		const {clock, logger} = this.dependencies;
		const state = allocator.exportState(clock.getNow());
		try {
			const response = await this.dependencies.membership.getPeer(successor)!.client.handOver({
				...formatAllocatorState(state), lease: participant.lease, holder: participant.id, term: BigInt(participant.term),
			}, {timeoutMs: handOverTimeoutMs});
			const outcome = response.taken ? 'taken' : 'declined';
			logger.info('lease handed over', {lease: participant.lease, successor, outcome});
			return outcome;
		} catch (error) {
			logger.warn('hand-over of a lease not answered', {lease: participant.lease, successor, error: String(error)});
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
		for (const client of this.#allocatorClients.values()) {
			for (const decision of client.admission.processWaiters(this.dependencies.clock.getNow())) {
				const request = this.#pendingRequests.get(decision.id);
				this.#pendingRequests.delete(decision.id);
				request?.resolve(this.#createResult(decision, request.account));
			}
		}
	}

	#scheduleSweep(): void {
		this.#sweepTimer ??= setTimeout(() => {
			this.#sweepTimer = undefined;
			this.#resolveDecidedRequests();
			if (this.#pendingRequests.size > 0) {
				for (const client of this.#allocatorClients.values()) {
					void client.sendReportIfDue().then(() => {
						this.#resolveDecidedRequests();
					});
				}

				this.#scheduleSweep();
			}
		}, sweepIntervalMs);
	}
}
