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

/** One write, with the identity under which it is recorded. */
export type WriteRequest = {
	readonly route: Route;
	readonly group: Group;
	readonly parameters: Readonly<Record<string, string>>;
	readonly caller: CallerIdentity;
	readonly weight: number;
	readonly requestClass: RequestClass;
	readonly recordId: string;
	readonly bodyHash: string;
};

type AttemptResult =
	| {readonly kind: 'answered'; readonly answer: EndpointResponse}
	| {readonly kind: 'failed'; readonly stage: RequestStage}
	| {readonly kind: 'refused'; readonly refusal: Refusal};

/** Runs writes on the primary and acknowledges them once a replica holds them in the same term. */
export class WriteRunner {
	constructor(private readonly dependencies: RequestDependencies) {}

	/** Runs a write, again where its class allows that. */
	async runWrite(write: WriteRequest, context: RequestContext): Promise<Either<Refusal, EndpointResponse>> {
		const stages: RequestStage[] = [];
		for (let attempt = 0; ; attempt += 1) {
			const slot = await this.#acquirePlacement(write, context);
			if (slot.isLeft()) {
				return this.#createFinalRefusal(write, stages, slot.extract());
			}

			const result = await this.#executeWrite(write, slot.unsafeCoerce(), context);
			if (result.kind === 'answered') {
				return Right(result.answer);
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
		const slot = await write.group.dispatcher.acquirePlacement({
			account: write.caller.account,
			priority: write.route.priority,
			weight: write.weight,
			deadline: context.deadline,
			chooseInstance: () => choosePrimary(write.group),
		});
		metrics.recordDuration('queue', clock.getNow() - startedAt);
		return slot;
	}

	async #executeWrite(write: WriteRequest, slot: Placement, context: RequestContext): Promise<AttemptResult> {
		const {authenticator: gate, clock, metrics, tracing} = this.dependencies;
		const allowed = gate.checkIdentity(write.caller);
		if (allowed.isLeft()) {
			slot.release(true);
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
		const result = await tracing.runInSpan('endpoint execute', context.trace, async (own, span) => {
			span.setAttributes({endpoint: slot.instance.name, group: group.state.name});
			return slot.connection.execute(request, {timeoutMs: context.deadline - sentAt, traceparent: tracing.formatTraceparent(own)});
		});
		const durationMs = clock.getNow() - sentAt;
		metrics.recordDuration('endpoint', durationMs);
		if (result.isLeft()) {
			const failure = result.swap().unsafeCoerce();
			slot.release(false);
			if (failure.stage === 'unsent') {
				slot.instance.observeUnreachable(sentAt);
			}

			group.observeFailure(slot.instance);
			return {kind: 'failed', stage: failure.stage};
		}

		slot.instance.observeLatency(durationMs);
		group.observeResponse(slot.instance);
		slot.release(true);
		return this.#checkResponse(write, slot, term, result.unsafeCoerce(), context);
	}

	async #checkResponse(write: WriteRequest, slot: Placement, term: number, response: ExecuteResponse, context: RequestContext): Promise<AttemptResult> {
		if (response.outcome === Outcome.DONE) {
			return this.#waitForConfirmation(write, slot, term, response, context);
		}

		if (response.outcome === Outcome.RECORD_MISMATCH) {
			return {kind: 'refused', refusal: refusals.requestMismatch(context.idempotencyKey)};
		}

		if (response.outcome === Outcome.BAD_STATEMENT) {
			return {kind: 'refused', refusal: refusals.invalid(`route statement "${write.route.statement}" is not known to its group`)};
		}

		if (response.outcome === Outcome.WRONG_TERM) {
			void write.group.probeInstance(slot.instance);
		}

		return {kind: 'failed', stage: 'refused-by-endpoint'};
	}

	async #waitForConfirmation(write: WriteRequest, slot: Placement, term: number, response: ExecuteResponse, context: RequestContext): Promise<AttemptResult> {
		const {clock, metrics} = this.dependencies;
		const position = parsePosition(response.position);
		slot.instance.observePosition(position, 0, clock.getNow());
		if (this.dependencies.acknowledge === 'at-once') {
			return {kind: 'answered', answer: parseEndpointResponse(response, true)};
		}

		const startedAt = clock.getNow();
		const confirmation = await write.group.confirmer.waitForConfirmation(position, term, context.deadline);
		metrics.recordDuration('confirm', clock.getNow() - startedAt);
		return confirmation === 'confirmed'
			? {kind: 'answered', answer: parseEndpointResponse(response, true)}
			: {kind: 'failed', stage: 'unconfirmed'};
	}

	/** Returns why the write is not tried again, undefined when it is. */
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

	/** "Not run" is said only when no sending of the write can have run. */
	#createFinalRefusal(write: WriteRequest, stages: readonly RequestStage[], refusal: Refusal): Either<Refusal, EndpointResponse> {
		const mayHaveRun = getFinalDecision(stages, write.requestClass) === 'refuse-unknown';
		if (!mayHaveRun || !refusal.hasNotRun) {
			return Left(refusal);
		}

		return Left(refusal.kind === 'deadline-not-run' ? refusals.deadlineUnknown() : refusals.outcomeUnknown(refusal.message));
	}
}

/** Chooses the primary where it can take a write whose replicas can confirm it. */
export function choosePrimary(group: Group): ReadChoice {
	const {primary, replicas} = group.state;
	if (!primary?.isReachable) {
		return {kind: 'none'};
	}

	const hasReplica = replicas.length === 0 || replicas.some(replica => replica.isReachable);
	if (!hasReplica) {
		return {kind: 'none'};
	}

	return primary.hasCapacity ? {kind: 'send', instance: primary, waitMs: 0} : {kind: 'wait'};
}
