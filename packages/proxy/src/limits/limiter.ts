import {createHash} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts';
import {
	type AdmissionDecision, defaultAllocatorOptions, type DemandReport, ShareAllocator, type ShareGrant,
} from '@chicorysaddle/decisions';
import {type AccountLimits, type Refusal, refusals} from '@chicorysaddle/model';
import {type Clock, type Metrics} from '../observability/index.js';
import {type ConfigurationKeeper} from '../configuration/index.js';
import {type Membership} from '../membership/index.js';
import {AllocationChannel} from './allocation-channel.js';
import {type LeaseKeeper} from './lease-keeper.js';
import {formatReport, parseGrant} from './share-codec.js';

/** Names of the ways to divide limits between VMs. */
export type LimitPolicyName = 'product' | 'static-split' | 'owner';

const reportTimeoutMs = 400;
const waiterSweepMs = 10;
/** Validity of a share that never changes hands, in milliseconds. */
const foreverMs = 1e12;

type Pending = {readonly account: string; readonly resolve: (result: Either<Refusal, void>) => void};

/** Parts that the limiter works with. */
export type LimiterParts = {
	readonly membership: Membership;
	readonly configuration: ConfigurationKeeper;
	readonly leases: LeaseKeeper;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly policy: LimitPolicyName;
};

/** Keeps every client account to its rate and burst over all VMs together. */
export class Limiter {
	readonly #channels = new Map<string, AllocationChannel>();
	readonly #pending = new Map<number, Pending>();
	#allocator: ShareAllocator | undefined;
	#nextId = 1;
	#timer: NodeJS.Timeout | undefined;

	constructor(private readonly parts: LimiterParts) {
		parts.leases.setAcquiredListener(now => {
			this.#allocator = this.#createAllocator(now);
		});
		if (parts.policy === 'owner') {
			this.#allocator = this.#createAllocator(parts.clock.getNow());
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

		this.#getChannel('');
		await Promise.all([...this.#channels.values()].map(async channel => channel.reportIfDue()));
		this.#advance();
	}

	/** Answers the report of a VM, where this one is the allocator. */
	answerReport(report: DemandReport): ShareGrant | undefined {
		const now = this.parts.clock.getNow();
		if (this.parts.policy === 'owner') {
			return this.#allocator?.createGrant(report, Number.POSITIVE_INFINITY, now);
		}

		const {leases} = this.parts;
		return leases.isHeld(now) ? this.#allocator?.createGrant(report, leases.heldUntil, now) : undefined;
	}

	/** Gives all shares back to the allocator. */
	async sendFarewell(): Promise<void> {
		await Promise.all([...this.#channels.values()].map(async channel => channel.sendFarewell()));
	}

	/** Gives all shares back, and the lease where this VM holds it. */
	async leave(): Promise<void> {
		await this.sendFarewell();
		await this.#leaveLease();
	}

	/** Returns the tokens that this VM holds for an account. */
	getTokens(account: string): number {
		return this.#getChannel(this.#channelNames[this.parts.policy](account)).admission.holder.getTokens(account, this.parts.clock.getNow());
	}

	getLocalRate(account: string): number {
		return this.#getChannel(this.#channelNames[this.parts.policy](account)).admission.holder.getRate(account, this.parts.clock.getNow());
	}

	readonly #channelNames: Readonly<Record<LimitPolicyName, (account: string) => string>> = {
		product: () => '',
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

	/** Sends a report to the owner of a channel; the channel without a name belongs to the holder of the lease. */
	async #sendReport(report: DemandReport, owner: string): Promise<ShareGrant | undefined> {
		const {membership, leases, clock, metrics} = this.parts;
		const target = owner === '' ? leases.findHolderVm(clock.getNow()) : owner;
		if (target === membership.self.name) {
			return this.answerReport(report);
		}

		const peer = target === undefined ? undefined : membership.getPeer(target);
		if (peer === undefined) {
			return undefined;
		}

		metrics.addCount('limit_reports');
		try {
			return parseGrant(await peer.client.reportDemand(formatReport(report), {timeoutMs: reportTimeoutMs}));
		} catch {
			return undefined;
		}
	}

	#findOwner(account: string): string {
		const scored = this.parts.membership.getLiveVms().map(vm => ({vm, score: createHash('sha256').update(`${vm}/${account}`).digest('hex')}));
		return scored.toSorted((a, b) => (a.score < b.score ? -1 : 1))[0]?.vm ?? this.parts.membership.self.name;
	}

	/** Grants stay in use until they expire, so the lease is released only then. */
	async #leaveLease(): Promise<void> {
		const {leases, clock} = this.parts;
		if (!leases.isHeld(clock.getNow())) {
			return;
		}

		this.#allocator = undefined;
		leases.abandon();
		await new Promise(resolve => {
			setTimeout(resolve, defaultAllocatorOptions.validMs);
		});
		await leases.releaseEverywhere();
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
			for (const decision of channel.admission.advance(this.parts.clock.getNow())) {
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
