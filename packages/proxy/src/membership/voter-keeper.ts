import {formatRow, type StoredRow} from '@chicorysaddle/model';
import {type ConfigurationKeeper} from '../configuration/index.js';
import {type Clock} from '../observability/index.js';
import {type Membership} from './membership.js';

/** A voter that is neither listed nor heard for this long is removed, in milliseconds. */
const removalMs = 60_000;

/**
 * Keeps the voters in line with the VMs that the platform lists.
 * One VM acts at a time, the first by name; a race is settled by the version of the configuration.
 */
export class VoterKeeper {
	readonly #missedSince = new Map<string, number>();

	constructor(private readonly configuration: ConfigurationKeeper, private readonly membership: Membership, private readonly clock: Clock) {}

	/** Adds this VM to the voters, or removes one that is gone. */
	async advance(): Promise<void> {
		const {name} = this.membership.self;
		const voters = this.configuration.current.getVoterNames();
		this.#observeMissing(voters);
		if (this.configuration.version === 0 || this.membership.isDraining) {
			return;
		}

		const [joining] = [name, ...this.membership.peers.map(peer => peer.name)].filter(vm => this.membership.isListed(vm) && !voters.includes(vm)).toSorted();
		const gone = voters.find(voter => this.clock.getNow() - (this.#missedSince.get(voter) ?? this.clock.getNow()) > removalMs);
		if (joining === name) {
			await this.#applyRow(formatRow('voter', name, {}), `voter ${name} joins`);
		} else if (gone !== undefined && this.membership.getLiveVms()[0] === name) {
			await this.#applyRow(formatRow('voter', gone, undefined), `voter ${gone} is gone`);
		}
	}

	#observeMissing(voters: readonly string[]): void {
		const now = this.clock.getNow();
		for (const voter of voters) {
			const peer = this.membership.getPeer(voter);
			const isKnown = voter === this.membership.self.name || this.membership.isListed(voter) || (peer !== undefined && this.membership.isLive(peer, now));
			if (isKnown) {
				this.#missedSince.delete(voter);
			} else if (!this.#missedSince.has(voter)) {
				this.#missedSince.set(voter, now);
			}
		}
	}

	async #applyRow(row: StoredRow, summary: string): Promise<void> {
		const {version} = this.configuration;
		const author = this.membership.self.name;
		await this.configuration.applyRequest({
			expectedVersion: version, author, summary, writeId: `${row.key}@${version}#${this.membership.self.incarnation}`, rows: [row],
		});
	}
}
