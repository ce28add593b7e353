import {create} from '@bufbuild/protobuf';
import {type Either, Left, Right} from 'purify-ts';
import {ExecuteRequestSchema, type ExecuteResponse, Outcome} from '@chicorysaddle/protocol';
import {
	getFinalDecision, getRetryDecision, getRetryDelayMs, type ReadChoice, type RequestClass, type RequestStage,
} from '@chicorysaddle/decisions';
import {type Refusal, refusals, type Route} from '@chicorysaddle/model';
import {type CallerIdentity} from '../access/index.js';
import {parsePosition} from '../endpoints/index.js';
import {type Group, type Placement} from '../groups/index.js';
import {type EndpointResponse, parseEndpointResponse} from './endpoint-response.js';
import {type RequestContext} from './request-context.js';
import {type RequestDependencies} from './request-dependencies.js';
import {delay} from './delay.js';

/** One write, with the id under which the group may record it. */
export type WriteRequest = {
	readonly route: Route;
	readonly group: Group;
	readonly parameters: Readonly<Record<string, string>>;
	readonly caller: CallerIdentity;
	/** Weight of the account in the queue. */
	readonly weight: number;
	readonly requestClass: RequestClass;
	/** Id under which the group records a write of the class `recorded-write`. */
	readonly recordId: string;
	/** Hash of the route and parameters, by which a reuse of the id for another request is detected. */
	readonly bodyHash: string;
};

type AttemptResult =
	| {readonly kind: 'answered'; readonly response: EndpointResponse}
	| {readonly kind: 'failed'; readonly stage: RequestStage}
	| {readonly kind: 'refused'; readonly refusal: Refusal};

/** Runs writes on the primary and acknowledges them once a replica holds them in the same term. */
export class WriteRunner {
	constructor(private readonly dependencies: RequestDependencies) {}

	/** Runs a write and retries it where its request class allows it. */
	async runWrite(write: WriteRequest, context: RequestContext): Promise<Either<Refusal, EndpointResponse>> {
		const stages: RequestStage[] = [];
		for (let attempt = 0; ; attempt += 1) {
			const acquired = await this.#acquirePlacement(write, context);
			if (acquired.isLeft()) {
				return this.#createFinalRefusal(write, stages, acquired.extract());
			}

			const result = await this.#executeWrite(write, acquired.unsafeCoerce(), context);
			if (result.kind === 'answered') {
				return Right(result.response);
			}

			if (result.kind === 'refused') {
				return this.#createFinalRefusal(write, stages, result.refusal);
			}

			stages.push(result.stage);
			const refusal = await this.#waitForRetry(write, result.stage, attempt, context);
			if (refusal !== undefined) {
				return this.#createFinalRefusal(write, stages, refusal);
			}
		}
	}

	async #acquirePlacement(write: WriteRequest, context: RequestContext): Promise<Either<Refusal, Placement>> {
		const {clock, metrics} = this.dependencies;
		const startedAt = clock.getNow();
		const placement = await write.group.dispatcher.acquirePlacement({
			account: write.caller.account,
			priority: write.route.priority,
			weight: write.weight,
			deadline: context.deadline,
			chooseInstance: () => choosePrimary(write.group),
		});
		metrics.recordDuration('queue', clock.getNow() - startedAt);
		return placement;
	}

	async #executeWrite(write: WriteRequest, placement: Placement, context: RequestContext): Promise<AttemptResult> {
		const {authenticator, clock, metrics, tracing} = this.dependencies;
		const allowed = authenticator.checkIdentity(write.caller);
		if (allowed.isLeft()) {
			placement.release(true);
			return {kind: 'refused', refusal: allowed.extract()};
		}

		const {group} = write;
		const {term} = group.state;
		const sentAt = clock.getNow();
		const request = create(ExecuteRequestSchema, {
			requestId: this.dependencies.createId(),
			recordId: write.requestClass === 'recorded-write' ? write.recordId : '',
			bodyHash: write.bodyHash,
			statement: write.route.statement,
			parameters: write.parameters,
			write: true,
			term: BigInt(term),
		});
		const result = await tracing.runInSpan('endpoint execute', context.trace, async (spanContext, span) => {
			span.setAttributes({endpoint: placement.instance.name, group: group.state.name});
			return placement.connection.execute(request, {timeoutMs: context.deadline - sentAt, traceparent: tracing.formatTraceparent(spanContext)});
		});
		const durationMs = clock.getNow() - sentAt;
		metrics.recordDuration('endpoint', durationMs);
		if (result.isLeft()) {
			const failure = result.swap().unsafeCoerce();
			placement.release(false);
			if (failure.stage === 'unsent') {
				placement.instance.recordUnreachable(sentAt);
			}

			group.recordFailure(placement.instance);
			return {kind: 'failed', stage: failure.stage};
		}

		placement.instance.recordLatency(durationMs);
		group.recordResponse(placement.instance);
		placement.release(true);
		return this.#checkResponse(write, placement, term, result.unsafeCoerce(), context);
	}

	async #checkResponse(write: WriteRequest, placement: Placement, term: number, response: ExecuteResponse, context: RequestContext): Promise<AttemptResult> {
		if (response.outcome === Outcome.DONE) {
			return this.#waitForConfirmation(write, placement, term, response, context);
		}

		if (response.outcome === Outcome.RECORD_MISMATCH) {
			return {kind: 'refused', refusal: refusals.requestMismatch(context.idempotencyKey)};
		}

		if (response.outcome === Outcome.BAD_STATEMENT) {
			return {kind: 'refused', refusal: refusals.invalid(`route statement "${write.route.statement}" is not known to its group`)};
		}

		if (response.outcome === Outcome.WRONG_TERM) {
			void write.group.probeInstance(placement.instance);
		}

		return {kind: 'failed', stage: 'refused-by-endpoint'};
	}

	async #waitForConfirmation(write: WriteRequest, placement: Placement, term: number, response: ExecuteResponse, context: RequestContext): Promise<AttemptResult> {
		const {clock, metrics} = this.dependencies;
		const position = parsePosition(response.position);
		placement.instance.recordPosition(position, 0, clock.getNow());
		if (this.dependencies.acknowledge === 'at-once') {
			return {kind: 'answered', response: parseEndpointResponse(response, true)};
		}

		const startedAt = clock.getNow();
		const confirmation = await write.group.confirmer.waitForConfirmation(position, term, context.deadline);
		metrics.recordDuration('confirm', clock.getNow() - startedAt);
		return confirmation === 'confirmed'
			? {kind: 'answered', response: parseEndpointResponse(response, true)}
			: {kind: 'failed', stage: 'unconfirmed'};
	}

	/** Waits before a retry; returns a refusal if the write must not be retried. */
	async #waitForRetry(write: WriteRequest, stage: RequestStage, attempt: number, context: RequestContext): Promise<Refusal | undefined> {
		const {clock, retryBudget} = this.dependencies;
		if (getRetryDecision(write.requestClass, stage) !== 'retry') {
			return refusals.outcomeUnknown('the answer was lost');
		}

		const delayMs = getRetryDelayMs(attempt, this.dependencies.getRandom());
		if (clock.getNow() + delayMs >= context.deadline) {
			return refusals.deadlineNotRun();
		}

		if (stage !== 'refused-by-endpoint' && stage !== 'unsent' && !retryBudget.acquireRetry()) {
			return refusals.overloaded(write.group.state.name, delayMs);
		}

		await delay(delayMs);
		return undefined;
	}

	/** Refuses a write; it is reported as not run only if no attempt can have run. */
	#createFinalRefusal(write: WriteRequest, stages: readonly RequestStage[], refusal: Refusal): Either<Refusal, EndpointResponse> {
		const mayHaveRun = getFinalDecision(stages, write.requestClass) === 'refuse-unknown';
		if (!mayHaveRun || !refusal.hasNotRun) {
			return Left(refusal);
		}

		return Left(refusal.kind === 'deadline-not-run' ? refusals.deadlineUnknown() : refusals.outcomeUnknown(refusal.message));
	}
}

/** Chooses the primary, or waits if it has no capacity; chooses none if it is unreachable or the group has replicas and none of them can be reached to confirm writes. */
export function choosePrimary(group: Group): ReadChoice {
	const {primary, replicas} = group.state;
	if (!primary?.isReachable) {
		return {kind: 'none'};
	}

	const hasReachableReplica = replicas.length === 0 || replicas.some(replica => replica.isReachable);
	if (!hasReachableReplica) {
		return {kind: 'none'};
	}

	return primary.hasCapacity ? {kind: 'send', instance: primary, waitMs: 0} : {kind: 'wait'};
}
