import {formatRow, type StoredRow} from '@chicorysaddle/model';
import {type ConfigurationReplica} from '../configuration/index.js';
import {type Clock} from '../observability/index.js';
import {type Membership} from './membership.js';

/** Time after which a voter that is neither listed nor live is removed, in milliseconds. */
const removalDelayMs = 60_000;

/**
 * Reconciles the voters with the VMs that the platform lists.
 * Normally only the first VM by name acts. If several act at once, only one change succeeds, because each expects the same configuration version.
 */
export class VoterReconciler {
	readonly #missingSince = new Map<string, number>();

	constructor(private readonly configuration: ConfigurationReplica, private readonly membership: Membership, private readonly clock: Clock) {}

	/** Adds this VM to the voters if it is the first to join, or removes a voter that has been missing for too long. */
	async reconcile(): Promise<void> {
		const {name} = this.membership.self;
		const voters = this.configuration.current.getVoterNames();
		this.#recordMissingVoters(voters);
		if (this.configuration.version === 0 || this.membership.isDraining) {
			return;
		}

		const [joiningVm] = [name, ...this.membership.peers.map(peer => peer.name)].filter(vm => this.membership.isListed(vm) && !voters.includes(vm)).toSorted();
		const missingVoter = voters.find(voter => this.clock.getNow() - (this.#missingSince.get(voter) ?? this.clock.getNow()) > removalDelayMs);
		if (joiningVm === name) {
			await this.#applyRow(formatRow('voter', name, {}), `voter ${name} joins`);
		} else if (missingVoter !== undefined && this.membership.getLiveVms()[0] === name) {
			await this.#applyRow(formatRow('voter', missingVoter, undefined), `voter ${missingVoter} is gone`);
		}
	}

	#recordMissingVoters(voters: readonly string[]): void {
		const now = this.clock.getNow();
		for (const voter of voters) {
			const peer = this.membership.getPeer(voter);
			const isPresent = voter === this.membership.self.name || this.membership.isListed(voter) || (peer !== undefined && this.membership.isLive(peer, now));
			if (isPresent) {
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
