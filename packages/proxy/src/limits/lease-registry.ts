import {createHash} from 'node:crypto';
import {type Clock, type Logger} from '../observability/index.js';
import {type ConfigurationKeeper} from '../configuration/index.js';
import {type Membership} from '../membership/index.js';
import {LeaseKeeper} from './lease-keeper.js';

/** Parts that the client accounts are divided into; each has an allocator, so that the loss of one touches few. */
export const partCount = 4;

/** The leases of the allocators, one for each part of the client accounts. */
export class LeaseRegistry {
	readonly #keepers: readonly LeaseKeeper[];

	constructor(membership: Membership, configuration: ConfigurationKeeper, clock: Clock, logger: Logger) {
		this.#keepers = Array.from({length: partCount}, (_, part) => new LeaseKeeper(`limits-${part + 1}`, membership, configuration, clock, logger));
	}

	get keepers(): readonly LeaseKeeper[] {
		return this.#keepers;
	}

	getKeeper(lease: string): LeaseKeeper | undefined {
		return this.#keepers.find(keeper => keeper.lease === lease);
	}

	/** Returns the lease whose holder allocates the limits of an account. */
	getLeaseOf(account: string): string {
		const hash = createHash('sha256').update(account).digest().readUInt32BE(0);
		return this.#keepers[hash % partCount]!.lease;
	}

	/** Returns the leases that this VM holds; whoever else holds one says so itself. */
	describeHeldLeases(now: number): Array<{lease: string; holder: string; term: number}> {
		return this.#keepers.filter(keeper => keeper.isHeld(now)).map(keeper => ({lease: keeper.lease, holder: keeper.getHolder(now), term: keeper.term}));
	}

	/** Says whether every lease is known to have a holder. */
	isHeldEverywhere(now: number): boolean {
		return this.#keepers.every(keeper => keeper.findHolderVm(now) !== undefined);
	}

	/** Renews the leases held and seeks the vacant ones. */
	async advance(): Promise<void> {
		await Promise.all(this.#keepers.map(async keeper => keeper.advance()));
	}
}
