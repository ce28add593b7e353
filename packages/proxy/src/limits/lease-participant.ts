import {
	LeaseCandidate, type LeaseRound, LeaseVoter, type PromiseResponse, type PromiseRequest,
} from '@chicorysaddle/decisions';
import {type Clock, type Logger} from '../observability/index.js';
import {type ConfigurationReplica} from '../configuration/index.js';
import {type Membership} from '../membership/index.js';
import {rankVms} from './rank-vms.js';

/** Duration of a lease, in milliseconds. */
export const leaseDurationMs = 1500;
/** Time between two renewals of a lease, in milliseconds. */
export const renewalIntervalMs = 600;
/** Delay per rank of a candidate before it tries to acquire a vacant lease, in milliseconds; avoids competing attempts. */
const staggerMs = 60;
/** Timeout of a request that asks a voter for its promise or releases it, in milliseconds. */
const promiseTimeoutMs = 300;

/** Acquires and renews one lease as a candidate, and votes on it for the other VMs. */
export class LeaseParticipant {
	readonly #voter: LeaseVoter;
	readonly #candidate = new LeaseCandidate({durationMs: leaseDurationMs, renewalMs: renewalIntervalMs, staggerMs});
	#onAcquired: (now: number) => void = () => undefined;
	#predecessor = '';

	constructor(readonly lease: string, private readonly membership: Membership, private readonly configuration: ConfigurationReplica, private readonly clock: Clock, private readonly logger: Logger) {
		this.#voter = new LeaseVoter(clock.getNow(), leaseDurationMs);
	}

	/** VM and incarnation of this process. */
	get id(): string {
		return this.membership.id;
	}

	/** Highest term of the lease that this process knows. */
	get term(): number {
		return Math.max(this.#candidate.term, this.#voter.term);
	}

	/** Time until which this process holds the lease, in monotonic milliseconds. */
	get heldUntil(): number {
		return this.#candidate.heldUntil;
	}

	/** Returns whether this process holds the lease. */
	isHeld(now: number): boolean {
		return this.#candidate.isHeld(now);
	}

	/** Sets the listener that is called when this VM acquires the lease. */
	setAcquiredListener(listener: (now: number) => void): void {
		this.#onAcquired = listener;
	}

	/** Returns the holder known to this VM, empty for none; a promise by this VM to itself does not count, since only a majority of promises makes a holder. */
	getHolder(now: number): string {
		const promised = this.#voter.getHolder(now);
		if (this.isHeld(now)) {
			return this.id;
		}

		return promised === this.id ? '' : promised;
	}

	/** Returns the name of the VM that holds the lease, by the highest term that this VM and its peers report; undefined if no holder is known. */
	findHolderVm(now: number): string | undefined {
		const ownHolder = this.getHolder(now);
		const reports = this.membership.peers
			.filter(peer => this.membership.isLive(peer, now))
			.flatMap(peer => peer.leases.get(this.lease) ?? [])
			.filter(({holder}) => holder !== '');
		const [newest] = [...ownHolder === '' ? [] : [{holder: ownHolder, term: this.term}], ...reports].toSorted((a, b) => b.term - a.term);
		return newest?.holder.split('#', 1)[0];
	}

	/** Answers a candidate's request; a candidate with an older configuration than this VM gets no promise, since it may not know all voters. */
	handlePromiseRequest(request: PromiseRequest, configurationVersion: number): PromiseResponse {
		const now = this.clock.getNow();
		this.#candidate.recordTerm(request.term - 1);
		return configurationVersion < this.configuration.version
			? {
				promised: false, holder: this.getHolder(now), term: this.term, remainingMs: 0,
			}
			: this.#voter.handlePromiseRequest(request, now);
	}

	/** Releases the promise that this VM made to a holder. */
	releasePromise(holder: string): void {
		this.#voter.releasePromise(holder);
	}

	/** Renews the lease if that is due, or tries to acquire it if it is vacant. */
	async renewOrAcquire(): Promise<void> {
		const now = this.clock.getNow();
		const voters = this.configuration.current.getVoterNames();
		const isRetiring = this.membership.isDraining && !this.isHeld(now);
		if (!voters.includes(this.membership.self.name) || isRetiring) {
			return;
		}

		this.#candidate.recordVacancy(this.#voter.getHolder(now) === '', now);
		if (!this.#candidate.isRoundDue(now)) {
			return;
		}

		const ranked = rankVms(this.lease, this.membership.getLiveVms().filter(name => voters.includes(name)));
		const round = this.#candidate.startRound(Math.max(0, ranked.indexOf(this.membership.self.name)), now);
		if (round !== undefined) {
			await this.#runRound(round, voters);
		}
	}

	/**
	 * Tries to acquire the lease at once, as the successor chosen by its holder; returns whether this process then holds it.
	 * @param predecessor - Id of the holder that hands the lease over.
	 * @param term - Term of the predecessor.
	 */
	async takeOver(predecessor: string, term: number): Promise<boolean> {
		const now = this.clock.getNow();
		this.#predecessor = predecessor;
		this.#candidate.recordTerm(term);
		await this.#runRound(this.#candidate.startTakeoverRound(now), this.configuration.current.getVoterNames());
		this.#predecessor = '';
		return this.isHeld(this.clock.getNow());
	}

	/** Stops holding the lease, without notifying the voters. The caller makes sure that no grant made under it is in use. */
	releaseLocally(): void {
		this.#candidate.releaseLease(this.clock.getNow());
	}

	/** Releases the promises that the VMs made to this one. */
	async releasePromises(): Promise<void> {
		this.#voter.releasePromise(this.id);
		await Promise.all(this.membership.peers.map(async peer => {
			try {
				await peer.client.releaseLease({lease: this.lease, holder: this.id}, {timeoutMs: promiseTimeoutMs});
			} catch {
				// The promise of an unreachable peer expires by itself.
			}
		}));
	}

	async #runRound(round: LeaseRound, voters: readonly string[]): Promise<void> {
		const wasHeld = this.isHeld(round.sentAt);
		await Promise.all(voters.map(async voter => {
			const isPromised = voter === this.membership.self.name ? this.#requestOwnPromise(round) : await this.#requestPromise(voter, round);
			if (isPromised && this.#candidate.recordPromise(round, voter, voters) && !wasHeld) {
				const now = this.clock.getNow();
				this.logger.info('lease gained', {lease: this.lease, term: round.term});
				this.#onAcquired(now);
			}
		}));
		// If the lease was held, grants made under it may still be in use, so its promises are left to expire.
		if (!wasHeld && !this.isHeld(this.clock.getNow())) {
			await this.releasePromises();
		}
	}

	#createRequest(round: LeaseRound): PromiseRequest {
		return {
			holder: this.id, term: round.term, durationMs: leaseDurationMs, predecessor: this.#predecessor,
		};
	}

	#requestOwnPromise(round: LeaseRound): boolean {
		return this.#voter.handlePromiseRequest(this.#createRequest(round), this.clock.getNow()).promised;
	}

	async #requestPromise(voter: string, round: LeaseRound): Promise<boolean> {
		try {
			const response = await this.membership.getPeer(voter)?.client.promiseLease({
				lease: this.lease,
				...this.#createRequest(round),
				term: BigInt(round.term),
				configurationVersion: BigInt(this.configuration.version),
			}, {timeoutMs: promiseTimeoutMs});
			this.#candidate.recordTerm(Number(response?.term ?? 0));
			if (response !== undefined && !response.promised && response.holder !== '') {
				this.#candidate.recordRefusal(response.remainingMs, this.clock.getNow());
			}

			return response?.promised ?? false;
		} catch {
			return false;
		}
	}
}
