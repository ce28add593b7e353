import {type Either, Left} from 'purify-ts';
import {getRequestClass, type Session} from '@chicorysaddle/decisions';
import {type Refusal, refusals, type Route} from '@chicorysaddle/model';
import {type CallerIdentity} from '../access/index.js';
import {type Group} from '../groups/index.js';
import {type Answer} from './answer.js';
import {ReadRunner} from './read-runner.js';
import {type RequestContext} from './request-context.js';
import {getRecordId, hashBody, maxIdempotencyKeyLength} from './request-identity.js';
import {type RequestParts} from './request-parts.js';
import {WriteRunner} from './write-runner.js';

/** A request on a route. */
export type RouteRequest = {
	readonly route: string;
	readonly parameters: Readonly<Record<string, string>>;
	readonly session: string;
	/** Staleness the caller accepts; zero takes the route's. */
	readonly acceptedStalenessMs: number;
};

/** An answer with the session token to use from now on. */
export type RunResult = {readonly answer: Answer; readonly session: string};

/** A refusal, with a session token where the refusal changed the session. */
export type RunRefusal = {readonly refusal: Refusal; readonly session: string};

type CheckedRequest = {
	readonly route: Route;
	readonly group: Group;
	readonly caller: CallerIdentity;
	readonly session: Session;
};

/** Serves requests on routes: checks, admits, queues, runs and answers them. */
export class RequestRunner {
	readonly #reads: ReadRunner;
	readonly #writes: WriteRunner;

	constructor(private readonly parts: RequestParts) {
		this.#reads = new ReadRunner(parts);
		this.#writes = new WriteRunner(parts);
	}

	/** Serves one request. */
	async runRequest(request: RouteRequest, context: RequestContext): Promise<Either<RunRefusal, RunResult>> {
		const {metrics, clock} = this.parts;
		const startedAt = clock.getNow();
		const checked = this.#checkRequest(request, context);
		if (checked.isLeft()) {
			const refusal = checked.swap().unsafeCoerce();
			metrics.addCount(`refused_kind.${refusal.kind}`);
			return Left({refusal, session: ''});
		}

		const {route, caller, session} = checked.unsafeCoerce();
		const admitted = await this.admit(caller, context);
		if (admitted.isLeft()) {
			return Left({refusal: admitted.extract(), session: ''});
		}

		this.parts.retryBudget.observeRequest();
		const result = route.access === 'read'
			? await this.#runRead(request, checked.unsafeCoerce(), context)
			: await this.#runWrite(request, checked.unsafeCoerce(), context);
		metrics.recordDuration('request', clock.getNow() - startedAt);
		return this.#finish(result, route, session, caller);
	}

	/** Waits until the account's limits let a request through. */
	async admit(caller: CallerIdentity, context: RequestContext): Promise<Either<Refusal, void>> {
		const {limiter, clock, metrics} = this.parts;
		const startedAt = clock.getNow();
		const admitted = await limiter.admitRequest(caller.account, context.deadline);
		metrics.recordDuration('admission', clock.getNow() - startedAt);
		metrics.addCount(admitted.isRight() ? `admitted.${caller.account}` : `refused.${caller.account}`);
		return admitted;
	}

	#checkRequest(request: RouteRequest, context: RequestContext): Either<Refusal, CheckedRequest> {
		const {configuration, gate, groups, sessions} = this.parts;
		const route = configuration.current.getRoute(request.route);
		const identified = gate.identifyCaller(context.authorization, route?.open ?? false);
		return identified.chain(caller => {
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

	async #runRead(request: RouteRequest, {route, group, caller, session}: CheckedRequest, context: RequestContext): Promise<Either<Refusal, Answer>> {
		return this.#reads.runRead({
			route, group, caller,
			parameters: request.parameters,
			weight: this.#getWeight(caller),
			mark: session.getWatermark(route.group),
			maxStalenessMs: request.acceptedStalenessMs || route.stalenessMs,
		}, context);
	}

	async #runWrite(request: RouteRequest, {route, group, caller}: CheckedRequest, context: RequestContext): Promise<Either<Refusal, Answer>> {
		const {configuration, claims} = this.parts;
		const requestClass = getRequestClass('write', route.repeatable, configuration.current.isRecordingRequestIds(route.group));
		const bodyHash = hashBody(request.route, request.parameters);
		const recordId = getRecordId(caller.account, context.idempotencyKey || this.parts.createId());
		if (requestClass === 'unrecorded-write' && context.idempotencyKey !== '') {
			const claimed = await claims.claimRequest(recordId, bodyHash, this.parts.createId(), context.idempotencyKey);
			if (claimed.isLeft()) {
				return claimed;
			}
		}

		return this.#writes.runWrite({
			route, group, caller, requestClass, recordId, bodyHash,
			parameters: request.parameters,
			weight: this.#getWeight(caller),
		}, context);
	}

	#finish(result: Either<Refusal, Answer>, route: Route, session: Session, caller: CallerIdentity): Either<RunRefusal, RunResult> {
		const {sessions, metrics} = this.parts;
		return result.bimap(
			refusal => {
				metrics.addCount(`refused_kind.${refusal.kind}`);
				if (route.access === 'read' || refusal.hasNotRun) {
					return {refusal, session: ''};
				}

				session.observeUnknownWrite(route.group);
				return {refusal, session: sessions.formatToken(session, caller.account)};
			},
			answer => {
				metrics.addCount(`served.${answer.servedBy}`);
				session.observePosition(route.group, answer.position, answer.servedBy === 'primary');
				return {answer, session: sessions.formatToken(session, caller.account)};
			},
		);
	}

	#getWeight(caller: CallerIdentity): number {
		return this.parts.configuration.current.getAccount(caller.account)?.weight ?? 1;
	}
}

