import {formatRow, type StoredRow} from '@chicorysaddle/model';
import {type ConfigurationKeeper} from '../configuration/index.js';
import {type Membership} from '../membership/index.js';
import {type Clock} from '../observability/index.js';

/** A voter that is neither listed nor heard for this long is removed, in milliseconds. */
const removalMs = 60_000;

/**
 * Adds this VM to the voters, or removes one that is gone.
 * One VM acts at a time, the first by name; a race is settled by the version of the configuration.
 */
export async function joinVoters(configuration: ConfigurationKeeper, membership: Membership, clock: Clock): Promise<void> {
	const voters = configuration.current.getVoters();
	const {name} = membership.self;
	const missing = [name, ...membership.peers.map(peer => peer.name)].filter(vm => membership.isListed(vm) && !voters.includes(vm)).toSorted();
	if (missing[0] === name && !membership.isDraining) {
		await applyRow(configuration, name, formatRow('voter', name, {}), `voter ${name} joins`);
		return;
	}

	const gone = voters.find(voter => isGone(voter, membership, clock.getNow()));
	if (gone !== undefined && membership.getLiveVms()[0] === name) {
		await applyRow(configuration, name, formatRow('voter', gone, undefined), `voter ${gone} is gone`);
	}
}

function isGone(voter: string, membership: Membership, now: number): boolean {
	const peer = membership.getPeer(voter);
	const isKnown = voter === membership.self.name || membership.isListed(voter);
	return !isKnown && (peer === undefined || now - Math.max(peer.seenAt, peer.heardAt) > removalMs);
}

async function applyRow(configuration: ConfigurationKeeper, author: string, row: StoredRow, summary: string): Promise<void> {
	await configuration.applyRequest({
		expectedVersion: configuration.version, author, summary, writeId: `${row.key}@${configuration.version}#${author}`, rows: [row],
	});
}
