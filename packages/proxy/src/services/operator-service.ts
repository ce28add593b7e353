import {
	Code, ConnectError, type ConnectRouter, type Interceptor,
} from '@connectrpc/connect';
import {type MessageInitShape} from '@bufbuild/protobuf';
import {
	type ApplyChangeRequest, type ApplyChangeResponseSchema, type GetInForceResponseSchema, type GetStatusResponseSchema, OperatorService,
} from '@chicorysaddle/protocol';
import {type FreshnessTracker} from '@chicorysaddle/decisions';
import {getBearerToken, hashKey, isSameHash} from '../access/index.js';
import {type ConfigurationReplica, formatChange} from '../configuration/index.js';
import {type GroupRegistry} from '../groups/index.js';
import {type LeaseRegistry, type AccountLimiter} from '../limits/index.js';
import {type Membership, type Peer} from '../membership/index.js';
import {type Clock, type Metrics} from '../observability/index.js';
import {createConnectError} from './connect-error.js';

/** Dependencies of the operator service. */
export type OperatorServiceDependencies = {
	readonly membership: Membership;
	readonly configuration: ConfigurationReplica;
	readonly freshness: FreshnessTracker;
	readonly groups: GroupRegistry;
	readonly leases: LeaseRegistry;
	readonly limiter: AccountLimiter;
	readonly clock: Clock;
	readonly metrics: Metrics;
};

/** Number of changes in a history response if the request gives no limit. */
const defaultHistoryLength = 20;

/**
 * Creates an interceptor that rejects requests without a valid operator token.
 * @param tokenHashes - SHA-256 hashes of the valid tokens.
 */
export function createOperatorAuthInterceptor(tokenHashes: readonly string[]): Interceptor {
	return next => async request => {
		const hash = hashKey(getBearerToken(request.header.get('authorization') ?? '') ?? '');
		if (!tokenHashes.some(tokenHash => isSameHash(tokenHash, hash))) {
			throw new ConnectError('the operator token is missing or unknown', Code.Unauthenticated);
		}

		return next(request);
	};
}

/** Creates the routes of the operator service. */
export function createOperatorRoutes(dependencies: OperatorServiceDependencies): (router: ConnectRouter) => void {
	const {configuration} = dependencies;
	return router => {
		router.service(OperatorService, {
			getStatus: () => createStatusResponse(dependencies),
			getConfiguration: () => ({version: BigInt(configuration.version), rows: configuration.current.getRows().filter(row => !row.key.startsWith('secret/')) as never}),
			getHistory: request => ({changes: configuration.getHistory(request.limit || defaultHistoryLength).map(change => formatChange(change))}),
			applyChange: async request => applyChange(dependencies, request),
			getInForce: request => createInForceResponse(dependencies, Number(request.version)),
		});
	};
}

async function applyChange({configuration}: OperatorServiceDependencies, request: ApplyChangeRequest): Promise<MessageInitShape<typeof ApplyChangeResponseSchema>> {
	const result = await configuration.applyChangeRequest({
		expectedVersion: Number(request.expectedVersion),
		author: request.author,
		summary: request.summary,
		writeId: request.writeId,
		rows: request.rows.map(row => ({key: row.key, value: row.value})),
	});
	return result.caseOf<MessageInitShape<typeof ApplyChangeResponseSchema>>({
		Left(refusal) {
			throw createConnectError(refusal);
		},
		Right: applied => ({
			result: applied.kind,
			version: BigInt(applied.version),
			...(applied.kind === 'conflict' && applied.change !== undefined ? {conflicting: formatChange(applied.change)} : {}),
		}),
	});
}

function createInForceResponse({membership, configuration, freshness, clock}: OperatorServiceDependencies, version: number): MessageInitShape<typeof GetInForceResponseSchema> {
	const now = clock.getNow();
	const isLocalInForce = configuration.version >= version && freshness.isFresh(configuration.current.getVoterNames(), now);
	const isInForce = (peer: Peer) => peer.configurationVersion >= version && membership.isLive(peer, now);
	const {peers} = membership;
	const localName = membership.self.name;
	return {
		ownVersion: BigInt(configuration.version),
		inForce: [...isLocalInForce ? [localName] : [], ...peers.filter(peer => isInForce(peer)).map(peer => peer.name)].toSorted(),
		pending: [...isLocalInForce ? [] : [localName], ...peers.filter(peer => !isInForce(peer)).map(peer => peer.name)].toSorted(),
	};
}

function getPeerState(peer: Peer, isLive: boolean): string {
	if (!isLive) {
		return 'not heard';
	}

	return peer.isDraining ? 'draining' : 'live';
}

function createStatusResponse(dependencies: OperatorServiceDependencies): MessageInitShape<typeof GetStatusResponseSchema> {
	const {
		membership, configuration, freshness, groups, leases, limiter, clock, metrics,
	} = dependencies;
	const now = clock.getNow();
	const ageMs = freshness.getAgeMs(configuration.current.getVoterNames(), now);
	return {
		vm: membership.self.name,
		incarnation: membership.self.incarnation,
		state: membership.isDraining ? 'draining' : 'live',
		configurationVersion: BigInt(configuration.version),
		freshnessAgeMs: Number.isFinite(ageMs) ? ageMs : -1,
		leaseHolder: leases.participants.map(participant => participant.findHolderVm(now) ?? 'nobody').join(', '),
		vms: membership.peers.map(peer => ({
			name: peer.name, zone: peer.zone, state: getPeerState(peer, membership.isLive(peer, now)), configurationVersion: BigInt(peer.configurationVersion),
		})),
		instances: groups.getGroups().flatMap(group => group.state.instances.map(instance => ({
			endpoint: instance.name,
			group: group.state.name,
			role: instance.isReachable ? (instance.name === group.state.primaryName ? 'primary' : 'replica') : 'unreachable',
			term: BigInt(instance.term),
			offset: BigInt(instance.position.offset),
			connections: group.getPool(instance.name)?.openCount ?? 0,
			inUse: instance.inUse,
		}))),
		accounts: configuration.current.getAccountNames().map(account => ({
			account,
			rateFraction: limiter.getLocalRate(account) / configuration.current.getAccount(account)!.rate,
			tokens: limiter.getTokens(account),
			served: BigInt(metrics.getCount(`admitted.${account}`)),
			refused: BigInt(metrics.getCount(`refused.${account}`)),
		})),
		counters: metrics.getValues(),
		evacuatedZones: configuration.current.getEvacuatedZones(),
	};
}
