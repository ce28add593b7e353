import {clampTimerMs, refusals, type Refusal} from '@chicorysaddle/model';
import {getPriorityClass, type ClientAccount} from '../configuration/index.js';
import {type PreparedStatement} from '../dispatch/index.js';
import {type CallerAnswer, type CallerConnection} from '../ports/index.js';
import {type SessionState, type StatementKind, type StatementRequest} from '../statements/index.js';
import {chooseAccountName, type Operation, type AdmissionResult} from './operation.js';
import {SessionCommits} from './session-commits.js';
import {SessionDefinitions} from './session-definitions.js';
import {type SessionIdentity, type SessionDependencies} from './session-dependencies.js';
import {type OperationOutcome, AutocommitRunner} from './autocommit-runner.js';
import {StatementRunner} from './statement-runner.js';
import {Transaction, type TransactionAnswer} from './transaction.js';

type StatementHandler = (request: StatementRequest, startedAt: number) => Promise<void> | void;

/** Maximum number of statements of a caller that wait behind the running one. */
const maxWaitingStatements = 64;

/** Maximum length of the id of a statement, in characters: a transaction keeps that of its first one. */
const maxIdLength = 200;

/** Idle time after which a closing session is closed, in milliseconds: longer than callers take between two consecutive statements. */
const idleBeforeCloseMs = 80;

/** Kinds of statements that are not refused after a statement of the transaction failed. */
const acceptedInFailedTransaction: ReadonlySet<StatementKind> = new Set(['commit', 'roll-back']);

/** The session of one caller, which lasts as long as its connection. */
export class CallerSession {
	readonly #definitions: SessionDefinitions;
	readonly #commits = new SessionCommits();
	readonly #waiting: Array<{readonly request: StatementRequest; readonly receivedAt: number}> = [];
	readonly #autocommit: AutocommitRunner;
	readonly #runner: StatementRunner;
	#state: SessionState = 'idle';
	#transaction: Transaction | undefined;
	/** Refusal of the next statement of a transaction that was rolled back while none of its statements ran, until the caller is told. */
	#rollBackRefusal: Refusal | undefined;
	#transactionIdleTimer: NodeJS.Timeout | undefined;
	#closeTimer: NodeJS.Timeout | undefined;
	#isRunning = false;
	/** Whether the running statement was answered. */
	#isAnswered = false;
	#isClosed = false;
	/** Whether the session is closed as soon as it stays idle. */
	#isClosing = false;
	/** Refusal of all further statements, once they are refused. */
	#closingRefusal: Refusal | undefined;

	readonly #handlers: Readonly<Record<StatementKind, StatementHandler>> = {
		begin: async (request, startedAt) => this.#begin(request, startedAt),
		commit: async request => this.#endTransaction(request),
		'roll-back': request => {
			this.#rollBack(request);
		},
		read: async (request, startedAt) => this.#runStatement(request, startedAt, undefined),
		write: async (request, startedAt) => this.#runStatement(request, startedAt, undefined),
		execute: async (request, startedAt) => this.#execute(request, startedAt),
		set: request => {
			this.#setValue(request);
		},
		prepare: request => {
			this.#prepare(request);
		},
		'close-prepared': request => {
			this.#closePrepared(request);
		},
		malformed: request => {
			this.#refuse(request, refusals.invalid(`statement "${request.statement.text.slice(0, 40)}"`));
		},
	};

	constructor(
		private readonly dependencies: SessionDependencies,
		private readonly identity: SessionIdentity,
		private readonly caller: CallerConnection,
		private readonly onEnded: () => void,
	) {
		this.#definitions = new SessionDefinitions(dependencies.definitionBudget.createShare());
		this.#runner = new StatementRunner(dependencies);
		this.#autocommit = new AutocommitRunner(dependencies, this.#runner);
	}

	/** Whether nothing runs or waits and no transaction is open. */
	get isIdle(): boolean {
		return !this.#isRunning && this.#waiting.length === 0 && this.#state === 'idle';
	}

	/** Whether a transaction is open. */
	get isInTransaction(): boolean {
		return this.#state !== 'idle';
	}

	/**
	 * Opens the session if the database exists and the caller's key grants access to it.
	 * @returns The refusal, undefined when the session is open.
	 */
	open(): Refusal | undefined {
		const route = this.dependencies.configuration.getRoute(this.identity.database);
		if (route === undefined) {
			return refusals.unknownDatabase(this.identity.database);
		}

		if (chooseAccountName(route, this.#getAccount()) === undefined) {
			return refusals.unknownKey();
		}

		this.caller.sendReady();
		return undefined;
	}

	/** Queues a statement of the caller; closes the connection when too many wait. */
	handleStatement(request: StatementRequest): void {
		if (this.#waiting.length >= maxWaitingStatements) {
			this.caller.close();
			return;
		}

		this.#waiting.push({request, receivedAt: this.dependencies.clock.now()});
		if (!this.#isRunning) {
			this.dependencies.tasks.run('session', async () => this.#runWaiting());
		}
	}

	/** Closes the session as soon as nothing runs and no transaction is open. */
	closeWhenIdle(): void {
		this.#isClosing = true;
		this.#closeIfIdle();
	}

	/** Closes the session after the running operation, or after the next one if none runs. */
	closeAfterOperation(): void {
		this.#isClosing = true;
	}

	/** Closes the session as soon as it is idle if its key no longer grants access to its database. */
	closeIfRevoked(): void {
		const route = this.dependencies.configuration.getRoute(this.identity.database);
		if (route === undefined || chooseAccountName(route, this.#getAccount()) === undefined) {
			this.closeWhenIdle();
		}
	}

	/** Refuses all further statements and rolls back an open transaction. */
	refuseStatements(refusal: Refusal): void {
		this.#closingRefusal = refusal;
		this.#isClosing = true;
		if (!this.#isRunning && this.#transaction !== undefined) {
			this.#failTransaction();
			this.#rollBackRefusal = refusals.transactionAborted(refusal.message);
		}

		this.#closeIfIdle();
	}

	/** Ends the session and its transaction after the caller's connection was closed. */
	handleCallerClosed(): void {
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#waiting.length = 0;
			clearTimeout(this.#transactionIdleTimer);
			this.#transaction?.rollBack();
			this.#transaction = undefined;
			this.#definitions.release();
			this.onEnded();
		}
	}

	/** Runs the waiting statements; an error outside their handling ends the session, so that the caller counts the outcome of what it sent as unknown. */
	async #runWaiting(): Promise<void> {
		this.#isRunning = true;
		try {
			await this.#runEach();
		} catch (error) {
			this.#abort();
			throw error;
		} finally {
			this.#isRunning = false;
		}

		this.#startTransactionIdleTimer();
		this.#closeIfIdle();
	}

	async #runEach(): Promise<void> {
		for (let next = this.#waiting.shift(); next !== undefined && !this.#isClosed; next = this.#waiting.shift()) {
			clearTimeout(this.#transactionIdleTimer);
			await this.#runHandler(next.request, next.receivedAt);
			this.dependencies.metrics.recordDuration('statement', this.dependencies.clock.now() - next.receivedAt);
		}
	}

	/** Closes the connection of the caller and ends the session and its transaction. */
	#abort(): void {
		this.dependencies.tasks.tryCall('session', () => {
			this.caller.close();
		});
		this.handleCallerClosed();
	}

	async #runHandler(request: StatementRequest, receivedAt: number): Promise<void> {
		this.#isAnswered = false;
		const {kind} = request.statement;
		if (request.id.length > maxIdLength) {
			this.#refuse(request, refusals.invalid(`an id of ${request.id.length} characters; the limit is ${maxIdLength}`));
			return;
		}

		if (this.#state === 'failed-transaction' && !acceptedInFailedTransaction.has(kind)) {
			const refusal = this.#rollBackRefusal ?? refusals.invalid('the transaction failed; roll it back');
			this.#rollBackRefusal = undefined;
			this.#refuse(request, refusal);
			return;
		}

		const {maxStatementBytes = Number.POSITIVE_INFINITY} = this.dependencies.configuration.configuration ?? {};
		if (request.statement.text.length > maxStatementBytes) {
			this.#refuse(request, refusals.invalid(`a statement of ${request.statement.text.length} bytes; the limit is ${maxStatementBytes}`));
			return;
		}

		try {
			await this.#handlers[kind](request, receivedAt);
		} catch (error) {
			this.dependencies.log.logEvent('session.error', {connection: this.identity.connectionId, request: request.id, error: error instanceof Error ? error.stack ?? error.message : String(error)});
			if (this.#isAnswered) {
				throw error;
			}

			this.#failAfterError(kind);
			this.#refuse(request, refusals.outcomeUnknown('internal error'));
		}
	}

	/** Ends the transaction in which an error occurred, so that nothing of it runs again. */
	#failAfterError(kind: StatementKind): void {
		if (this.#transaction !== undefined) {
			this.#failTransaction();
		}

		if (acceptedInFailedTransaction.has(kind)) {
			this.#state = 'idle';
		}
	}

	async #begin(request: StatementRequest, startedAt: number): Promise<void> {
		if (this.#state !== 'idle') {
			this.#refuse(request, refusals.invalid('a transaction is open already'));
			return;
		}

		const admission = await this.#admitOperation(request, startedAt);
		if (admission.kind === 'refused') {
			this.#refuse(request, admission.refusal, admission.isFinal);
			return;
		}

		const {statement} = request;
		if (this.#isClosed) {
			return;
		}

		this.#transaction = new Transaction(this.dependencies, this.#runner, admission.operation, statement.kind === 'begin' ? statement.access : 'read-write');
		this.#state = 'in-transaction';
		this.#acknowledge();
		this.#transaction.reserveConnection();
	}

	async #endTransaction(request: StatementRequest): Promise<void> {
		const transaction = this.#transaction;
		if (this.#state === 'idle') {
			this.#refuse(request, refusals.invalid('no transaction is open'));
			return;
		}

		if (transaction === undefined) {
			this.#state = 'idle';
			this.#refuse(request, this.#rollBackRefusal ?? refusals.transactionAborted('a statement of it failed'));
			this.#rollBackRefusal = undefined;
			return;
		}

		const refusal = this.#checkAccess(transaction.operation);
		if (refusal !== undefined) {
			this.#failTransaction();
			this.#state = 'idle';
			this.#refuse(request, refusal);
			return;
		}

		const {outcome} = await transaction.run(request, undefined);
		this.#transaction = undefined;
		this.#state = 'idle';
		this.#answer(request, transaction.operation, outcome);
	}

	#rollBack(request: StatementRequest): void {
		if (this.#state === 'idle') {
			this.#refuse(request, refusals.invalid('no transaction is open'));
			return;
		}

		this.#transaction?.rollBack();
		this.#transaction = undefined;
		this.#rollBackRefusal = undefined;
		this.#state = 'idle';
		this.#acknowledge();
	}

	async #execute(request: StatementRequest, startedAt: number): Promise<void> {
		const name = request.statement.kind === 'execute' ? request.statement.name : '';
		const prepared = this.#definitions.getPrepared(name);
		if (prepared === undefined) {
			this.#refuse(request, refusals.preparedNotFound(name));
			if (this.#transaction !== undefined) {
				this.#failTransaction();
			}

			return;
		}

		await this.#runStatement(request, startedAt, prepared);
	}

	async #runStatement(request: StatementRequest, startedAt: number, prepared: PreparedStatement | undefined): Promise<void> {
		const transaction = this.#transaction;
		if (transaction !== undefined) {
			await this.#runInTransaction(transaction, request, prepared);
			return;
		}

		const admission = await this.#admitOperation(request, startedAt);
		if (admission.kind === 'refused') {
			this.#refuse(request, admission.refusal, admission.isFinal);
			return;
		}

		const outcome = await this.#autocommit.run(admission.operation, request, prepared);
		this.#releaseIfNotRun(admission.operation, outcome);
		this.#answer(request, admission.operation, outcome);
	}

	async #runInTransaction(transaction: Transaction, request: StatementRequest, prepared: PreparedStatement | undefined): Promise<void> {
		const refusal = this.#checkAccess(transaction.operation);
		const {outcome, isOpen}: TransactionAnswer = refusal === undefined
			? await transaction.run(request, prepared)
			: {outcome: {kind: 'refused', refusal}, isOpen: false};
		if (!isOpen) {
			this.#releaseIfNotRun(transaction.operation, outcome);
			this.#failTransaction();
		}

		this.#answer(request, transaction.operation, outcome);
	}

	#setValue(request: StatementRequest): void {
		const {statement} = request;
		this.#acknowledgeUnlessRefused(request, statement.kind === 'set' ? this.#definitions.setValue(statement.name, statement.value) : undefined);
	}

	#prepare(request: StatementRequest): void {
		const {statement} = request;
		this.#acknowledgeUnlessRefused(request, statement.kind === 'prepare' ? this.#definitions.setPrepared(statement.name, statement) : undefined);
	}

	#closePrepared(request: StatementRequest): void {
		if (request.statement.kind === 'close-prepared') {
			this.#definitions.removePrepared(request.statement.name);
		}

		this.#acknowledge();
	}

	#acknowledgeUnlessRefused(request: StatementRequest, refusal: Refusal | undefined): void {
		if (refusal === undefined) {
			this.#acknowledge();
		} else {
			this.#refuse(request, refusal);
		}
	}

	/** Checks shutdown, database, key and rate limit before a statement or transaction starts. */
	async #admitOperation(request: StatementRequest, startedAt: number): Promise<AdmissionResult> {
		if (this.#closingRefusal !== undefined) {
			return {kind: 'refused', refusal: this.#closingRefusal, isFinal: true};
		}

		const route = this.dependencies.configuration.getRoute(this.identity.database);
		if (route === undefined) {
			return {kind: 'refused', refusal: refusals.unknownDatabase(this.identity.database), isFinal: true};
		}

		const account = chooseAccountName(route, this.#getAccount());
		if (account === undefined) {
			return {kind: 'refused', refusal: refusals.unknownKey(), isFinal: true};
		}

		const waitMs = await this.#acquireToken(account, getPriorityClass(route.priority) === 'high');
		if (waitMs > 0) {
			return {kind: 'refused', refusal: this.dependencies.dispatcher.admission.refuseOverLimit(account, waitMs, route, this.dependencies.limiter.formatLimit(account)), isFinal: false};
		}

		const {lastCommit, lastCommitAt} = this.#commits.getNewest(route.group);
		return {
			kind: 'begun', operation: {
				id: request.id, route, account, startedAt, session: this.#definitions, lastCommit, lastCommitAt, mayHaveRun: false,
			},
		};
	}

	/** Acquires an operation from the rate limit of an account, if it has one; returns the time after which to retry, in milliseconds, zero if the operation is admitted. */
	async #acquireToken(account: string, isUrgent: boolean): Promise<number> {
		return this.dependencies.configuration.getAccount(account) === undefined ? 0 : this.dependencies.limiter.acquireToken(account, isUrgent);
	}

	/** Releases an operation that no instance ran, so that it does not count against the rate limit of its account. */
	#releaseIfNotRun(operation: Operation, outcome: OperationOutcome): void {
		if (outcome.kind === 'refused' && !operation.mayHaveRun) {
			this.dependencies.limiter.releaseToken(operation.account);
		}
	}

	/** Returns a refusal if statements of an open transaction are refused or its key is no longer valid. */
	#checkAccess(operation: Operation): Refusal | undefined {
		if (this.#closingRefusal !== undefined) {
			return this.#closingRefusal;
		}

		return chooseAccountName(operation.route, this.#getAccount()) === operation.account ? undefined : refusals.unknownKey();
	}

	#getGroup(): string | undefined {
		return this.dependencies.configuration.getRoute(this.identity.database)?.group;
	}

	#getAccount(): ClientAccount | undefined {
		return this.dependencies.configuration.getAccountByKey(this.identity.keyDigest);
	}

	#failTransaction(): void {
		this.#transaction?.rollBack();
		this.#transaction = undefined;
		this.#state = 'failed-transaction';
	}

	#startTransactionIdleTimer(): void {
		const idleMs = this.dependencies.configuration.configuration?.transactionIdleMs;
		if (this.#transaction === undefined || idleMs === undefined) {
			return;
		}

		this.#transactionIdleTimer = setTimeout(this.dependencies.tasks.createCallback('idle transaction', () => {
			this.dependencies.metrics.addCount('transaction_idle');
			this.#failTransaction();
			this.#rollBackRefusal = refusals.transactionAborted('it was idle for too long');
		}), clampTimerMs(idleMs));
	}

	#answer(request: StatementRequest, operation: Operation, outcome: OperationOutcome): void {
		if (outcome.kind === 'refused') {
			this.#refuse(request, outcome.refusal);
			return;
		}

		if (outcome.isCommit) {
			// The route of the session may lead to another group by now.
			this.#commits.recordCommit(operation.route.group, outcome.position, this.dependencies.clock.now());
		}

		this.dependencies.metrics.addCount('completed');
		this.dependencies.log.logEvent('statement.completed', {connection: this.identity.connectionId, request: request.id, statement: request.statement.kind});
		this.#sendAnswer({result: {kind: 'completed', rows: outcome.rows, signature: outcome.signature}, state: this.#state, position: outcome.position});
	}

	#sendAnswer(answer: CallerAnswer): void {
		if (!this.#isClosed) {
			this.#isAnswered = true;
			this.caller.sendAnswer(answer);
		}
	}

	/** Answers a statement that the gateway handles itself. */
	#acknowledge(): void {
		this.#sendAnswer({result: {kind: 'completed', rows: [], signature: undefined}, state: this.#state, position: undefined});
	}

	/** @param isFinal - Whether to close the session after the refusal. */
	#refuse(request: StatementRequest, refusal: Refusal, isFinal = false): void {
		this.dependencies.metrics.addCount(`refused_${refusal.kind}`);
		this.dependencies.log.logEvent('statement.refused', {
			connection: this.identity.connectionId, request: request.id.slice(0, maxIdLength), database: this.identity.database, group: this.#getGroup(),
			statement: request.statement.kind, kind: refusal.kind, why: refusal.message,
			ran: refusal.details.ran, retryAfterMs: refusal.retryAfterMs, state: this.#state,
			places: refusal.kind === 'overloaded' ? this.dependencies.dispatcher.formatPoolUsage(this.#getGroup()) : undefined, configuration: this.dependencies.configuration.version,
		});
		this.#sendAnswer({result: {kind: 'refused', refusal}, state: this.#state, position: undefined});
		if (isFinal && !this.#isClosed) {
			this.caller.close();
		}
	}

	/** Closes a closing session only after it stayed idle for a while, because a caller that continues at once would lose its next statement. */
	#closeIfIdle(): void {
		if (!this.#isClosing || !this.isIdle || this.#isClosed) {
			return;
		}

		clearTimeout(this.#closeTimer);
		this.#closeTimer = setTimeout(this.dependencies.tasks.createCallback('idle session', () => {
			if (this.isIdle && !this.#isClosed) {
				this.caller.close();
			}
		}), idleBeforeCloseMs);
	}
}
