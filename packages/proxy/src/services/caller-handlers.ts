import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {type Either, Left, Right} from 'purify-ts';
import {
	type BeginRequest, type BeginResponse, BeginResponseSchema, type CommitRequest, CommitRequestSchema,
	type RollBackRequest, RollBackRequestSchema, type RollBackResponse, RollBackResponseSchema, type RunInTransactionRequest, RunInTransactionRequestSchema,
	type RunRequest, type RunResponse, RunResponseSchema,
} from '@chicorysaddle/protocol';
import {
	type ErrorKind, isErrorKind, Refusal, refusals,
} from '@chicorysaddle/model';
import {type Membership} from '../membership/index.js';
import {type Clock, type Metrics, type Tracing} from '../observability/index.js';
import {
	type EndpointResponse, type RequestContext, type RequestRunner, type RunRefusal,
} from '../requests/index.js';
import {type TransactionRunner} from '../transactions/index.js';

/** A method that runs on the VM that holds the transaction. */
export type TransactionMethod = 'run' | 'commit' | 'roll-back';

/** Dependencies of the caller handlers. */
export type CallerHandlerDependencies = {
	readonly requests: RequestRunner;
	readonly transactions: TransactionRunner;
	readonly membership: Membership;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly tracing: Tracing;
};

type HandlerResult<T> = Promise<Either<RunRefusal, T>>;

/** Handlers of the caller service; the methods of a transaction are forwarded to the VM that holds it. */
export class CallerHandlers {
	constructor(private readonly dependencies: CallerHandlerDependencies) {}

	async run(request: RunRequest, context: RequestContext): HandlerResult<RunResponse> {
		const result = await this.dependencies.requests.runRequest({
			route: request.route, parameters: request.parameters, session: request.session, acceptedStalenessMs: request.acceptedStalenessMs,
		}, context);
		return result.map(({response, session}) => createRunResponse(response, session));
	}

	async begin(request: BeginRequest, context: RequestContext): HandlerResult<BeginResponse> {
		const result = await this.dependencies.transactions.beginTransaction(request.group, context);
		return result.bimap(createRunRefusal, transaction => create(BeginResponseSchema, {transaction}));
	}

	async runInTransaction(request: RunInTransactionRequest, context: RequestContext): HandlerResult<RunResponse> {
		const body = toBinary(RunInTransactionRequestSchema, request);
		const bytes = await this.#runOnHolder('run', request.transaction, body, context);
		return bytes.map(response => fromBinary(RunResponseSchema, response));
	}

	async commit(request: CommitRequest, context: RequestContext): HandlerResult<RunResponse> {
		const bytes = await this.#runOnHolder('commit', request.transaction, toBinary(CommitRequestSchema, request), context);
		return bytes.map(response => fromBinary(RunResponseSchema, response));
	}

	async rollBack(request: RollBackRequest, context: RequestContext): HandlerResult<RollBackResponse> {
		const bytes = await this.#runOnHolder('roll-back', request.transaction, toBinary(RollBackRequestSchema, request), context);
		return bytes.map(() => create(RollBackResponseSchema));
	}

	/** Runs a method of a transaction that this VM holds, on an encoded request, and returns the encoded response. */
	async runLocally(method: TransactionMethod, body: Uint8Array, context: RequestContext): HandlerResult<Uint8Array> {
		return this.#transactionMethods[method](body, context);
	}

	readonly #transactionMethods: Readonly<Record<TransactionMethod, (body: Uint8Array, context: RequestContext) => HandlerResult<Uint8Array>>> = {
		run: async (body, context) => {
			const request = fromBinary(RunInTransactionRequestSchema, body);
			const result = await this.dependencies.transactions.runStatement(request, context);
			return result.bimap(createRunRefusal, response => toBinary(RunResponseSchema, createRunResponse(response, '')));
		},
		commit: async (body, context) => {
			const request = fromBinary(CommitRequestSchema, body);
			const result = await this.dependencies.transactions.commitTransaction(request.transaction, request.session, context);
			return result.map(({response, session}) => toBinary(RunResponseSchema, createRunResponse(response, session)));
		},
		'roll-back': async (body, context) => {
			const request = fromBinary(RollBackRequestSchema, body);
			const result = await this.dependencies.transactions.rollBackTransaction(request.transaction, context);
			return result.bimap(createRunRefusal, () => toBinary(RollBackResponseSchema, create(RollBackResponseSchema)));
		},
	};

	async #runOnHolder(method: TransactionMethod, transaction: string, body: Uint8Array, context: RequestContext): HandlerResult<Uint8Array> {
		const [vm = '', incarnation = ''] = transaction.split('#');
		const {membership} = this.dependencies;
		if (vm === membership.self.name) {
			return incarnation === membership.self.incarnation
				? this.runLocally(method, body, context)
				: Left(createRunRefusal(refusals.transactionLost(transaction)));
		}

		return this.#forward(method, vm, transaction, body, context);
	}

	async #forward(method: TransactionMethod, vm: string, transaction: string, body: Uint8Array, context: RequestContext): HandlerResult<Uint8Array> {
		const {
			membership, clock, metrics, tracing,
		} = this.dependencies;
		const peer = membership.getPeer(vm);
		if (peer === undefined) {
			return Left(createRunRefusal(refusals.transactionNotFound(transaction)));
		}

		const startedAt = clock.getNow();
		// Connect accepts whole milliseconds only.
		const timeoutMs = Math.max(1, Math.floor(context.deadline - startedAt));
		try {
			const response = await tracing.runInSpan('peer forward', context.trace, async spanContext => peer.client.forward({
				method, body, authorization: context.authorization, idempotencyKey: context.idempotencyKey,
				timeoutMs, traceparent: tracing.formatTraceparent(spanContext),
			}, {timeoutMs}));
			metrics.recordDuration('forward', clock.getNow() - startedAt);
			return response.refusalKind === ''
				? Right(response.body)
				: Left({refusal: parseForwardedRefusal(response.refusalKind, response.refusalMessage, response.retryAfterMs), session: response.refusalSession});
		} catch {
			const refusal = method === 'commit' ? refusals.outcomeUnknown(`VM "${vm}" did not answer the commit`) : refusals.transactionLost(transaction);
			return Left(createRunRefusal(refusal));
		}
	}
}

/** Converts a refusal by the VM that a request was forwarded to; an unknown kind becomes `internal`. */
function parseForwardedRefusal(kind: string, message: string, retryAfterMs: number): Refusal {
	const errorKind: ErrorKind = isErrorKind(kind) ? kind : 'internal';
	return new Refusal(errorKind, message, retryAfterMs);
}

function createRunRefusal(refusal: Refusal): RunRefusal {
	return {refusal, session: ''};
}

function createRunResponse(response: EndpointResponse, session: string): RunResponse {
	return create(RunResponseSchema, {
		rows: response.rows, session, servedBy: response.servedBy, stalenessMs: response.stalenessMs, replayed: response.replayed,
	});
}
