import {refusals, type LogPosition, type Refusal} from '@chicorysaddle/model';
import {type Place, type PreparedStatement} from '../dispatch/index.js';
import {type StatementRequest} from '../statements/index.js';
import {getRequiredPosition, type Operation} from './operation.js';
import {type SessionServices} from './session-services.js';
import {isWriting, type RunResult, type StatementRunner} from './statement-runner.js';

/** Result of an operation for its caller. */
export type OperationOutcome =
	| {readonly kind: 'completed'; readonly rows: readonly string[]; readonly signature: string; readonly position: LogPosition | undefined; readonly isCommit: boolean}
	| {readonly kind: 'refused'; readonly refusal: Refusal};

/** Instances that one statement is offered to before it is refused. */
const maxAttempts = 6;

/** Part of a route's timeout for which a statement may wait for a place; the rest is left for running it. */
const waitingPart = 0.7;

/** Time that is told to a caller whose statement no instance took, milliseconds. */
const retryAfterMs = 200;

/** Runs statements outside transactions: on any instance that is fresh enough, and again elsewhere while that is safe. */
export class SingleStatement {
	constructor(private readonly services: SessionServices, private readonly runner: StatementRunner) {}

	/** Runs one statement to its final answer. */
	async run(operation: Operation, request: StatementRequest, prepared: PreparedStatement | undefined): Promise<OperationOutcome> {
		const isWrite = isWriting(request.statement, prepared);
		const excluded = new Set<string>();
		const {route, startedAt} = operation;
		const deadline = startedAt + route.statementTimeoutMs;
		for (let attempt = 0; attempt < maxAttempts && this.services.clock.now() < deadline; attempt++) {
			const since = isWrite ? undefined : getRequiredPosition(operation, this.services.terms);
			const acquired = await this.services.dispatcher.acquire({
				group: route.group, account: operation.account, target: since === undefined ? 'primary' : 'any', since, priority: route.priority,
				deadline: startedAt + (route.statementTimeoutMs * waitingPart), excluded,
			});
			if (acquired.kind === 'refused') {
				return acquired;
			}

			const {place} = acquired;
			const outgoing = {id: request.id, statement: request.statement, ...(!place.isPrimary && since !== undefined && {since})};
			const result = await this.runner.run(place, operation, outgoing, prepared, deadline);
			this.services.dispatcher.release(place, result.kind !== 'lost' && result.state === 'idle');
			const outcome = await this.#judge(operation, place, result, isWrite);
			if (outcome !== undefined) {
				return outcome;
			}

			this.services.log.logEvent('statement.retried', {
				request: request.id, group: route.group, instance: place.pool.instance.id, attempt, result: result.kind, reason: 'reason' in result ? result.reason : undefined,
				isPrimary: place.isPrimary, since: since === undefined ? undefined : `${since.term}.${since.offset}`, waitedMs: Math.round(this.services.clock.now() - startedAt),
			});

			if (!place.isPrimary || result.kind === 'lost') {
				excluded.add(place.pool.instance.id);
			}
		}

		return {kind: 'refused', refusal: refusals.overloaded(route.group, retryAfterMs)};
	}

	/** Returns the final answer, or undefined when the statement may be tried again. */
	async #judge(operation: Operation, place: Place, result: RunResult, isWrite: boolean): Promise<OperationOutcome | undefined> {
		if (result.kind === 'completed') {
			if (isWrite && !await this.services.terms.waitUntilCertain(operation.route.group, place.pool.instance.id)) {
				return {kind: 'refused', refusal: refusals.outcomeUnknown('the term ended while the write was under way')};
			}

			return {...result, kind: 'completed', isCommit: isWrite};
		}

		if (result.kind === 'not-run') {
			return undefined;
		}

		if (!isWrite && (result.kind === 'lost' || result.refusal.kind !== 'invalid-request')) {
			return undefined;
		}

		return {kind: 'refused', refusal: result.kind === 'lost' ? describeLoss(operation, result.reason) : result.refusal};
	}
}

/** Describes an answer that never came to the caller of a statement that may have run. */
export function describeLoss(operation: Operation, reason: 'closed' | 'timeout'): Refusal {
	return reason === 'timeout' ? refusals.statementTimeout(operation.route.statementTimeoutMs) : refusals.outcomeUnknown('the instance closed the connection');
}
