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

/** One read, with everything that decides where it may run. */
export type ReadRequest = {
	readonly route: Route;
	readonly group: Group;
	readonly parameters: Readonly<Record<string, string>>;
	readonly caller: CallerIdentity;
	readonly weight: number;
	readonly watermark: SessionWatermark;
	/** Age of data that the read accepts; zero asks for none in particular. */
	readonly maxStalenessMs: number;
};

type AttemptResult = {readonly kind: 'answered'; readonly answer: EndpointResponse} | {readonly kind: 'failed'; readonly isEndpointRefusal: boolean};

/** Runs reads on replicas that have what the session has seen, else on the primary. */
export class ReadRunner {
	constructor(private readonly dependencies: RequestDependencies) {}

	/** Runs a read, moving on to another instance when one fails. */
	async runRead(read: ReadRequest, context: RequestContext): Promise<Either<Refusal, EndpointResponse>> {
		const {authenticator: gate, clock, retryBudget} = this.dependencies;
		const tried = new Set<string>();
		for (let attempt = 0; ; attempt += 1) {
			const slot = await this.#acquirePlacement(read, context, tried);
			if (slot.isLeft()) {
				return slot;
			}

			const held = slot.unsafeCoerce();
			const allowed = gate.checkIdentity(read.caller);
			if (allowed.isLeft()) {
				held.release(true);
				return allowed;
			}

			const result = await this.#executeRead(read, held, context);
			if (result.kind === 'answered') {
				return Right(result.answer);
			}

			tried.add(held.instance.name);
			if (!result.isEndpointRefusal && !retryBudget.acquireRetry()) {
				return Left(refusals.overloaded(read.group.state.name, getRetryDelayMs(attempt, this.dependencies.getRandom())));
			}

			if (tried.size >= read.group.state.instances.length) {
				tried.clear();
				await delay(Math.min(getRetryDelayMs(attempt, this.dependencies.getRandom()), Math.max(0, context.deadline - clock.getNow())));
			}
		}
	}

	async #acquirePlacement(read: ReadRequest, context: RequestContext, tried: ReadonlySet<string>): Promise<Either<Refusal, Placement>> {
		const {router, clock, metrics} = this.dependencies;
		const startedAt = clock.getNow();
		const need = {
			position: read.watermark.position, primaryOnly: read.watermark.primaryOnly, maxStalenessMs: read.maxStalenessMs, tried,
		};
		const slot = await read.group.dispatcher.acquirePlacement({
			account: read.caller.account,
			priority: read.route.priority,
			weight: read.weight,
			deadline: context.deadline,
			chooseInstance: now => router.chooseInstance(read.group.state, need, now),
		});
		metrics.recordDuration('queue', clock.getNow() - startedAt);
		return slot;
	}

	async #executeRead(read: ReadRequest, slot: Placement, context: RequestContext): Promise<AttemptResult> {
		const {clock, metrics, tracing} = this.dependencies;
		const sentAt = clock.getNow();
		const request = create(ExecuteRequestSchema, {
			requestId: this.dependencies.createId(),
			statement: read.route.statement,
			parameters: read.parameters,
			atLeast: formatPosition(read.watermark.position),
			term: BigInt(read.group.state.term),
			maxWaitMs: slot.waitMs,
			maxStalenessMs: read.maxStalenessMs,
		});
		const result = await tracing.runInSpan('endpoint execute', context.trace, async (own, span) => {
			span.setAttributes({endpoint: slot.instance.name, group: read.group.state.name});
			return slot.connection.execute(request, {timeoutMs: context.deadline - sentAt, traceparent: tracing.formatTraceparent(own)});
		});
		const durationMs = clock.getNow() - sentAt;
		metrics.recordDuration('endpoint', durationMs);
		return result.caseOf<AttemptResult>({
			Left(failure) {
				slot.release(false);
				if (failure.stage === 'unsent') {
					slot.instance.observeUnreachable(sentAt);
				}

				read.group.observeFailure(slot.instance);
				return {kind: 'failed', isEndpointRefusal: false};
			},
			Right: response => {
				slot.instance.observeLatency(durationMs);
				read.group.observeResponse(slot.instance);
				slot.release(true);
				return this.#checkResponse(read, slot, response, sentAt);
			},
		});
	}

	#checkResponse(read: ReadRequest, slot: Placement, response: ExecuteResponse, sentAt: number): AttemptResult {
		const position = parsePosition(response.position);
		slot.instance.observePosition(position, response.stalenessMs, sentAt);
		const isPrimary = slot.instance.name === read.group.state.primaryName;
		const isYoungEnough = read.maxStalenessMs === 0 || isPrimary || response.stalenessMs <= read.maxStalenessMs;
		const isUsable = response.outcome === Outcome.DONE && isAtLeast(position, read.watermark.position) && isYoungEnough;
		return isUsable ? {kind: 'answered', answer: parseEndpointResponse(response, isPrimary)} : {kind: 'failed', isEndpointRefusal: true};
	}
}
