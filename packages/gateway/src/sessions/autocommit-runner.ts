import {refusals, type LogPosition, type Refusal} from '@chicorysaddle/model';
import {type Placement, type PreparedStatement} from '../dispatch/index.js';
import {type StatementRequest} from '../statements/index.js';
import {getRequiredPosition, type Operation} from './operation.js';
import {type SessionDependencies} from './session-dependencies.js';
import {isWriteStatement, type RunResult, type StatementRunner} from './statement-runner.js';

/** Result of an operation for its caller. */
export type OperationOutcome =
	| {readonly kind: 'completed'; readonly rows: readonly string[]; readonly signature: string; readonly position: LogPosition | undefined; readonly isCommit: boolean}
	| {readonly kind: 'refused'; readonly refusal: Refusal};

/** Instances that one statement is offered to before it is refused. */
const maxAttempts = 6;

/** Part of a route's timeout for which a statement may wait for a place; the rest is left for running it. */
const maxWaitFraction = 0.7;

/** Time that is told to a caller whose statement no instance took, milliseconds. */
const retryAfterMs = 200;

/** Interval at which a read's instance is looked at, milliseconds. */
const silenceCheckIntervalMs = 50;

/** One offer of a statement to an instance. */
type Attempt = {
	readonly operation: Operation;
	readonly request: StatementRequest;
	readonly prepared: PreparedStatement | undefined;
	readonly isWrite: boolean;
	readonly number: number;
	/** Instances that are not to be tried, by id. */
	readonly excluded: Set<string>;
	/** Where it runs, once it does. */
	placement: Placement | undefined;
};

/** Runs statements outside transactions: on any instance that is fresh enough, and again elsewhere while that is safe. */
export class AutocommitRunner {
	constructor(private readonly dependencies: SessionDependencies, private readonly runner: StatementRunner) {}

	/** Runs one statement to its final answer. */
	async run(operation: Operation, request: StatementRequest, prepared: PreparedStatement | undefined): Promise<OperationOutcome> {
		const isWrite = isWriteStatement(request.statement, prepared);
		const excluded = new Set<string>();
		const {route, startedAt} = operation;
		const deadline = startedAt + route.statementTimeoutMs;
		const doubtful = new Set<Promise<OperationOutcome | undefined>>();
		for (let number = 0; number < maxAttempts && this.dependencies.clock.now() < deadline; number++) {
			const attempt: Attempt = {
				operation, request, prepared, isWrite, number, excluded, placement: undefined,
			};
			const trying = this.#runAttempt(attempt);
			const outcome = await (isWrite ? trying : this.#waitForOutcome(attempt, trying, doubtful));
			if (outcome === 'doubtful') {
				// It may still answer; whichever does first is taken.
				doubtful.add(trying);
				excluded.add(attempt.placement!.pool.instance.id);
				this.dependencies.metrics.addCount('read_doubted');
			} else if (outcome !== undefined && (outcome.kind === 'completed' || doubtful.size === 0)) {
				return outcome;
			} else if (outcome !== undefined) {
				break;
			}
		}

		return await getFirstOutcome(doubtful) ?? {kind: 'refused', refusal: refusals.overloaded(route.group, retryAfterMs)};
	}

	/** Waits for an attempt at a read, an earlier one that was doubted, or a reason to doubt this one. */
	async #waitForOutcome(attempt: Attempt, trying: Promise<OperationOutcome | undefined>, doubtful: ReadonlySet<Promise<OperationOutcome | undefined>>): Promise<OperationOutcome | 'doubtful' | undefined> {
		return new Promise((resolve, reject) => {
			const timer = setInterval(() => {
				if (attempt.placement?.pool.tracker.getSilentSince(this.dependencies.clock.now()) !== undefined) {
					clearInterval(timer);
					resolve('doubtful');
				}
			}, silenceCheckIntervalMs);
			trying.then(outcome => {
				clearInterval(timer);
				resolve(outcome);
			}).catch((error: unknown) => {
				clearInterval(timer);
				reject(error instanceof Error ? error : new Error(String(error)));
			});
			for (const earlier of doubtful) {
				earlier.then(outcome => {
					if (outcome !== undefined) {
						clearInterval(timer);
						resolve(outcome);
					}
				}).catch(() => {
					// It was reported when it was the newest attempt.
				});
			}
		});
	}

	/** Offers the statement to one instance; undefined when it may be tried again. */
	async #runAttempt(attempt: Attempt): Promise<OperationOutcome | undefined> {
		const {operation, request, prepared, isWrite, number, excluded} = attempt;
		const {route, startedAt} = operation;
		const deadline = startedAt + route.statementTimeoutMs;
		const since = isWrite ? undefined : getRequiredPosition(operation, this.dependencies.terms);
		const acquired = await this.dependencies.dispatcher.acquire({
			group: route.group, account: operation.account, target: since === undefined ? 'primary' : 'any', requiredPosition: since, priority: route.priority,
			deadline: startedAt + (route.statementTimeoutMs * maxWaitFraction), excluded,
		});
		if (acquired.kind === 'refused') {
			return acquired;
		}

		const {placement: place} = acquired;
		attempt.placement = place;
		const outgoing = {id: request.id, statement: request.statement, ...(!place.isPrimary && since !== undefined && {since})};
		const result = await this.runner.run(place, operation, outgoing, prepared, deadline);
		this.dependencies.dispatcher.release(place, result.kind !== 'lost' && result.state === 'idle');
		const outcome = await this.#resolveOutcome(operation, place, result, isWrite);
		if (outcome === undefined) {
			this.dependencies.log.logEvent('statement.retried', {
				request: request.id, group: route.group, instance: place.pool.instance.id, attempt: number, result: result.kind, reason: 'reason' in result ? result.reason : undefined,
				isPrimary: place.isPrimary, since: since === undefined ? undefined : `${since.term}.${since.offset}`, waitedMs: Math.round(this.dependencies.clock.now() - startedAt),
			});
			if (!place.isPrimary || result.kind === 'lost') {
				excluded.add(place.pool.instance.id);
			}
		}

		return outcome;
	}

	/** Returns the final answer, or undefined when the statement may be tried again. */
	async #resolveOutcome(operation: Operation, place: Placement, result: RunResult, isWrite: boolean): Promise<OperationOutcome | undefined> {
		if (result.kind === 'completed') {
			if (isWrite && !await this.dependencies.terms.waitUntilWriteIsSafe(operation.route.group, place.pool.instance.id)) {
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

		return {kind: 'refused', refusal: result.kind === 'lost' ? createLostAnswerRefusal(operation, result.reason) : result.refusal};
	}
}

/** Describes an answer that never came to the caller of a statement that may have run. */
export function createLostAnswerRefusal(operation: Operation, reason: 'closed' | 'timeout'): Refusal {
	return reason === 'timeout' ? refusals.statementTimeout(operation.route.statementTimeoutMs) : refusals.outcomeUnknown('the instance closed the connection');
}

/** Returns the first answer of several attempts, undefined when none has any. */
async function getFirstOutcome(attempts: ReadonlySet<Promise<OperationOutcome | undefined>>): Promise<OperationOutcome | undefined> {
	if (attempts.size === 0) {
		return undefined;
	}

	try {
		return await Promise.any([...attempts].map(async attempt => {
			const outcome = await attempt;
			if (outcome === undefined) {
				throw new Error('no answer');
			}

			return outcome;
		}));
	} catch {
		// Every attempt ended without an answer.
		return undefined;
	}
}
