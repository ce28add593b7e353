import {type Either, Left} from 'purify-ts';
import {getRequestClass, type Session} from '@chicorysaddle/decisions';
import {type Refusal, refusals, type Route} from '@chicorysaddle/model';
import {type CallerIdentity} from '../access/index.js';
import {type Group} from '../groups/index.js';
import {type EndpointResponse} from './endpoint-response.js';
import {ReadRunner} from './read-runner.js';
import {type RequestContext} from './request-context.js';
import {getRecordId, hashBody, maxIdempotencyKeyLength} from './request-identity.js';
import {type RequestDependencies} from './request-dependencies.js';
import {WriteRunner} from './write-runner.js';

/** A request to a route. */
export type RouteRequest = {
	readonly route: string;
	readonly parameters: Readonly<Record<string, string>>;
	/** Session token, empty for a new session. */
	readonly session: string;
	/** Staleness that the caller accepts, in milliseconds; zero for the setting of the route. */
	readonly acceptedStalenessMs: number;
};

/** A response with the session token for the next request. */
export type RunResult = {readonly response: EndpointResponse; readonly session: string};

/** A refusal, with a new session token if the session changed and an empty one otherwise. */
export type RunRefusal = {readonly refusal: Refusal; readonly session: string};

type ValidRequest = {
	readonly route: Route;
	readonly group: Group;
	readonly caller: CallerIdentity;
	readonly session: Session;
};

/** Serves requests to routes: validates, admits and runs them, and updates their sessions. */
export class RequestRunner {
	readonly #readRunner: ReadRunner;
	readonly #writeRunner: WriteRunner;

	constructor(private readonly dependencies: RequestDependencies) {
		this.#readRunner = new ReadRunner(dependencies);
		this.#writeRunner = new WriteRunner(dependencies);
	}

	/** Serves one request. */
	async runRequest(request: RouteRequest, context: RequestContext): Promise<Either<RunRefusal, RunResult>> {
		const {metrics, clock} = this.dependencies;
		const startedAt = clock.getNow();
		const validated = this.#validateRequest(request, context);
		if (validated.isLeft()) {
			const refusal = validated.swap().unsafeCoerce();
			metrics.addCount(`refused_kind.${refusal.kind}`);
			return Left({refusal, session: ''});
		}

		const {route, caller, session} = validated.unsafeCoerce();
		const admitted = await this.admitRequest(caller, context);
		if (admitted.isLeft()) {
			return Left({refusal: admitted.extract(), session: ''});
		}

		this.dependencies.retryBudget.recordRequest();
		const result = route.access === 'read'
			? await this.#runRead(request, validated.unsafeCoerce(), context)
			: await this.#runWrite(request, validated.unsafeCoerce(), context);
		metrics.recordDuration('request', clock.getNow() - startedAt);
		return this.#completeRequest(result, route, session, caller);
	}

	/** Waits until the limits of the account admit a request. */
	async admitRequest(caller: CallerIdentity, context: RequestContext): Promise<Either<Refusal, void>> {
		const {limiter, clock, metrics} = this.dependencies;
		const startedAt = clock.getNow();
		const admitted = await limiter.admitRequest(caller.account, context.deadline);
		metrics.recordDuration('admission', clock.getNow() - startedAt);
		metrics.addCount(admitted.isRight() ? `admitted.${caller.account}` : `refused.${caller.account}`);
		return admitted;
	}

	#validateRequest(request: RouteRequest, context: RequestContext): Either<Refusal, ValidRequest> {
		const {configuration, authenticator, groups, sessions} = this.dependencies;
		const route = configuration.current.getRoute(request.route);
		const authenticated = authenticator.authenticateCaller(context.authorization, route?.open ?? false);
		return authenticated.chain(caller => {
			const group = route && groups.getGroup(route.group);
			if (route === undefined || group === undefined) {
				return Left(refusals.unknownRoute(request.route));
			}

			if (context.idempotencyKey.length > maxIdempotencyKeyLength) {
				return Left(refusals.invalid(`Idempotency-Key of ${context.idempotencyKey.length} characters; at most ${maxIdempotencyKeyLength}`));
			}

			return sessions.parseToken(request.session, caller.account).map(session => ({
				route, group, caller, session,
			}));
		});
	}

	async #runRead(request: RouteRequest, {route, group, caller, session}: ValidRequest, context: RequestContext): Promise<Either<Refusal, EndpointResponse>> {
		return this.#readRunner.runRead({
			route, group, caller,
			parameters: request.parameters,
			weight: this.#getWeight(caller),
			watermark: session.getWatermark(route.group),
			maxStalenessMs: request.acceptedStalenessMs || route.stalenessMs,
		}, context);
	}

	async #runWrite(request: RouteRequest, {route, group, caller}: ValidRequest, context: RequestContext): Promise<Either<Refusal, EndpointResponse>> {
		const {configuration, claims} = this.dependencies;
		const requestClass = getRequestClass('write', route.repeatable, configuration.current.isRecordingRequestIds(route.group));
		const bodyHash = hashBody(request.route, request.parameters);
		const recordId = getRecordId(caller.account, context.idempotencyKey || this.dependencies.createId());
		if (requestClass === 'unrecorded-write' && context.idempotencyKey !== '') {
			const claimed = await claims.claimRequest(recordId, bodyHash, this.dependencies.createId(), context.idempotencyKey);
			if (claimed.isLeft()) {
				return claimed;
			}
		}

		return this.#writeRunner.runWrite({
			route, group, caller, requestClass, recordId, bodyHash,
			parameters: request.parameters,
			weight: this.#getWeight(caller),
		}, context);
	}

	#completeRequest(result: Either<Refusal, EndpointResponse>, route: Route, session: Session, caller: CallerIdentity): Either<RunRefusal, RunResult> {
		const {sessions, metrics} = this.dependencies;
		return result.bimap(
			refusal => {
				metrics.addCount(`refused_kind.${refusal.kind}`);
				if (route.access === 'read' || refusal.hasNotRun) {
					return {refusal, session: ''};
				}

				session.recordUnknownWrite(route.group);
				return {refusal, session: sessions.formatToken(session, caller.account)};
			},
			response => {
				metrics.addCount(`served.${response.servedBy}`);
				session.recordPosition(route.group, response.position, response.servedBy === 'primary');
				return {response, session: sessions.formatToken(session, caller.account)};
			},
		);
	}

	#getWeight(caller: CallerIdentity): number {
		return this.dependencies.configuration.current.getAccount(caller.account)?.weight ?? 1;
	}
}

