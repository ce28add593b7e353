import {type ExchangeRequest, type ExchangeResponse, type ExchangeResponseSchema} from '@chicorysaddle/protocol';
import {type MessageInitShape} from '@bufbuild/protobuf';
import {type FreshnessTracker} from '@chicorysaddle/decisions';
import {type Clock} from '../observability/index.js';
import {type ConfigurationKeeper} from '../configuration/index.js';
import {type GroupRegistry} from '../groups/index.js';
import {type LeaseRegistry} from '../limits/index.js';
import {type Membership} from './membership.js';
import {type Peer} from './peer.js';

/** Longest wait for an urgent answer, in milliseconds. */
const urgentPauseMs = 150;

/** What the exchange works on. */
export type ExchangeParts = {
	readonly membership: Membership;
	readonly configuration: ConfigurationKeeper;
	readonly freshness: FreshnessTracker;
	readonly groups: GroupRegistry;
	readonly leases: LeaseRegistry;
	readonly clock: Clock;
	readonly timeoutMs: number;
};

/** Asks peers, again and again, what they know. */
export class Exchange {
	readonly #urgentAt = new Map<string, number>();

	constructor(private readonly parts: ExchangeParts) {}

	/** Asks every peer. */
	async askAll(): Promise<void> {
		await Promise.all(this.parts.membership.peers.map(async peer => this.askPeer(peer)));
	}

	/** Asks the other watchers of groups whose primary seems to fail. */
	askAboutFailures(): void {
		const now = this.parts.clock.getNow();
		for (const group of this.parts.groups.getGroups()) {
			if (!group.isWatched || !group.detector.isPrimarySuspected(now)) {
				continue;
			}

			for (const name of this.parts.groups.getWatchers(group.state.name)) {
				const peer = this.parts.membership.getPeer(name);
				if (peer !== undefined && now - (this.#urgentAt.get(name) ?? Number.NEGATIVE_INFINITY) >= urgentPauseMs) {
					this.#urgentAt.set(name, now);
					void this.askPeer(peer);
				}
			}
		}
	}

	/** Asks one peer and takes in its answer, after catching up with its configuration. */
	async askPeer(peer: Peer): Promise<void> {
		const {membership, configuration, clock} = this.parts;
		const sentAt = clock.getNow();
		try {
			const response = await peer.client.exchange({
				vm: membership.self.name,
				incarnation: membership.self.incarnation,
				configurationVersion: BigInt(configuration.version),
				draining: membership.isDraining,
				address: membership.self.address,
				zone: membership.self.zone,
			}, {timeoutMs: this.parts.timeoutMs});
			await this.#observeResponse(peer, response, sentAt);
		} catch {
			// A peer that does not answer is simply not heard.
		}
	}

	/** Answers a peer's question. */
	answer(request: ExchangeRequest): MessageInitShape<typeof ExchangeResponseSchema> {
		const {
			membership, configuration, freshness, groups, leases, clock,
		} = this.parts;
		const now = clock.getNow();
		const peer = membership.observeVm(request.vm, request.address, request.zone);
		if (peer !== undefined) {
			peer.isDraining = request.draining;
		}

		return {
			vm: membership.self.name,
			incarnation: membership.self.incarnation,
			configurationVersion: BigInt(configuration.version),
			synchronized: freshness.isSynchronized,
			storeWordAgeMs: roundAge(freshness.getStoreSyncAgeMs(now)),
			draining: membership.isDraining,
			groups: groups.getGroups().filter(group => group.isWatched).map(group => ({
				group: group.state.name,
				term: BigInt(group.state.term),
				primary: group.state.primaryName ?? '',
				failingMs: Math.ceil(group.detector.getFailingMs(now)),
			})),
			leases: leases.describeHeldLeases(now).map(({lease, holder, term}) => ({lease, holder, term: BigInt(term)})),
		};
	}

	async #observeResponse(peer: Peer, response: ExchangeResponse, sentAt: number): Promise<void> {
		const {configuration, freshness} = this.parts;
		if (response.vm !== peer.name) {
			return;
		}

		if (response.incarnation !== peer.incarnation) {
			freshness.removePeer(peer.name);
			peer.incarnation = response.incarnation;
			peer.incarnationSince = sentAt;
		}

		peer.heardAt = Math.max(peer.heardAt, sentAt);
		peer.configurationVersion = Number(response.configurationVersion);
		peer.isSynchronized = response.synchronized;
		peer.isDraining = response.draining;
		peer.leases = new Map(response.leases.map(({lease, holder, term}) => [lease, {holder, term: Number(term)}]));
		this.#observeGroups(response, sentAt);
		if (peer.configurationVersion > configuration.version) {
			await configuration.pullFrom(peer);
		}

		if (configuration.version < Number(response.configurationVersion)) {
			return;
		}

		if (response.synchronized) {
			freshness.observePeerSync(peer.name, sentAt, configuration.current.getVoterNames());
		}

		if (response.storeWordAgeMs !== undefined) {
			freshness.observeStoreSync(sentAt - response.storeWordAgeMs);
		}
	}

	#observeGroups(response: ExchangeResponse, sentAt: number): void {
		for (const view of response.groups) {
			const group = this.parts.groups.getGroup(view.group);
			if (group === undefined) {
				continue;
			}

			if (view.primary !== '') {
				group.observePrimary(Number(view.term), view.primary);
			}

			group.detector.observeReport({
				vm: response.vm, term: Number(view.term), failingMs: view.failingMs, requestedAt: sentAt,
			});
		}
	}
}

function roundAge(ageMs: number | undefined): number | undefined {
	return ageMs === undefined ? undefined : Math.min(0xFF_FF_FF_FF, Math.ceil(ageMs));
}
