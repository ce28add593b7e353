import {createHash} from 'node:crypto';
import {type Clock, type Logger} from '../observability/index.js';
import {type ConfigurationReplica} from '../configuration/index.js';
import {type Membership} from '../membership/index.js';
import {LeaseParticipant} from './lease-participant.js';

/** Number of partitions of the client accounts; each has its own allocator, so that the loss of one affects few accounts. */
export const partitionCount = 4;

/** Leases of the allocators, one for each partition of the client accounts. */
export class LeaseRegistry {
	readonly #participants: readonly LeaseParticipant[];

	constructor(membership: Membership, configuration: ConfigurationReplica, clock: Clock, logger: Logger) {
		this.#participants = Array.from({length: partitionCount}, (_, index) => new LeaseParticipant(`limits-${index + 1}`, membership, configuration, clock, logger));
	}

	get participants(): readonly LeaseParticipant[] {
		return this.#participants;
	}

	getParticipant(lease: string): LeaseParticipant | undefined {
		return this.#participants.find(participant => participant.lease === lease);
	}

	/** Returns the lease whose holder allocates the limits of an account. */
	getLeaseForAccount(account: string): string {
		const hash = createHash('sha256').update(account).digest().readUInt32BE(0);
		return this.#participants[hash % partitionCount]!.lease;
	}

	/** Returns the leases that this VM holds; each VM reports only its own. */
	getHeldLeases(now: number): Array<{lease: string; holder: string; term: number}> {
		return this.#participants.filter(participant => participant.isHeld(now)).map(participant => ({lease: participant.lease, holder: participant.getHolder(now), term: participant.term}));
	}

	/** Returns whether a holder of every lease is known. */
	isEveryLeaseHeld(now: number): boolean {
		return this.#participants.every(participant => participant.findHolderVm(now) !== undefined);
	}

	/** Renews the held leases and tries to acquire the vacant ones. */
	async renewOrAcquire(): Promise<void> {
		await Promise.all(this.#participants.map(async participant => participant.renewOrAcquire()));
	}
}
