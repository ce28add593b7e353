import {computeRendezvousScore} from './rendezvous.js';

/** A VM that can be the gateway of instances. */
export type GatewayCandidate = {
	readonly vm: string;
	readonly zone: string;
	/** Region of the zone; empty where all zones are in one region. */
	readonly region: string;
	/** Capacity relative to the largest VMs, from 0 to 1. */
	readonly capacity: number;
	readonly isDraining: boolean;
};

/** An instance whose connections are scarce. */
export type GatewayInstance = {
	readonly id: string;
	readonly zone: string;
	/** Region of the zone; empty where all zones are in one region. */
	readonly region: string;
	/** Number of connections that the instance accepts. */
	readonly connections: number;
};

/** Fraction of an instance's connections that its gateways may hold together. The rest is for the other VMs, which open connections when a gateway does not respond. */
export const gatewayFraction = 0.85;

/** Number of connections to one instance that one VM can keep in use: several times the slots of an instance. */
const connectionsPerGateway = 20;

/** Minimum number of gateways of an instance: one is left when the other fails. */
const minGatewayCount = 2;

/** Maximum number of gateways of an instance: with more, each holds connections for fewer accounts. */
const maxGatewayCount = 4;

/**
 * Chooses the gateways of an instance: VMs in its zone, or in its region if its zone has fewer than two.
 * VMs that know the same members choose the same gateways, in the same order.
 */
export function chooseGateways<Candidate extends GatewayCandidate>(instance: GatewayInstance, members: Iterable<Candidate>): Candidate[] {
	const usable = [...members].filter(member => !member.isDraining);
	const inZone = usable.filter(member => member.zone === instance.zone);
	const candidates = inZone.length < minGatewayCount ? usable.filter(member => member.zone === instance.zone || member.region === instance.region) : inZone;
	return rankCandidates(`gateway ${instance.id}`, candidates).slice(0, countGateways(instance));
}

/** Chooses the gateway that holds an account's connections to an instance; returns undefined if the instance has no gateway. */
export function chooseGateway<Candidate extends GatewayCandidate>(instance: GatewayInstance, account: string, gateways: readonly Candidate[]): Candidate | undefined {
	return rankCandidates(`account ${instance.id}\n${account}`, gateways)[0];
}

/** Computes the number of connections that each gateway of an instance may hold. */
export function computeGatewayShare(connections: number, gatewayCount: number): number {
	return Math.max(1, Math.floor((connections * gatewayFraction) / Math.max(1, gatewayCount)));
}

function countGateways({connections}: GatewayInstance): number {
	return Math.min(maxGatewayCount, Math.max(minGatewayCount, Math.ceil((connections * gatewayFraction) / connectionsPerGateway)));
}

function rankCandidates<Candidate extends GatewayCandidate>(key: string, candidates: readonly Candidate[]): Candidate[] {
	return candidates
		.map(candidate => ({candidate, score: computeRendezvousScore(key, candidate.vm, candidate.capacity)}))
		.toSorted((a, b) => b.score - a.score || (a.candidate.vm < b.candidate.vm ? -1 : 1))
		.map(({candidate}) => candidate);
}
