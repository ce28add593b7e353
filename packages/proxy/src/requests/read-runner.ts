import {create} from '@bufbuild/protobuf';
import {type Either, Left, Right} from 'purify-ts';
import {type ExecuteResponse, ExecuteRequestSchema, Outcome} from '@chicorysaddle/protocol';
import {getRetryDelayMs, type SessionWatermark} from '@chicorysaddle/decisions';
import {
	isAtLeast, type Refusal, refusals, type Route,
} from '@chicorysaddle/model';
import {type CallerIdentity} from '../access/index.js';
import {formatPosition, parsePosition} from '../endpoints/index.js';
import {type Group, type Placement} from '../groups/index.js';
import {type EndpointResponse, parseEndpointResponse} from './endpoint-response.js';
import {type RequestContext} from './request-context.js';
import {type RequestDependencies} from './request-dependencies.js';
import {delay} from './delay.js';

/** One read, with what determines the instances that may run it. */
export type ReadRequest = {
	readonly route: Route;
	readonly group: Group;
	readonly parameters: Readonly<Record<string, string>>;
	readonly caller: CallerIdentity;
	/** Weight of the account in the queue. */
	readonly weight: number;
	/** Log position of the group that the response has to include, and whether only the primary may run the read. */
	readonly watermark: SessionWatermark;
	/** Maximum age of the data, in milliseconds; zero for no limit. */
	readonly maxStalenessMs: number;
};

type AttemptResult = {readonly kind: 'answered'; readonly response: EndpointResponse} | {readonly kind: 'failed'; readonly isEndpointRefusal: boolean};

/** Runs reads on replicas that have reached the session's position, or else on the primary. */
export class ReadRunner {
	constructor(private readonly dependencies: RequestDependencies) {}

	/** Runs a read; if an instance fails, retries it on another one. */
	async runRead(read: ReadRequest, context: RequestContext): Promise<Either<Refusal, EndpointResponse>> {
		const {authenticator, clock, retryBudget} = this.dependencies;
		const triedInstances = new Set<string>();
		for (let attempt = 0; ; attempt += 1) {
			const acquired = await this.#acquirePlacement(read, context, triedInstances);
			if (acquired.isLeft()) {
				return acquired;
			}

			const placement = acquired.unsafeCoerce();
			const allowed = authenticator.checkIdentity(read.caller);
			if (allowed.isLeft()) {
				placement.release(true);
				return allowed;
			}

			const result = await this.#executeRead(read, placement, context);
			if (result.kind === 'answered') {
				return Right(result.response);
			}

			triedInstances.add(placement.instance.name);
			if (!result.isEndpointRefusal && !retryBudget.acquireRetry()) {
				return Left(refusals.overloaded(read.group.state.name, getRetryDelayMs(attempt, this.dependencies.getRandom())));
			}

			if (triedInstances.size >= read.group.state.instances.length) {
				triedInstances.clear();
				await delay(Math.min(getRetryDelayMs(attempt, this.dependencies.getRandom()), Math.max(0, context.deadline - clock.getNow())));
			}
		}
	}

	async #acquirePlacement(read: ReadRequest, context: RequestContext, triedInstances: ReadonlySet<string>): Promise<Either<Refusal, Placement>> {
		const {router, clock, metrics} = this.dependencies;
		const startedAt = clock.getNow();
		const requirements = {
			position: read.watermark.position, primaryOnly: read.watermark.primaryOnly, maxStalenessMs: read.maxStalenessMs, tried: triedInstances,
		};
		const placement = await read.group.dispatcher.acquirePlacement({
			account: read.caller.account,
			priority: read.route.priority,
			weight: read.weight,
			deadline: context.deadline,
			chooseInstance: now => router.chooseInstance(read.group.state, requirements, now),
		});
		metrics.recordDuration('queue', clock.getNow() - startedAt);
		return placement;
	}

	async #executeRead(read: ReadRequest, placement: Placement, context: RequestContext): Promise<AttemptResult> {
		const {clock, metrics, tracing} = this.dependencies;
		const sentAt = clock.getNow();
		const request = create(ExecuteRequestSchema, {
			requestId: this.dependencies.createId(),
			statement: read.route.statement,
			parameters: read.parameters,
			atLeast: formatPosition(read.watermark.position),
			term: BigInt(read.group.state.term),
			maxWaitMs: placement.waitMs,
			maxStalenessMs: read.maxStalenessMs,
		});
		const result = await tracing.runInSpan('endpoint execute', context.trace, async (spanContext, span) => {
			span.setAttributes({endpoint: placement.instance.name, group: read.group.state.name});
			return placement.connection.execute(request, {timeoutMs: context.deadline - sentAt, traceparent: tracing.formatTraceparent(spanContext)});
		});
		const durationMs = clock.getNow() - sentAt;
		metrics.recordDuration('endpoint', durationMs);
		return result.caseOf<AttemptResult>({
			Left(failure) {
				placement.release(false);
				if (failure.stage === 'unsent') {
					placement.instance.recordUnreachable(sentAt);
				}

				read.group.recordFailure(placement.instance);
				return {kind: 'failed', isEndpointRefusal: false};
			},
			Right: response => {
				placement.instance.recordLatency(durationMs);
				read.group.recordResponse(placement.instance);
				placement.release(true);
				return this.#checkResponse(read, placement, response, sentAt);
			},
		});
	}

	#checkResponse(read: ReadRequest, placement: Placement, response: ExecuteResponse, sentAt: number): AttemptResult {
		const position = parsePosition(response.position);
		placement.instance.recordPosition(position, response.stalenessMs, sentAt);
		const isPrimary = placement.instance.name === read.group.state.primaryName;
		const isFreshEnough = read.maxStalenessMs === 0 || isPrimary || response.stalenessMs <= read.maxStalenessMs;
		const isUsable = response.outcome === Outcome.DONE && isAtLeast(position, read.watermark.position) && isFreshEnough;
		return isUsable ? {kind: 'answered', response: parseEndpointResponse(response, isPrimary)} : {kind: 'failed', isEndpointRefusal: true};
	}
}
