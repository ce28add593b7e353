import {create} from '@bufbuild/protobuf';
import {type Either, Left, Right} from 'purify-ts';
import {
	type ExecuteRequest, ExecuteRequestSchema, type ExecuteResponse, Outcome, Step,
} from '@chicorysaddle/protocol';
import {type Refusal, refusals, type Route} from '@chicorysaddle/model';
import {type EndpointFailure, parsePosition} from '../endpoints/index.js';
import {
	type Answer, choosePrimary, getRecordId, hashBody, parseAnswer, type RequestContext, type RequestParts, type RequestRunner, type RunRefusal, type RunResult,
} from '../requests/index.js';
import {isTransactionLost, type Transaction} from './transaction.js';
import {type TransactionRegistry} from './transaction-registry.js';

/** Transactions of this VM on one instance leave this many connections to other requests. */
const reservedConnections = 1;

/** A statement of a transaction. */
export type StatementRequest = {
	readonly transaction: string;
	readonly route: string;
	readonly parameters: Readonly<Record<string, string>>;
};

/** Parts that transactions need besides those of single requests. */
export type TransactionParts = RequestParts & {
	readonly registry: TransactionRegistry;
	readonly requests: RequestRunner;
	/** VM and incarnation of this process, in front of every transaction id. */
	readonly idPrefix: string;
};

/** Serves interactive transactions on the connections that own them. */
export class TransactionRunner {
	constructor(private readonly parts: TransactionParts) {}

	/** Begins a transaction on the primary of a group. */
	async begin(groupName: string, context: RequestContext): Promise<Either<Refusal, string>> {
		const {gate, groups, requests} = this.parts;
		const identified = gate.identifyCaller(context.authorization, false);
		const group = groups.getGroup(groupName);
		if (identified.isLeft() || group === undefined) {
			return identified.isLeft() ? (identified) : Left(refusals.invalid(`no database group "${groupName}"`));
		}

		const caller = identified.unsafeCoerce();
		const admitted = await requests.admit(caller, context);
		if (admitted.isLeft()) {
			return admitted;
		}

		const slot = await group.dispatcher.acquireSlot({
			account: caller.account, priority: 'normal', weight: 1, deadline: context.deadline,
			choose: () => {
				const choice = choosePrimary(group);
				const pool = choice.kind === 'send' ? group.getPool(choice.instance.name) : undefined;
				return choice.kind === 'send' && this.parts.registry.countOn(choice.instance.name) >= (pool?.limit ?? 0) - reservedConnections ? {kind: 'wait'} : choice;
			},
		});
		if (slot.isLeft()) {
			return slot;
		}

		const allowed = gate.checkIdentity(caller);
		if (allowed.isLeft()) {
			slot.unsafeCoerce().release(true);
			return allowed;
		}

		const transaction = this.parts.registry.addTransaction({
			id: `${this.parts.idPrefix}#${this.parts.createId()}`, caller, group, slot: slot.unsafeCoerce(), term: group.state.term,
		});
		return this.#open(transaction, context);
	}

	/** Runs a statement inside a transaction. */
	async runStatement(request: StatementRequest, context: RequestContext): Promise<Either<Refusal, Answer>> {
		const route = this.parts.configuration.current.getRoute(request.route);
		const found = this.#findTransaction(request.transaction, context);
		if (found.isLeft()) {
			return found;
		}

		const transaction = found.unsafeCoerce();
		if (route?.group !== transaction.groupName) {
			return Left(refusals.unknownRoute(request.route));
		}

		transaction.isBusy = true;
		const admitted = await this.parts.requests.admit(transaction.caller, context);
		const allowed = admitted.chain(() => this.parts.gate.checkIdentity(transaction.caller));
		if (allowed.isLeft()) {
			this.parts.registry.touch(transaction);
			return allowed;
		}

		return this.#runRoute(transaction, route, request, context);
	}

	/** Commits a transaction and waits until a replica holds it. */
	async commit(id: string, sessionToken: string, context: RequestContext): Promise<Either<RunRefusal, RunResult>> {
		const {sessions} = this.parts;
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
		const committed = await this.#commitAndConfirm(transaction, context);
		this.parts.registry.removeTransaction(transaction, committed.isRight());
		return committed.bimap(
			refusal => {
				if (refusal.hasNotRun) {
					return {refusal, session: ''};
				}

				session.observeUnknownWrite(transaction.groupName);
				return {refusal, session: sessions.formatToken(session, account)};
			},
			answer => {
				session.observePosition(transaction.groupName, answer.position, true);
				return {answer, session: sessions.formatToken(session, account)};
			},
		);
	}

	/** Rolls a transaction back. */
	async rollBack(id: string, context: RequestContext): Promise<Either<Refusal, void>> {
		const found = this.#findTransaction(id, context);
		if (found.isLeft()) {
			return found;
		}

		const transaction = found.unsafeCoerce();
		transaction.isBusy = true;
		const ended = await this.#execute(transaction, create(ExecuteRequestSchema, {step: Step.ROLL_BACK}), context);
		this.parts.registry.removeTransaction(transaction, ended.map(response => response.outcome === Outcome.DONE).orDefault(false));
		return Right(undefined);
	}

	async #open(transaction: Transaction, context: RequestContext): Promise<Either<Refusal, string>> {
		const {registry} = this.parts;
		transaction.isBusy = true;
		const begun = await this.#execute(transaction, create(ExecuteRequestSchema, {step: Step.BEGIN, term: BigInt(transaction.term)}), context);
		if (begun.map(response => response.outcome === Outcome.DONE).orDefault(false)) {
			registry.touch(transaction);
			return Right(transaction.id);
		}

		registry.removeTransaction(transaction, false);
		transaction.group.observeFailure(transaction.slot.instance);
		return Left(refusals.noPrimary(transaction.groupName));
	}

	#findTransaction(id: string, context: RequestContext): Either<Refusal, Transaction> {
		const {gate, registry} = this.parts;
		return gate.identifyCaller(context.authorization, false).chain(caller => {
			const transaction = registry.getTransaction(id);
			if (transaction === undefined) {
				return Left(refusals.transactionNotFound(id));
			}

			if (transaction.caller.account !== caller.account) {
				return Left(refusals.forbidden('the transaction'));
			}

			if (transaction.isBusy) {
				return Left(refusals.invalid('a statement of this transaction is still running'));
			}

			if (isTransactionLost(transaction)) {
				registry.removeTransaction(transaction, false);
				return Left(refusals.transactionLost(id));
			}

			transaction.caller = caller;
			return Right(transaction);
		});
	}

	async #runRoute(transaction: Transaction, route: Route, request: StatementRequest, context: RequestContext): Promise<Either<Refusal, Answer>> {
		const {registry} = this.parts;
		const response = await this.#execute(transaction, create(ExecuteRequestSchema, {
			statement: route.statement,
			parameters: request.parameters,
			write: route.access === 'write',
			step: Step.STATEMENT,
			term: BigInt(transaction.term),
		}), context);
		const isDone = response.map(answer => answer.outcome === Outcome.DONE).orDefault(false);
		if (isDone) {
			registry.touch(transaction);
			return Right(parseAnswer(response.unsafeCoerce(), true));
		}

		// Nothing of a transaction lasts before its commit, so that closing the connection undoes it whole.
		registry.removeTransaction(transaction, false);
		return Left(refusals.transactionLost(transaction.id));
	}

	async #commitAndConfirm(transaction: Transaction, context: RequestContext): Promise<Either<Refusal, Answer>> {
		const recordId = context.idempotencyKey === '' ? '' : getRecordId(transaction.caller.account, context.idempotencyKey);
		const response = await this.#execute(transaction, create(ExecuteRequestSchema, {
			step: Step.COMMIT, term: BigInt(transaction.term), recordId, bodyHash: hashBody(transaction.id, {}),
		}), context);
		if (response.isLeft()) {
			const failure = response.swap().unsafeCoerce();
			return Left(failure.stage === 'unsent' ? refusals.transactionLost(transaction.id) : refusals.outcomeUnknown('the answer to the commit was lost'));
		}

		const answer = response.unsafeCoerce();
		if (answer.outcome !== Outcome.DONE) {
			return Left(answer.outcome === Outcome.RECORD_MISMATCH ? refusals.requestMismatch(context.idempotencyKey) : refusals.transactionLost(transaction.id));
		}

		const position = parsePosition(answer.position);
		const confirmation = this.parts.acknowledge === 'at-once' ? 'confirmed' : await transaction.group.confirmer.confirm(position, transaction.term, context.deadline);
		return confirmation === 'confirmed' ? Right(parseAnswer(answer, true)) : Left(refusals.outcomeUnknown('no replica confirmed the commit'));
	}

	async #execute(transaction: Transaction, request: ExecuteRequest, context: RequestContext): Promise<Either<EndpointFailure, ExecuteResponse>> {
		const {clock, tracing} = this.parts;
		if (isTransactionLost(transaction)) {
			return Left({stage: 'unsent', message: 'the connection was lost'});
		}

		request.requestId = this.parts.createId();
		return tracing.runInSpan('endpoint execute', context.trace, async own => transaction.slot.connection.execute(request, {
			timeoutMs: context.deadline - clock.getNow(), traceparent: tracing.formatTraceparent(own),
		}));
	}
}

