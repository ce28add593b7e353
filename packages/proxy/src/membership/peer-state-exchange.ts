import {type ExchangeRequest, type ExchangeResponse, type ExchangeResponseSchema} from '@chicorysaddle/protocol';
import {type MessageInitShape} from '@bufbuild/protobuf';
import {type FreshnessTracker} from '@chicorysaddle/decisions';
import {type Clock} from '../observability/index.js';
import {type ConfigurationReplica} from '../configuration/index.js';
import {type GroupRegistry} from '../groups/index.js';
import {type LeaseRegistry} from '../limits/index.js';
import {type Membership} from './membership.js';
import {type Peer} from './peer.js';

/** Minimum interval between urgent polls of the same peer, in milliseconds. */
const urgentPollIntervalMs = 150;

/** Dependencies of a `PeerStateExchange`. */
export type PeerStateExchangeDependencies = {
	readonly membership: Membership;
	readonly configuration: ConfigurationReplica;
	readonly freshness: FreshnessTracker;
	readonly groups: GroupRegistry;
	readonly leases: LeaseRegistry;
	readonly clock: Clock;
	/** Timeout of a poll, in milliseconds. */
	readonly timeoutMs: number;
};

/** Polls the peers for their state, and answers their polls. */
export class PeerStateExchange {
	readonly #urgentPollSentAt = new Map<string, number>();

	constructor(private readonly dependencies: PeerStateExchangeDependencies) {}

	/** Polls every peer once. */
	async pollPeers(): Promise<void> {
		await Promise.all(this.dependencies.membership.peers.map(async peer => this.pollPeer(peer)));
	}

	/** Polls the other monitors of each group that this VM monitors and whose primary it suspects to have failed. */
	pollMonitorsOfSuspectedPrimaries(): void {
		const now = this.dependencies.clock.getNow();
		for (const group of this.dependencies.groups.getGroups()) {
			if (!group.isMonitoredLocally || !group.detector.isPrimarySuspected(now)) {
				continue;
			}

			for (const name of this.dependencies.groups.getMonitors(group.state.name)) {
				const peer = this.dependencies.membership.getPeer(name);
				if (peer !== undefined && now - (this.#urgentPollSentAt.get(name) ?? Number.NEGATIVE_INFINITY) >= urgentPollIntervalMs) {
					this.#urgentPollSentAt.set(name, now);
					void this.pollPeer(peer);
				}
			}
		}
	}

	/** Polls one peer and applies its response; the freshness that it reports counts only once this VM has the peer's configuration version. */
	async pollPeer(peer: Peer): Promise<void> {
		const {membership, configuration, clock} = this.dependencies;
		const sentAt = clock.getNow();
		try {
			const response = await peer.client.exchange({
				vm: membership.self.name,
				incarnation: membership.self.incarnation,
				configurationVersion: BigInt(configuration.version),
				draining: membership.isDraining,
				address: membership.self.address,
				zone: membership.self.zone,
			}, {timeoutMs: this.dependencies.timeoutMs});
			await this.#applyResponse(peer, response, sentAt);
		} catch {
			// The peer no longer counts as live if the later polls fail too.
		}
	}

	/** Answers a peer's poll with the state of this VM. */
	handleRequest(request: ExchangeRequest): MessageInitShape<typeof ExchangeResponseSchema> {
		const {
			membership, configuration, freshness, groups, leases, clock,
		} = this.dependencies;
		const now = clock.getNow();
		const peer = membership.addOrUpdatePeer(request.vm, request.address, request.zone);
		if (peer !== undefined) {
			peer.isDraining = request.draining;
		}

		return {
			vm: membership.self.name,
			incarnation: membership.self.incarnation,
			configurationVersion: BigInt(configuration.version),
			synchronized: freshness.isSynchronized,
			storeWordAgeMs: roundAgeMs(freshness.getStoreSyncAgeMs(now)),
			draining: membership.isDraining,
			groups: groups.getGroups().filter(group => group.isMonitoredLocally).map(group => ({
				group: group.state.name,
				term: BigInt(group.state.term),
				primary: group.state.primaryName ?? '',
				failingMs: Math.ceil(group.detector.getFailingMs(now)),
			})),
			leases: leases.getHeldLeases(now).map(({lease, holder, term}) => ({lease, holder, term: BigInt(term)})),
		};
	}

	async #applyResponse(peer: Peer, response: ExchangeResponse, sentAt: number): Promise<void> {
		const {configuration, freshness} = this.dependencies;
		if (response.vm !== peer.name) {
			return;
		}

		if (response.incarnation !== peer.incarnation) {
			freshness.removePeerSync(peer.name);
			peer.incarnation = response.incarnation;
			peer.incarnationSince = sentAt;
		}

		peer.answeredRequestSentAt = Math.max(peer.answeredRequestSentAt, sentAt);
		peer.configurationVersion = Number(response.configurationVersion);
		peer.isSynchronized = response.synchronized;
		peer.isDraining = response.draining;
		peer.leases = new Map(response.leases.map(({lease, holder, term}) => [lease, {holder, term: Number(term)}]));
		this.#applyGroupReports(response, sentAt);
		if (peer.configurationVersion > configuration.version) {
			await configuration.pullFromPeer(peer);
		}

		if (configuration.version < Number(response.configurationVersion)) {
			return;
		}

		if (response.synchronized) {
			freshness.recordPeerSync(peer.name, sentAt, configuration.current.getVoterNames());
		}

		if (response.storeWordAgeMs !== undefined) {
			freshness.recordStoreSync(sentAt - response.storeWordAgeMs);
		}
	}

	#applyGroupReports(response: ExchangeResponse, sentAt: number): void {
		for (const report of response.groups) {
			const group = this.dependencies.groups.getGroup(report.group);
			if (group === undefined) {
				continue;
			}

			if (report.primary !== '') {
				group.recordPrimary(Number(report.term), report.primary);
			}

			group.detector.recordReport({
				vm: response.vm, term: Number(report.term), failingMs: report.failingMs, requestedAt: sentAt,
			});
		}
	}
}

/** Rounds an age up to whole milliseconds that fit the unsigned 32-bit field of the message. */
function roundAgeMs(ageMs: number | undefined): number | undefined {
	return ageMs === undefined ? undefined : Math.min(0xFF_FF_FF_FF, Math.ceil(ageMs));
}
