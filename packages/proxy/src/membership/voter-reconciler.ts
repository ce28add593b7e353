import {formatRow, type StoredRow} from '@chicorysaddle/model';
import {type ConfigurationReplica} from '../configuration/index.js';
import {type Clock} from '../observability/index.js';
import {type Membership} from './membership.js';

/** A voter that is neither listed nor heard for this long is removed, in milliseconds. */
const removalDelayMs = 60_000;

/**
 * Keeps the voters in line with the VMs that the platform lists.
 * One VM acts at a time, the first by name; a race is settled by the version of the configuration.
 */
export class VoterReconciler {
	readonly #missingSince = new Map<string, number>();

	constructor(private readonly configuration: ConfigurationReplica, private readonly membership: Membership, private readonly clock: Clock) {}

	/** Adds this VM to the voters, or removes one that is gone. */
	async reconcile(): Promise<void> {
		const {name} = this.membership.self;
		const voters = this.configuration.current.getVoterNames();
		this.#recordMissingVoters(voters);
		if (this.configuration.version === 0 || this.membership.isDraining) {
			return;
		}

		const [joining] = [name, ...this.membership.peers.map(peer => peer.name)].filter(vm => this.membership.isListed(vm) && !voters.includes(vm)).toSorted();
		const gone = voters.find(voter => this.clock.getNow() - (this.#missingSince.get(voter) ?? this.clock.getNow()) > removalDelayMs);
		if (joining === name) {
			await this.#applyRow(formatRow('voter', name, {}), `voter ${name} joins`);
		} else if (gone !== undefined && this.membership.getLiveVms()[0] === name) {
			await this.#applyRow(formatRow('voter', gone, undefined), `voter ${gone} is gone`);
		}
	}

	#recordMissingVoters(voters: readonly string[]): void {
		const now = this.clock.getNow();
		for (const voter of voters) {
			const peer = this.membership.getPeer(voter);
			const isKnown = voter === this.membership.self.name || this.membership.isListed(voter) || (peer !== undefined && this.membership.isLive(peer, now));
			if (isKnown) {
				this.#missingSince.delete(voter);
			} else if (!this.#missingSince.has(voter)) {
				this.#missingSince.set(voter, now);
			}
		}
	}

	async #applyRow(row: StoredRow, summary: string): Promise<void> {
		const {version} = this.configuration;
		const author = this.membership.self.name;
		await this.configuration.applyChangeRequest({
			expectedVersion: version, author, summary, writeId: `${row.key}@${version}#${this.membership.self.incarnation}`, rows: [row],
		});
	}
}
