import {
	Code, ConnectError, type ConnectRouter, type Interceptor,
} from '@connectrpc/connect';
import {type MessageInitShape} from '@bufbuild/protobuf';
import {type ForwardRequest, type ForwardResponseSchema, PeerService} from '@chicorysaddle/protocol';
import {type FreshnessTracker} from '@chicorysaddle/decisions';
import {hashKey, isSameHash} from '../access/index.js';
import {type ConfigurationReplica, parseChange} from '../configuration/index.js';
import {
	formatGrant, type LeaseRegistry, type AccountLimiter, parseAllocatorState, parseReport,
} from '../limits/index.js';
import {type PeerStateExchange, type Membership, peerSecretHeader} from '../membership/index.js';
import {type Clock, type Tracing} from '../observability/index.js';
import {type CallerHandlers, type TransactionMethod} from './caller-handlers.js';

/** Dependencies of the peer service. */
export type PeerServiceDependencies = {
	readonly membership: Membership;
	readonly exchange: PeerStateExchange;
	readonly configuration: ConfigurationReplica;
	readonly freshness: FreshnessTracker;
	readonly leases: LeaseRegistry;
	readonly limiter: AccountLimiter;
	readonly handlers: CallerHandlers;
	readonly clock: Clock;
	readonly tracing: Tracing;
};

const transactionMethods: ReadonlySet<string> = new Set<TransactionMethod>(['run', 'commit', 'roll-back']);

/** Creates an interceptor that rejects requests without the peer secret. */
export function createPeerAuthInterceptor(secret: string): Interceptor {
	const expected = hashKey(secret);
	return next => async request => {
		if (!isSameHash(hashKey(request.header.get(peerSecretHeader) ?? ''), expected)) {
			throw new ConnectError('not a peer', Code.Unauthenticated);
		}

		return next(request);
	};
}

/** Creates the routes of the peer service. */
export function createPeerRoutes(dependencies: PeerServiceDependencies): (router: ConnectRouter) => void {
	const {
		membership, exchange, configuration, freshness, leases, limiter,
	} = dependencies;
	return router => {
		router.service(PeerService, {
			exchange: request => exchange.handleRequest(request),
			pullConfiguration: request => configuration.createPullResponse(Number(request.fromVersion)),
			pushConfiguration(request) {
				configuration.applyChanges(request.changes.map(change => parseChange(change)));
				return {version: BigInt(configuration.version), synchronized: freshness.isSynchronized, vm: membership.self.name};
			},
			promiseLease(request) {
				const participant = leases.getParticipant(request.lease);
				if (participant === undefined) {
					return {promised: false};
				}

				const response = participant.handlePromiseRequest({
					holder: request.holder, term: Number(request.term), durationMs: request.durationMs, predecessor: request.predecessor,
				}, Number(request.configurationVersion));
				return {...response, term: BigInt(response.term), remainingMs: Math.ceil(response.remainingMs)};
			},
			releaseLease(request) {
				leases.getParticipant(request.lease)?.releasePromise(request.holder);
				return {};
			},
			reportDemand: request => formatGrant(limiter.handleReport(parseReport(request), request.lease)),
			handOver: async request => ({taken: await limiter.takeOver(request.lease, request.holder, Number(request.term), parseAllocatorState(request))}),
			forward: async request => runForwardedRequest(dependencies, request),
		});
	};
}

async function runForwardedRequest({handlers, clock, tracing}: PeerServiceDependencies, request: ForwardRequest): Promise<MessageInitShape<typeof ForwardResponseSchema>> {
	if (!transactionMethods.has(request.method)) {
		throw new ConnectError(`no method "${request.method}"`, Code.Unimplemented);
	}

	const parent = tracing.parseTraceparent(request.traceparent);
	const result = await tracing.runInSpan(`forwarded ${request.method}`, parent, async trace => handlers.runLocally(request.method as TransactionMethod, request.body, {
		authorization: request.authorization,
		idempotencyKey: request.idempotencyKey,
		deadline: clock.getNow() + request.timeoutMs,
		trace,
	}));
	return result.caseOf<MessageInitShape<typeof ForwardResponseSchema>>({
		Left: ({refusal, session}) => ({
			refusalKind: refusal.kind, refusalMessage: refusal.message, retryAfterMs: Math.ceil(refusal.retryAfterMs), refusalSession: session,
		}),
		Right: body => ({body}),
	});
}
