import {createHash} from 'node:crypto';
import {type Clock, type Logger} from '../observability/index.js';
import {type ConfigurationReplica} from '../configuration/index.js';
import {type Membership} from '../membership/index.js';
import {LeaseParticipant} from './lease-participant.js';

/** Parts that the client accounts are divided into; each has an allocator, so that the loss of one touches few. */
export const partitionCount = 4;

/** The leases of the allocators, one for each part of the client accounts. */
export class LeaseRegistry {
	readonly #participants: readonly LeaseParticipant[];

	constructor(membership: Membership, configuration: ConfigurationReplica, clock: Clock, logger: Logger) {
		this.#participants = Array.from({length: partitionCount}, (_, part) => new LeaseParticipant(`limits-${part + 1}`, membership, configuration, clock, logger));
	}

	get participants(): readonly LeaseParticipant[] {
		return this.#participants;
	}

	getParticipant(lease: string): LeaseParticipant | undefined {
		return this.#participants.find(keeper => keeper.lease === lease);
	}

	/** Returns the lease whose holder allocates the limits of an account. */
	getLeaseForAccount(account: string): string {
		const hash = createHash('sha256').update(account).digest().readUInt32BE(0);
		return this.#participants[hash % partitionCount]!.lease;
	}

	/** Returns the leases that this VM holds; whoever else holds one says so itself. */
	getHeldLeases(now: number): Array<{lease: string; holder: string; term: number}> {
		return this.#participants.filter(keeper => keeper.isHeld(now)).map(keeper => ({lease: keeper.lease, holder: keeper.getHolder(now), term: keeper.term}));
	}

	/** Says whether every lease is known to have a holder. */
	isEveryLeaseHeld(now: number): boolean {
		return this.#participants.every(keeper => keeper.findHolderVm(now) !== undefined);
	}

	/** Renews the leases held and seeks the vacant ones. */
	async renewOrSeek(): Promise<void> {
		await Promise.all(this.#participants.map(async keeper => keeper.renewOrSeek()));
	}
}
