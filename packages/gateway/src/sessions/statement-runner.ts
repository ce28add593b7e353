import {
	refusals, type LogPosition, type Refusal,
} from '@chicorysaddle/model';
import {type Placement, type PreparedStatement} from '../dispatch/index.js';
import {
	type InstanceErrorKind, type OutgoingStatement, type SessionState, type Statement, type StatementOutcome,
} from '../statements/index.js';
import {type Operation} from './operation.js';
import {type SessionDependencies} from './session-dependencies.js';

/** What a place did for a statement. */
export type RunResult =
	| {readonly kind: 'completed'; readonly rows: readonly string[]; readonly signature: string; readonly state: SessionState; readonly position: LogPosition | undefined}
	/** The statement did not run and may be sent elsewhere. */
	| {readonly kind: 'not-run'; readonly reason: InstanceErrorKind | 'preparation-failed' | 'lease-ended'; readonly state: SessionState}
	/** The statement ran and failed, with the state that the instance answered. */
	| {readonly kind: 'failed'; readonly refusal: Refusal; readonly state: SessionState}
	/** There was no answer. */
	| {readonly kind: 'lost'; readonly reason: 'closed' | 'timeout'};

/** Time to put a session's values in force, milliseconds: no slot is needed for it. */
const preparationTimeoutMs = 500;

const refusalsByError: Readonly<Record<InstanceErrorKind, (message: string, timeoutMs: number) => Refusal | undefined>> = {
	aborted: () => undefined,
	busy: () => undefined,
	'connection-limit': () => undefined,
	lagging: () => undefined,
	'no-statement': () => undefined,
	'not-primary': () => undefined,
	'wrong-instance': () => undefined,
	failed: message => refusals.statementFailed(message),
	malformed: message => refusals.invalid(message),
	'outcome-unknown': message => refusals.outcomeUnknown(message),
	timeout: (_message, timeoutMs) => refusals.statementTimeout(timeoutMs),
};

/** Sends one statement at a time to a place and takes in what the answer tells about the instance. */
export class StatementRunner {
	constructor(private readonly dependencies: SessionDependencies) {}

	/**
	 * Runs a statement of a caller.
	 * @param prepared - What the statement executes, for prepared ones.
	 * @param since - Position that the instance has to hold.
	 * @param deadline - Steady time until which the answer is waited for.
	 */
	async run(place: Placement, operation: Operation, outgoing: OutgoingStatement, prepared: PreparedStatement | undefined, deadline: number): Promise<RunResult> {
		const isPrepared = await this.#prepare(place, operation, prepared);
		if (!isPrepared) {
			return {kind: 'not-run', reason: 'preparation-failed', state: 'idle'};
		}

		const {clock, terms, metrics} = this.dependencies;
		const {pool, connection} = place;
		if (place.isPrimary && !await terms.waitUntilPrimaryIsUsable(operation.route.group, pool.instance.id)) {
			return {kind: 'not-run', reason: 'lease-ended', state: 'idle'};
		}

		const sentAt = clock.now();
		const isChanging = place.isPrimary && (outgoing.statement.kind === 'commit' || outgoing.statement.kind === 'write' || prepared?.access === 'write');
		if (isChanging) {
			terms.beginWrite(operation.route.group);
		}

		const question = pool.tracker.addPendingRequest('statement', sentAt);
		const [outcome] = await connection.instanceConnection.run([this.#resolvePreparedName(place, outgoing, prepared)], Math.max(1, deadline - sentAt));
		pool.tracker.removePendingRequest(question);
		if (isChanging) {
			// After the continuation that passes the outcome on.
			setImmediate(() => {
				terms.endWrite(operation.route.group);
			});
		}

		const now = clock.now();
		metrics.recordDuration('instance', now - sentAt);
		pool.tracker.observeOutcome(outcome!, sentAt, now);
		if (outcome?.kind === 'broken' && outcome.reason === 'timeout') {
			pool.closeIdleBefore(sentAt);
		}

		this.#observePosition(place, operation, outcome!, sentAt);
		const result = this.#createResult(place, outgoing, outcome!, deadline - sentAt);
		operation.mayHaveRun ||= result.kind !== 'not-run';
		return result;
	}

	async #prepare(place: Placement, operation: Operation, prepared: PreparedStatement | undefined): Promise<boolean> {
		const preparation = place.connection.createPreparation(operation.session, prepared);
		if (preparation.length === 0) {
			return true;
		}

		const outcomes = await place.connection.instanceConnection.run(preparation, preparationTimeoutMs);
		const isDone = outcomes.every(outcome => outcome.kind === 'completed');
		if (!isDone) {
			// What is in force on the connection is not known any more.
			place.connection.instanceConnection.close();
		}

		return isDone;
	}

	#resolvePreparedName(place: Placement, outgoing: OutgoingStatement, prepared: PreparedStatement | undefined): OutgoingStatement {
		const name = prepared === undefined ? undefined : place.connection.getPreparedName(prepared);
		return name === undefined || outgoing.statement.kind !== 'execute' ? outgoing : {...outgoing, statement: {...outgoing.statement, name}};
	}

	#observePosition(place: Placement, operation: Operation, outcome: StatementOutcome, sentAt: number): void {
		if (place.isPrimary && outcome.kind !== 'broken' && outcome.position !== undefined) {
			this.dependencies.terms.recordPosition(operation.route.group, outcome.position, sentAt);
		}
	}

	#createResult(place: Placement, outgoing: OutgoingStatement, outcome: StatementOutcome, timeoutMs: number): RunResult {
		if (outcome.kind === 'completed') {
			return outcome;
		}

		if (outcome.kind === 'broken') {
			return {kind: 'lost', reason: outcome.reason};
		}

		this.dependencies.metrics.addCount(`instance_error_${outcome.error}`);
		if (outcome.error === 'lagging' && outgoing.since !== undefined) {
			place.pool.tracker.observeLagging(outgoing.since, this.dependencies.clock.now());
		} else if (outcome.error === 'no-statement') {
			place.connection.clearPrepared();
		}

		const refusal = refusalsByError[outcome.error](outcome.message, timeoutMs);
		return refusal === undefined
			? {kind: 'not-run', reason: outcome.error, state: outcome.state}
			: {kind: 'failed', refusal, state: outcome.state};
	}
}

/** Says whether a statement of a caller may change data. */
export function isWriteStatement(statement: Statement, prepared: PreparedStatement | undefined): boolean {
	return statement.kind === 'write' || prepared?.access === 'write';
}
