import {refusals, type LogPosition, Refusal} from '@chicorysaddle/model';
import {type PlacementRequest, type PreparedStatement} from '../dispatch/index.js';
import {type ForwardResult, type StatementRequest} from '../statements/index.js';
import {fetchRequiredPosition, getCommitTime, type Operation} from './operation.js';
import {type SessionDependencies} from './session-dependencies.js';
import {
	acquirePlace, isGatewayFailure, isInstanceFailure, runOrRelease, type StatementPlace,
} from './statement-place.js';
import {isWriteStatement, type StatementRunner} from './statement-runner.js';
import {isWriteSafe} from './write-safety.js';

/** Result of an operation for its caller. */
export type OperationOutcome =
	/** The operation was run; `isCommit` tells whether it committed a write. */
	| {readonly kind: 'completed'; readonly rows: readonly string[]; readonly signature: string; readonly position: LogPosition | undefined; readonly isCommit: boolean}
	| {readonly kind: 'refused'; readonly refusal: Refusal};

/** Maximum number of attempts to run a statement before it is refused. */
const maxAttempts = 6;

/** Maximum fraction of a route's timeout for which a statement waits for a connection; the rest is left for running it. */
const maxWaitFraction = 0.7;

/** Retry delay given to a caller whose statement no instance accepted, in milliseconds. */
const retryAfterMs = 200;

/** Interval between checks of whether the instance of a read is silent, in milliseconds. */
const silenceCheckIntervalMs = 50;

/** What an operation has learned from its earlier attempts. */
type AttemptHistory = {
	/** Ids of instances that must not be used. */
	readonly excluded: Set<string>;
	/** Whether the statement may be sent to a gateway. */
	canForward: boolean;
	/** Whether a gateway has refused the statement in its queue. */
	isRefused: boolean;
};

/** One attempt to run a statement on an instance. */
type Attempt = {
	readonly operation: Operation;
	readonly request: StatementRequest;
	readonly prepared: PreparedStatement | undefined;
	readonly isWrite: boolean;
	/** Zero for the first attempt. */
	readonly index: number;
	readonly history: AttemptHistory;
	/** Undefined until a connection is acquired. */
	place: StatementPlace | undefined;
};

/** Runs statements outside transactions on any instance that is fresh enough, and retries them on another one where that is safe. */
export class AutocommitRunner {
	constructor(private readonly dependencies: SessionDependencies, private readonly runner: StatementRunner) {}

	/** Runs one statement and returns its final outcome. */
	async run(operation: Operation, request: StatementRequest, prepared: PreparedStatement | undefined): Promise<OperationOutcome> {
		const isWrite = isWriteStatement(request.statement, prepared);
		const history: AttemptHistory = {excluded: new Set(), canForward: true, isRefused: false};
		const {route, startedAt} = operation;
		const deadline = startedAt + route.statementTimeoutMs;
		const unanswered = new Set<Promise<OperationOutcome | undefined>>();
		for (let index = 0; index < maxAttempts && this.dependencies.clock.now() < deadline; index++) {
			const attempt: Attempt = {
				operation, request, prepared, isWrite, index, history, place: undefined,
			};
			const running = this.#runAttempt(attempt);
			const outcome = await (isWrite ? running : this.#waitForOutcome(attempt, running, unanswered));
			if (outcome === 'doubtful') {
				// This attempt may still be answered; the first answer of all attempts is used.
				unanswered.add(running);
				recordSilence(attempt);
				this.dependencies.metrics.addCount('read_doubted');
			} else if (outcome !== undefined && (outcome.kind === 'completed' || unanswered.size === 0)) {
				return outcome;
			} else if (outcome !== undefined) {
				break;
			}
		}

		return await waitForFirstOutcome(unanswered) ?? {kind: 'refused', refusal: refusals.overloaded(route.group, retryAfterMs)};
	}

	/** Waits for the outcome of a read attempt or of an earlier unanswered one; returns `doubtful` when the instance of this attempt becomes silent first. */
	async #waitForOutcome(attempt: Attempt, running: Promise<OperationOutcome | undefined>, unanswered: ReadonlySet<Promise<OperationOutcome | undefined>>): Promise<OperationOutcome | 'doubtful' | undefined> {
		return new Promise((resolve, reject) => {
			const timer = setInterval(this.dependencies.tasks.createCallback('silence check', () => {
				if (attempt.place?.isSilent() === true) {
					clearInterval(timer);
					resolve('doubtful');
				}
			}), silenceCheckIntervalMs);
			running.then(outcome => {
				clearInterval(timer);
				resolve(outcome);
			}).catch((error: unknown) => {
				clearInterval(timer);
				reject(error instanceof Error ? error : new Error(String(error)));
			});
			for (const earlier of unanswered) {
				earlier.then(outcome => {
					if (outcome !== undefined) {
						clearInterval(timer);
						resolve(outcome);
					}
				}).catch(() => {
					// The error was reported when this was the newest attempt.
				});
			}
		});
	}

	/** Runs the statement on one instance; returns undefined when it may be retried. */
	async #runAttempt(attempt: Attempt): Promise<OperationOutcome | undefined> {
		const {operation, request, prepared, isWrite, history} = attempt;
		const {route, startedAt} = operation;
		const deadline = startedAt + route.statementTimeoutMs;
		const requiredPosition = isWrite ? undefined : await fetchRequiredPosition(operation, this.dependencies);
		const place = await this.#acquirePlace(attempt, requiredPosition);
		if (place instanceof Refusal) {
			return {kind: 'refused', refusal: place};
		}

		attempt.place = place;
		const outgoing = {id: request.id, statement: request.statement, ...(!place.isPrimary && requiredPosition !== undefined && {since: requiredPosition})};
		const result = await runOrRelease(place, operation, outgoing, prepared, deadline);
		place.release(result.kind !== 'lost' && result.kind !== 'refused' && result.state === 'idle');
		const outcome = await this.#resolveOutcome(attempt, place, result);
		if (outcome === undefined) {
			this.dependencies.log.logEvent('statement.retried', {
				request: request.id, group: route.group, instance: place.instanceId, attempt: attempt.index, result: result.kind, reason: 'reason' in result ? result.reason : undefined,
				isPrimary: place.isPrimary, since: requiredPosition === undefined ? undefined : `${requiredPosition.term}.${requiredPosition.offset}`, waitedMs: Math.round(this.dependencies.clock.now() - startedAt),
			});
			recordRetry(history, place, result);
		}

		return outcome;
	}

	/** Waits for a connection of this VM, or of a gateway if the statement may be forwarded. */
	async #acquirePlace({operation, history: {excluded, canForward}}: Attempt, requiredPosition: LogPosition | undefined): Promise<StatementPlace | Refusal> {
		const {route, startedAt} = operation;
		const request: PlacementRequest = {
			group: route.group, account: operation.account, target: requiredPosition === undefined ? 'primary' : 'any', requiredPosition, committedAt: getCommitTime(operation, requiredPosition), priority: route.priority,
			deadline: startedAt + (route.statementTimeoutMs * maxWaitFraction), excluded,
		};
		return acquirePlace(request, this.dependencies, this.runner, {canForward, isReservation: false});
	}

	/** Returns the final outcome, or undefined when the statement may be retried. */
	async #resolveOutcome({operation, isWrite, history}: Attempt, place: StatementPlace, result: ForwardResult): Promise<OperationOutcome | undefined> {
		if (result.kind === 'completed') {
			if (isWrite && !await isWriteSafe(operation.route.group, place.instanceId, this.dependencies)) {
				return {kind: 'refused', refusal: refusals.outcomeUnknown('the term ended while the write was under way')};
			}

			return {...result, kind: 'completed', isCommit: isWrite};
		}

		if (result.kind === 'not-run') {
			return undefined;
		}

		if (result.kind === 'refused') {
			// Another instance may have a shorter queue, but only one more is tried.
			return place.isPrimary || history.isRefused ? result : undefined;
		}

		if (!isWrite && (result.kind === 'lost' || result.refusal.kind !== 'invalid-request')) {
			return undefined;
		}

		return {kind: 'refused', refusal: result.kind === 'lost' ? createLostAnswerRefusal(operation, result.reason) : result.refusal};
	}
}

/** Records that the instance or the gateway of an attempt does not answer. */
function recordSilence({history, place}: Attempt): void {
	if (place?.isRemote === true) {
		history.canForward = false;
	} else if (place !== undefined) {
		history.excluded.add(place.instanceId);
	}
}

/** Records why an attempt has to be repeated. */
function recordRetry(history: AttemptHistory, place: StatementPlace, result: ForwardResult): void {
	history.isRefused ||= result.kind === 'refused';
	history.canForward &&= !isGatewayFailure(place, result);
	if (isInstanceFailure(place, result)) {
		history.excluded.add(place.instanceId);
	}
}

/** Creates the refusal of a statement that may have run but was not answered. */
export function createLostAnswerRefusal(operation: Operation, reason: 'closed' | 'timeout'): Refusal {
	return reason === 'timeout' ? refusals.statementTimeout(operation.route.statementTimeoutMs) : refusals.outcomeUnknown('the instance closed the connection');
}

/** Waits for the first outcome of several attempts; returns undefined when none has one. */
async function waitForFirstOutcome(attempts: ReadonlySet<Promise<OperationOutcome | undefined>>): Promise<OperationOutcome | undefined> {
	if (attempts.size === 0) {
		return undefined;
	}

	try {
		return await Promise.any([...attempts].map(async attempt => {
			const outcome = await attempt;
			if (outcome === undefined) {
				throw new Error('the attempt ended without an outcome');
			}

			return outcome;
		}));
	} catch {
		// Every attempt ended without an outcome.
		return undefined;
	}
}
