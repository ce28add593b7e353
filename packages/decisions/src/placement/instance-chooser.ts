import {RegionMap, type ZoneDistance} from './region-map.js';
import {RoundTripTracker} from './round-trip-tracker.js';

/** Cost of opening a connection instead of using an open one, in milliseconds: the handshake time that deployments state. */
const openCostMs = 14;

/** Cost of an instance in another availability zone, in milliseconds: a round trip, and traffic that is billed. */
const crossZoneCostMs = 4;

/** Factor on the round trip to another region: the link between regions is shared by all traffic, so each operation on it also delays others. */
const sharedLinkFactor = 2;

/** Factor on the estimated latency of reads on a primary, because only the primary can take writes. */
const primaryReadCostFactor = 1.5;

/** Cost of a distance where there are several regions, in milliseconds, from the round trip. */
const distanceCosts: Readonly<Record<ZoneDistance, (roundTripMs: number) => number>> = {
	'own-zone': () => 0,
	'own-region': roundTripMs => Math.max(crossZoneCostMs, roundTripMs),
	'other-region': roundTripMs => crossZoneCostMs + (roundTripMs * sharedLinkFactor),
};

/** An instance that can serve a read now or soon, as one VM observes it. */
export type InstanceCandidate = {
	readonly zone: string;
	readonly isPrimary: boolean;
	/** Estimated latency of a statement under the load of this VM, in milliseconds. */
	readonly latencyMs: number;
	/** Whether an open connection of the account is idle; otherwise one has to be opened. */
	readonly hasIdleConnection: boolean;
	/** Measured cost of using a connection of the instance's gateway instead of an own idle one, in milliseconds; absent if the read is not forwarded. */
	readonly forwardingCostMs?: number | undefined;
	/** Estimated time until the instance accepts a statement, in milliseconds; absent or zero: now. */
	readonly waitMs?: number | undefined;
	/** Estimated time until a replica has reached the session's own commit, in milliseconds; absent or zero: it has. */
	readonly replicationWaitMs?: number | undefined;
};

/** The chosen instance. */
export type InstanceChoice<Candidate extends InstanceCandidate> = {
	readonly candidate: Candidate;
	/** Estimated cost, in milliseconds; includes the wait. */
	readonly costMs: number;
	/** Time to wait before the instance is worth another look, in milliseconds; zero: the read can be sent now. */
	readonly waitMs: number;
};

/** Chooses the instance that serves a read, by latency, load, connections, waiting time and distance. */
export class InstanceChooser {
	readonly #roundTrips: RoundTripTracker;

	/** @param roundTrips - Round trips from this VM; with the zone alone, all zones are in one region. */
	constructor(roundTrips: RoundTripTracker | string) {
		this.#roundTrips = typeof roundTrips === 'string' ? new RoundTripTracker(new RegionMap(roundTrips)) : roundTrips;
	}

	/**
	 * Chooses the candidate with the lowest cost, the first of equal ones; returns undefined if there is none.
	 * @param now - Monotonic time, in milliseconds.
	 * @param waitedMs - Time that the read has waited already, in milliseconds.
	 */
	chooseInstance<Candidate extends InstanceCandidate>(candidates: Iterable<Candidate>, now: number, waitedMs = 0): InstanceChoice<Candidate> | undefined {
		const all = [...candidates];
		const primary = all.find(({isPrimary}) => isPrimary);
		// The primary has every commit, so waiting for a replica is of use only if it is shorter in all than the trip to the primary.
		const maxReplicationWaitMs = primary === undefined ? Number.POSITIVE_INFINITY : this.#roundTrips.estimateRoundTripMs(primary.zone, now) - waitedMs;
		let best: InstanceChoice<Candidate> | undefined;
		for (const candidate of all) {
			const {zone, replicationWaitMs = 0} = candidate;
			if (replicationWaitMs > 0 && (replicationWaitMs > maxReplicationWaitMs || this.#roundTrips.regions.getDistance(zone) === 'other-region')) {
				continue;
			}

			const costMs = this.estimateCostMs(candidate, now);
			if (costMs < (best?.costMs ?? Number.POSITIVE_INFINITY)) {
				best = {candidate, costMs, waitMs: getWaitMs(candidate)};
			}
		}

		return best;
	}

	/** Estimates the cost of a read on an instance, in milliseconds. */
	estimateCostMs(candidate: InstanceCandidate, now: number): number {
		const {zone, isPrimary, latencyMs, hasIdleConnection, forwardingCostMs} = candidate;
		const connectionCostMs = hasIdleConnection ? 0 : forwardingCostMs ?? openCostMs;
		return (latencyMs * (isPrimary ? primaryReadCostFactor : 1)) + connectionCostMs + this.#estimateDistanceCostMs(zone, now) + getWaitMs(candidate);
	}

	#estimateDistanceCostMs(zone: string, now: number): number {
		const {regions} = this.#roundTrips;
		if (!regions.hasSeveralRegions) {
			return zone === regions.zone ? 0 : crossZoneCostMs;
		}

		return distanceCosts[regions.getDistance(zone)](this.#roundTrips.estimateRoundTripMs(zone, now));
	}
}

function getWaitMs({waitMs = 0, replicationWaitMs = 0}: InstanceCandidate): number {
	return Math.max(waitMs, replicationWaitMs);
}
