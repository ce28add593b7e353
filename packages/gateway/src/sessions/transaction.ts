import {refusals, Refusal} from '@chicorysaddle/model';
import {type PreparedStatement} from '../dispatch/index.js';
import {type ForwardResult, type StatementRequest, type TransactionAccess} from '../statements/index.js';
import {fetchRequiredPosition, getCommitTime, type Operation} from './operation.js';
import {type SessionDependencies} from './session-dependencies.js';
import {createLostAnswerRefusal, type OperationOutcome} from './autocommit-runner.js';
import {
	acquirePlace, isGatewayFailure, isInstanceFailure, runOrRelease, type StatementPlace,
} from './statement-place.js';
import {isWriteStatement, type StatementRunner} from './statement-runner.js';
import {isWriteSafe} from './write-safety.js';

/** Maximum number of attempts to begin a transaction before it is refused. */
const maxAttempts = 6;

/** Maximum number of retries of a statement while the transaction's instance is busy. */
const maxBusyRetries = 4;

/** Delay before a statement is retried, in milliseconds: about one service time. */
const busyRetryDelayMs = 15;

/** Maximum fraction of a route's timeout for which a transaction waits for a connection; the rest is left for running its statement. */
const maxWaitFraction = 0.7;

/** Outcome of a statement in a transaction, with whether the transaction is still open. */
export type TransactionAnswer = {
	readonly outcome: OperationOutcome;
	readonly isOpen: boolean;
};

/** A caller's transaction, pinned to one connection from its first statement on, or earlier if one can be reserved. */
export class Transaction {
	#place: StatementPlace | undefined;
	/** Reservation of a connection before the first statement, while it is being made. */
	#reservation: Promise<void> | undefined;
	/** Returns the reserved connection if the first statement does not come in time. */
	#reservationTimer: NodeJS.Timeout | undefined;
	#hasStatement = false;
	#hasWritten = false;
	#isRunning = false;
	#isEnded = false;

	constructor(
		private readonly dependencies: SessionDependencies,
		private readonly runner: StatementRunner,
		readonly operation: Operation,
		private readonly access: TransactionAccess,
	) {}

	/** Runs a statement in the transaction. */
	async run(request: StatementRequest, prepared: PreparedStatement | undefined): Promise<TransactionAnswer> {
		const startedAt = this.dependencies.clock.now();
		const deadline = startedAt + this.operation.route.statementTimeoutMs;
		this.#isRunning = true;
		try {
			const refusal = await this.#waitUntilPinned(startedAt, deadline);
			if (refusal !== undefined) {
				return this.#fail(refusal);
			}

			const place = this.#place!;
			this.#hasWritten ||= isWriteStatement(request.statement, prepared);
			const result = await this.#runWithRetries(place, request, prepared, deadline);
			return request.statement.kind === 'commit' ? await this.#createCommitAnswer(place, result) : this.#createAnswer(result);
		} catch (error) {
			// What the instance has run is unknown, so the connection is closed, and nothing of the transaction runs again.
			this.#isEnded = true;
			this.#release(false);
			throw error;
		} finally {
			this.#isRunning = false;
			if (this.#isEnded) {
				this.#startRollBack();
			}
		}
	}

	/** Reserves a connection before the first statement arrives, unless other statements wait for one. */
	reserveConnection(): void {
		const {dispatcher, transactionReservation} = this.dependencies;
		const {group, statementTimeoutMs} = this.operation.route;
		if (transactionReservation.canReserve(dispatcher.countWaiting(group))) {
			const startedAt = this.dependencies.clock.now();
			const reservation = this.#reserve(startedAt, startedAt + statementTimeoutMs);
			this.#reservation = reservation;
			this.dependencies.tasks.run('reservation', async () => reservation);
		}
	}

	/** Rolls the transaction back, after the running statement if there is one. */
	rollBack(): void {
		this.#isEnded = true;
		clearTimeout(this.#reservationTimer);
		if (!this.#isRunning) {
			this.#startRollBack();
		}
	}

	async #reserve(startedAt: number, deadline: number): Promise<void> {
		try {
			// The first statement tries again by itself after a refusal, and is answered with its own.
			await this.#pin(startedAt, deadline, true);
		} catch (error) {
			this.dependencies.tasks.recordFailure('reservation', error);
		} finally {
			this.#reservation = undefined;
		}

		if (this.#isEnded && !this.#isRunning) {
			await this.#rollBackAtInstance();
		} else if (!this.#hasStatement) {
			this.#reservationTimer = setTimeout(() => {
				this.dependencies.metrics.addCount('reservation_unused');
				this.#startRollBack();
			}, this.dependencies.transactionReservation.getHoldMs());
		}
	}

	/** Waits for the reserved connection, or acquires one; returns a refusal if that fails. */
	async #waitUntilPinned(startedAt: number, deadline: number): Promise<Refusal | undefined> {
		if (this.#hasStatement) {
			return undefined;
		}

		this.#hasStatement = true;
		clearTimeout(this.#reservationTimer);
		this.dependencies.transactionReservation.recordPause(startedAt - this.operation.startedAt);
		await this.#reservation;
		if (this.#place?.isOpen === false) {
			// Nothing has run on the reserved connection, so the transaction may begin on another one.
			this.#release(false);
		}

		return this.#pin(startedAt, deadline, false);
	}

	async #runWithRetries(place: StatementPlace, request: StatementRequest, prepared: PreparedStatement | undefined, deadline: number): Promise<ForwardResult> {
		for (let attempt = 0; ; attempt++) {
			const result = await place.run(this.operation, {id: request.id, statement: request.statement}, prepared, deadline);
			const canRetry = result.kind === 'not-run' && (result.reason === 'busy' || result.reason === 'no-statement') && result.state === 'in-transaction'
				&& attempt < maxBusyRetries && this.dependencies.clock.now() + busyRetryDelayMs < deadline;
			if (!canRetry) {
				return result;
			}

			if (result.reason === 'busy') {
				await new Promise(resolve => {
					setTimeout(resolve, busyRetryDelayMs);
				});
			}
		}
	}

	/**
	 * Acquires a connection and begins the transaction on it; returns a refusal if that fails.
	 * @param isReservation - Whether no statement of the transaction has arrived yet.
	 */
	async #pin(startedAt: number, deadline: number, isReservation: boolean): Promise<Refusal | undefined> {
		const {route, account} = this.operation;
		const excluded = new Set<string>();
		let canForward = true;
		for (let attempt = 0; this.#place === undefined; attempt++) {
			if (attempt >= maxAttempts || this.dependencies.clock.now() >= deadline) {
				return refusals.overloaded(route.group, busyRetryDelayMs);
			}

			const requiredPosition = this.access === 'read-only' ? await fetchRequiredPosition(this.operation, this.dependencies) : undefined;
			const place = await acquirePlace({
				group: route.group, account, target: requiredPosition === undefined ? 'primary' : 'any', requiredPosition, committedAt: getCommitTime(this.operation, requiredPosition), priority: route.priority,
				deadline: startedAt + (route.statementTimeoutMs * maxWaitFraction), excluded,
			}, this.dependencies, this.runner, {canForward, isReservation});
			if (place instanceof Refusal) {
				return place;
			}

			const begin = {statement: {kind: 'control-begin' as const, access: this.access}, ...(!place.isPrimary && requiredPosition !== undefined && {since: requiredPosition})};
			const result = await runOrRelease(place, this.operation, begin, undefined, deadline);
			if (result.kind === 'completed' && result.state === 'in-transaction') {
				this.#place = place;
				this.dependencies.log.logEvent('transaction.pinned', {
					request: this.operation.id, group: route.group, instance: place.instanceId, isPrimary: place.isPrimary, waitedMs: Math.round(this.dependencies.clock.now() - startedAt),
				});
			} else {
				place.release(false);
				if (result.kind === 'refused') {
					return result.refusal;
				}

				this.dependencies.log.logEvent('transaction.moved', {
					request: this.operation.id, group: route.group, instance: place.instanceId, attempt, result: result.kind, reason: 'reason' in result ? result.reason : undefined,
				});
				canForward &&= !isGatewayFailure(place, result);
				if (isInstanceFailure(place, result)) {
					excluded.add(place.instanceId);
				}
			}
		}

		return undefined;
	}

	#createAnswer(result: ForwardResult): TransactionAnswer {
		switch (result.kind) {
			case 'completed': {
				return {outcome: {...result, kind: 'completed', isCommit: false}, isOpen: true};
			}

			case 'not-run': {
				return result.reason === 'busy' ? this.#fail(refusals.overloaded(this.operation.route.group, busyRetryDelayMs)) : this.#fail(refusals.transactionAborted(result.reason));
			}

			case 'failed':
			case 'refused': {
				return this.#fail(result.refusal);
			}

			case 'lost': {
				// The commit was never sent, so nothing was written.
				return this.#fail(refusals.transactionAborted(result.reason === 'timeout' ? 'the instance did not answer' : 'the instance closed the connection'));
			}
		}
	}

	async #createCommitAnswer(place: StatementPlace, result: ForwardResult): Promise<TransactionAnswer> {
		if (result.kind === 'completed') {
			this.#release(result.state === 'idle');
			const isDurable = !this.#hasWritten || await isWriteSafe(this.operation.route.group, place.instanceId, this.dependencies);
			return {
				outcome: isDurable
					? {...result, kind: 'completed', isCommit: this.#hasWritten}
					: {kind: 'refused', refusal: refusals.outcomeUnknown('the term ended while the commit was under way')},
				isOpen: false,
			};
		}

		this.#release(false);
		return {outcome: {kind: 'refused', refusal: this.#createCommitRefusal(result)}, isOpen: false};
	}

	#createCommitRefusal(result: Exclude<ForwardResult, {kind: 'completed'}>): Refusal {
		if (result.kind === 'not-run') {
			return refusals.transactionAborted(result.reason);
		}

		if (!this.#hasWritten) {
			return refusals.transactionAborted('it could not be committed');
		}

		return result.kind === 'lost' ? createLostAnswerRefusal(this.operation, result.reason) : result.refusal;
	}

	#fail(refusal: Refusal): TransactionAnswer {
		this.#isEnded = true;
		return {outcome: {kind: 'refused', refusal}, isOpen: false};
	}

	#startRollBack(): void {
		this.dependencies.tasks.run('rollback', async () => this.#rollBackAtInstance());
	}

	async #rollBackAtInstance(): Promise<void> {
		const place = this.#place;
		this.#place = undefined;
		await place?.rollBack();
	}

	#release(isClean: boolean): void {
		this.#place?.release(isClean);
		this.#place = undefined;
	}
}
