import {refusals, type LogPosition, type Refusal} from '@chicorysaddle/model';
import {type Place, type PreparedStatement} from '../dispatch/index.js';
import {type StatementRequest, type TransactionAccess} from '../statements/index.js';
import {getRequiredPosition, type Operation} from './operation.js';
import {type SessionServices} from './session-services.js';
import {describeLoss, type OperationOutcome} from './single-statement.js';
import {isWriting, type RunResult, type StatementRunner} from './statement-runner.js';

/** Instances that a transaction is offered to before it is refused. */
const maxAttempts = 6;

/** Times that a statement is offered to the transaction's instance while that has no room. */
const maxBusyRetries = 4;

/** Pause before a statement is offered again, milliseconds: about one service time. */
const busyPauseMs = 15;

/** Part of a route's timeout for which a transaction may wait for a place. */
const waitingPart = 0.7;

/** Time for a rollback, milliseconds: no slot is needed for it. */
const rollBackTimeoutMs = 500;

/** Answer to a statement of a transaction, with whether the transaction goes on. */
export type TransactionAnswer = {
	readonly outcome: OperationOutcome;
	readonly isOpen: boolean;
};

/** A caller's transaction: pinned to one connection from its first statement on. */
export class Transaction {
	#place: Place | undefined;
	#hasWritten = false;
	#isRunning = false;
	#isEnded = false;

	constructor(
		private readonly services: SessionServices,
		private readonly runner: StatementRunner,
		readonly operation: Operation,
		private readonly access: TransactionAccess,
	) {}

	/** Runs a statement inside the transaction. */
	async run(request: StatementRequest, prepared: PreparedStatement | undefined): Promise<TransactionAnswer> {
		const startedAt = this.services.clock.now();
		const deadline = startedAt + this.operation.route.statementTimeoutMs;
		this.#isRunning = true;
		try {
			const refusal = await this.#pin(startedAt, deadline);
			if (refusal !== undefined) {
				return this.#fail(refusal);
			}

			const place = this.#place!;
			this.#hasWritten ||= isWriting(request.statement, prepared);
			const result = await this.#runPatiently(place, request, prepared, deadline);
			return request.statement.kind === 'commit' ? await this.#judgeCommit(place, result) : this.#judge(result);
		} finally {
			this.#isRunning = false;
			if (this.#isEnded) {
				void this.#rollBackAtInstance();
			}
		}
	}

	/** Rolls back; what is under way is cut off. */
	rollBack(): void {
		this.#isEnded = true;
		if (!this.#isRunning) {
			void this.#rollBackAtInstance();
		}
	}

	async #runPatiently(place: Place, request: StatementRequest, prepared: PreparedStatement | undefined, deadline: number): Promise<RunResult> {
		for (let attempt = 0; ; attempt++) {
			const result = await this.runner.run(place, this.operation, {id: request.id, statement: request.statement}, prepared, deadline);
			const isWorthRetrying = result.kind === 'not-run' && (result.reason === 'busy' || result.reason === 'no-statement') && result.state === 'in-transaction'
				&& attempt < maxBusyRetries && this.services.clock.now() + busyPauseMs < deadline;
			if (!isWorthRetrying) {
				return result;
			}

			if (result.reason === 'busy') {
				await new Promise(resolve => {
					setTimeout(resolve, busyPauseMs);
				});
			}
		}
	}

	/** Finds a connection and begins there; returns why there is none. */
	async #pin(startedAt: number, deadline: number): Promise<Refusal | undefined> {
		const {route, account} = this.operation;
		const excluded = new Set<string>();
		for (let attempt = 0; this.#place === undefined; attempt++) {
			if (attempt >= maxAttempts || this.services.clock.now() >= deadline) {
				return refusals.overloaded(route.group, busyPauseMs);
			}

			const since = this.access === 'read-only' ? getRequiredPosition(this.operation, this.services.terms) : undefined;
			const acquired = await this.services.dispatcher.acquire({
				group: route.group, account, target: since === undefined ? 'primary' : 'any', since, priority: route.priority,
				deadline: startedAt + (route.statementTimeoutMs * waitingPart), excluded,
			});
			if (acquired.kind === 'refused') {
				return acquired.refusal;
			}

			const {place} = acquired;
			const begin = {statement: {kind: 'control-begin' as const, access: this.access}, ...(!place.isPrimary && since !== undefined && {since})};
			const result = await this.runner.run(place, this.operation, begin, undefined, deadline);
			if (result.kind === 'completed' && result.state === 'in-transaction') {
				this.#place = place;
				this.services.log.logEvent('transaction.pinned', {
					request: this.operation.id, group: route.group, instance: place.pool.instance.id, isPrimary: place.isPrimary, waitedMs: Math.round(this.services.clock.now() - startedAt),
				});
			} else {
				this.services.dispatcher.release(place, false);
				this.services.log.logEvent('transaction.moved', {
					request: this.operation.id, group: route.group, instance: place.pool.instance.id, attempt, result: result.kind, reason: 'reason' in result ? result.reason : undefined,
				});
				if (!place.isPrimary || result.kind === 'lost') {
					excluded.add(place.pool.instance.id);
				}
			}
		}

		return undefined;
	}

	#judge(result: RunResult): TransactionAnswer {
		switch (result.kind) {
			case 'completed': {
				return {outcome: {...result, kind: 'completed', isCommit: false}, isOpen: true};
			}

			case 'not-run': {
				return result.reason === 'busy' ? this.#fail(refusals.overloaded(this.operation.route.group, busyPauseMs)) : this.#fail(refusals.transactionAborted(result.reason));
			}

			case 'failed': {
				return this.#fail(result.refusal);
			}

			case 'lost': {
				// Nothing is kept: the commit was never sent.
				return this.#fail(refusals.transactionAborted(result.reason === 'timeout' ? 'the instance did not answer' : 'the instance closed the connection'));
			}
		}
	}

	async #judgeCommit(place: Place, result: RunResult): Promise<TransactionAnswer> {
		if (result.kind === 'completed') {
			this.#giveBack(result.state === 'idle');
			const isCertain = !this.#hasWritten || await this.services.terms.waitUntilWriteIsSafe(this.operation.route.group, place.pool.instance.id);
			return {
				outcome: isCertain
					? {...result, kind: 'completed', isCommit: this.#hasWritten}
					: {kind: 'refused', refusal: refusals.outcomeUnknown('the term ended while the commit was under way')},
				isOpen: false,
			};
		}

		this.#giveBack(false);
		return {outcome: {kind: 'refused', refusal: this.#describeFailedCommit(result)}, isOpen: false};
	}

	#describeFailedCommit(result: Exclude<RunResult, {kind: 'completed'}>): Refusal {
		if (result.kind === 'not-run') {
			return refusals.transactionAborted(result.reason);
		}

		if (!this.#hasWritten) {
			return refusals.transactionAborted('it could not be committed');
		}

		return result.kind === 'lost' ? describeLoss(this.operation, result.reason) : result.refusal;
	}

	#fail(refusal: Refusal): TransactionAnswer {
		this.#isEnded = true;
		return {outcome: {kind: 'refused', refusal}, isOpen: false};
	}

	async #rollBackAtInstance(): Promise<void> {
		const place = this.#place;
		if (place === undefined) {
			return;
		}

		this.#place = undefined;
		const [outcome] = await place.connection.connection.run([{statement: {kind: 'control-roll-back'}}], rollBackTimeoutMs);
		this.services.dispatcher.release(place, outcome?.kind === 'completed' && outcome.state === 'idle');
	}

	#giveBack(isClean: boolean): void {
		if (this.#place !== undefined) {
			this.services.dispatcher.release(this.#place, isClean);
			this.#place = undefined;
		}
	}
}

/** Returns the later of a session's newest commit and another. */
export function getLaterCommit(a: LogPosition | undefined, b: LogPosition | undefined): LogPosition | undefined {
	return b ?? a;
}
