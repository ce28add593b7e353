import {create} from '@bufbuild/protobuf';
import {type Either, Left, Right} from 'purify-ts';
import {
	type ExecuteRequest, ExecuteRequestSchema, type ExecuteResponse, Outcome, Step,
} from '@chicorysaddle/protocol';
import {type Refusal, refusals, type Route} from '@chicorysaddle/model';
import {type EndpointFailure, parsePosition} from '../endpoints/index.js';
import {
	type EndpointResponse, choosePrimary, getRecordId, hashBody, parseEndpointResponse, type RequestContext, type RequestDependencies, type RequestRunner, type RunRefusal, type RunResult,
} from '../requests/index.js';
import {isTransactionLost, type Transaction} from './transaction.js';
import {type TransactionRegistry} from './transaction-registry.js';

/** Number of connections to an instance that the transactions of this VM leave to other requests. */
const connectionsReservedForRequests = 1;

/** A statement of a transaction. */
export type StatementRequest = {
	/** Id of the transaction. */
	readonly transaction: string;
	readonly route: string;
	readonly parameters: Readonly<Record<string, string>>;
};

/** Dependencies of transactions, besides those of single requests. */
export type TransactionDependencies = RequestDependencies & {
	readonly registry: TransactionRegistry;
	readonly requests: RequestRunner;
	/** Prefix of transaction ids: VM and incarnation of this process. */
	readonly idPrefix: string;
};

/** Serves interactive transactions, each on its own connection. */
export class TransactionRunner {
	constructor(private readonly dependencies: TransactionDependencies) {}

	/** Begins a transaction on the primary of a group and returns its id. */
	async beginTransaction(groupName: string, context: RequestContext): Promise<Either<Refusal, string>> {
		const {authenticator, groups, requests} = this.dependencies;
		const authenticated = authenticator.authenticateCaller(context.authorization, false);
		const group = groups.getGroup(groupName);
		if (authenticated.isLeft() || group === undefined) {
			return authenticated.isLeft() ? (authenticated) : Left(refusals.invalid(`no database group "${groupName}"`));
		}

		const caller = authenticated.unsafeCoerce();
		const admitted = await requests.admitRequest(caller, context);
		if (admitted.isLeft()) {
			return admitted;
		}

		const acquired = await group.dispatcher.acquirePlacement({
			account: caller.account, priority: 'normal', weight: 1, deadline: context.deadline,
			chooseInstance: () => {
				const choice = choosePrimary(group);
				const pool = choice.kind === 'send' ? group.getPool(choice.instance.name) : undefined;
				return choice.kind === 'send' && this.dependencies.registry.countTransactionsOn(choice.instance.name) >= (pool?.maxRequestConnections ?? 0) - connectionsReservedForRequests ? {kind: 'wait'} : choice;
			},
		});
		if (acquired.isLeft()) {
			return acquired;
		}

		const allowed = authenticator.checkIdentity(caller);
		if (allowed.isLeft()) {
			acquired.unsafeCoerce().release(true);
			return allowed;
		}

		const transaction = this.dependencies.registry.addTransaction({
			id: `${this.dependencies.idPrefix}#${this.dependencies.createId()}`, caller, group, placement: acquired.unsafeCoerce(), term: group.state.term,
		});
		return this.#executeBegin(transaction, context);
	}

	/** Runs a statement inside a transaction. */
	async runStatement(request: StatementRequest, context: RequestContext): Promise<Either<Refusal, EndpointResponse>> {
		const route = this.dependencies.configuration.current.getRoute(request.route);
		const found = this.#findTransaction(request.transaction, context);
		if (found.isLeft()) {
			return found;
		}

		const transaction = found.unsafeCoerce();
		if (route?.group !== transaction.groupName) {
			return Left(refusals.unknownRoute(request.route));
		}

		transaction.isBusy = true;
		const admitted = await this.dependencies.requests.admitRequest(transaction.caller, context);
		const allowed = admitted.chain(() => this.dependencies.authenticator.checkIdentity(transaction.caller));
		if (allowed.isLeft()) {
			this.dependencies.registry.setIdle(transaction);
			return allowed;
		}

		return this.#executeStatement(transaction, route, request, context);
	}

	/** Commits a transaction and waits until a replica holds it, unless writes are acknowledged at once. */
	async commitTransaction(id: string, sessionToken: string, context: RequestContext): Promise<Either<RunRefusal, RunResult>> {
		const {sessions} = this.dependencies;
		const found = this.#findTransaction(id, context);
		if (found.isLeft()) {
			return found.mapLeft(refusal => ({refusal, session: ''}));
		}

		const transaction = found.unsafeCoerce();
		const {account} = transaction.caller;
		const parsed = sessions.parseToken(sessionToken, account);
		if (parsed.isLeft()) {
			return Left({refusal: parsed.extract(), session: ''});
		}

		const session = parsed.unsafeCoerce();
		transaction.isBusy = true;
		const committed = await this.#executeCommit(transaction, context);
		this.dependencies.registry.removeTransaction(transaction, committed.isRight());
		return committed.bimap(
			refusal => {
				if (refusal.hasNotRun) {
					return {refusal, session: ''};
				}

				session.recordUnknownWrite(transaction.groupName);
				return {refusal, session: sessions.formatToken(session, account)};
			},
			response => {
				session.recordPosition(transaction.groupName, response.position, true);
				return {response, session: sessions.formatToken(session, account)};
			},
		);
	}

	/** Rolls a transaction back. */
	async rollBackTransaction(id: string, context: RequestContext): Promise<Either<Refusal, void>> {
		const found = this.#findTransaction(id, context);
		if (found.isLeft()) {
			return found;
		}

		const transaction = found.unsafeCoerce();
		transaction.isBusy = true;
		const rolledBack = await this.#execute(transaction, create(ExecuteRequestSchema, {step: Step.ROLL_BACK}), context);
		this.dependencies.registry.removeTransaction(transaction, rolledBack.map(response => response.outcome === Outcome.DONE).orDefault(false));
		return Right(undefined);
	}

	async #executeBegin(transaction: Transaction, context: RequestContext): Promise<Either<Refusal, string>> {
		const {registry} = this.dependencies;
		transaction.isBusy = true;
		const begun = await this.#execute(transaction, create(ExecuteRequestSchema, {step: Step.BEGIN, term: BigInt(transaction.term)}), context);
		if (begun.map(response => response.outcome === Outcome.DONE).orDefault(false)) {
			registry.setIdle(transaction);
			return Right(transaction.id);
		}

		registry.removeTransaction(transaction, false);
		transaction.group.recordFailure(transaction.placement.instance);
		return Left(refusals.noPrimary(transaction.groupName));
	}

	#findTransaction(id: string, context: RequestContext): Either<Refusal, Transaction> {
		const {authenticator, registry} = this.dependencies;
		return authenticator.authenticateCaller(context.authorization, false).chain(caller => {
			const transaction = registry.getTransaction(id);
			if (transaction === undefined) {
				return Left(registry.isEvacuated(id) ? refusals.transactionLost(id) : refusals.transactionNotFound(id));
			}

			if (transaction.caller.account !== caller.account) {
				return Left(refusals.forbidden('the transaction'));
			}

			if (transaction.isBusy) {
				return Left(refusals.invalid('a statement of this transaction is still running'));
			}

			if (transaction.placement.instance.isCutOff) {
				registry.removeEvacuatedTransaction(transaction);
				return Left(refusals.transactionLost(id));
			}

			if (isTransactionLost(transaction)) {
				registry.removeTransaction(transaction, false);
				return Left(refusals.transactionLost(id));
			}

			transaction.caller = caller;
			return Right(transaction);
		});
	}

	async #executeStatement(transaction: Transaction, route: Route, request: StatementRequest, context: RequestContext): Promise<Either<Refusal, EndpointResponse>> {
		const {registry} = this.dependencies;
		const result = await this.#execute(transaction, create(ExecuteRequestSchema, {
			statement: route.statement,
			parameters: request.parameters,
			write: route.access === 'write',
			step: Step.STATEMENT,
			term: BigInt(transaction.term),
		}), context);
		const isDone = result.map(response => response.outcome === Outcome.DONE).orDefault(false);
		if (isDone) {
			registry.setIdle(transaction);
			return Right(parseEndpointResponse(result.unsafeCoerce(), true));
		}

		// Nothing is durable before the commit, so closing the connection rolls the whole transaction back.
		registry.removeTransaction(transaction, false);
		return Left(refusals.transactionLost(transaction.id));
	}

	async #executeCommit(transaction: Transaction, context: RequestContext): Promise<Either<Refusal, EndpointResponse>> {
		const recordId = context.idempotencyKey === '' ? '' : getRecordId(transaction.caller.account, context.idempotencyKey);
		const result = await this.#execute(transaction, create(ExecuteRequestSchema, {
			step: Step.COMMIT, term: BigInt(transaction.term), recordId, bodyHash: hashBody(transaction.id, {}),
		}), context);
		if (result.isLeft()) {
			const failure = result.swap().unsafeCoerce();
			return Left(failure.stage === 'unsent' ? refusals.transactionLost(transaction.id) : refusals.outcomeUnknown('the answer to the commit was lost'));
		}

		const response = result.unsafeCoerce();
		if (response.outcome !== Outcome.DONE) {
			return Left(response.outcome === Outcome.RECORD_MISMATCH ? refusals.requestMismatch(context.idempotencyKey) : refusals.transactionLost(transaction.id));
		}

		const position = parsePosition(response.position);
		const confirmation = this.dependencies.acknowledge === 'at-once' ? 'confirmed' : await transaction.group.confirmer.waitForConfirmation(position, transaction.term, context.deadline);
		return confirmation === 'confirmed' ? Right(parseEndpointResponse(response, true)) : Left(refusals.outcomeUnknown('no replica confirmed the commit'));
	}

	async #execute(transaction: Transaction, request: ExecuteRequest, context: RequestContext): Promise<Either<EndpointFailure, ExecuteResponse>> {
		const {clock, tracing} = this.dependencies;
		if (isTransactionLost(transaction) || transaction.placement.instance.isCutOff) {
			return Left({stage: 'unsent', message: 'the connection was lost'});
		}

		request.requestId = this.dependencies.createId();
		return tracing.runInSpan('endpoint execute', context.trace, async spanContext => transaction.placement.connection.execute(request, {
			timeoutMs: context.deadline - clock.getNow(), traceparent: tracing.formatTraceparent(spanContext),
		}));
	}
}

