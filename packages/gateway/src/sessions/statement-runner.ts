import {refusals, type Refusal} from '@chicorysaddle/model';
import {type Placement, type PreparedStatement, type SessionValues} from '../dispatch/index.js';
import {
	type InstanceErrorKind, type OutgoingStatement, type RunResult, type Statement, type StatementOutcome,
} from '../statements/index.js';
import {getCommitTime} from './operation.js';
import {type OwnCommit} from './session-commits.js';
import {type SessionDependencies} from './session-dependencies.js';

/** Operation as far as running its statements needs it. */
export type RunOperation = OwnCommit & {
	readonly route: {readonly group: string};
	readonly session: SessionValues;
	/** Whether another VM forwarded it to this one; absent means false. */
	readonly isForwarded?: boolean;
	/** Whether an instance may have run any of it. */
	mayHaveRun: boolean;
};

/** Timeout for applying a session's values and prepared statement, in milliseconds: these statements need no slot of the instance. */
const preparationTimeoutMs = 500;

/** Creates the refusal for an error; undefined for errors that mean that the statement did not run. */
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

/** Runs statements on an acquired connection and records what the answers show about the instance. */
export class StatementRunner {
	constructor(private readonly dependencies: Pick<SessionDependencies, 'clock' | 'dispatcher' | 'metrics' | 'promotionWatch' | 'terms'>) {}

	/**
	 * Runs a statement of a caller.
	 * @param prepared - Prepared statement that it executes, if any.
	 * @param deadline - Monotonic time until which the answer is awaited, in milliseconds.
	 */
	async run(placement: Placement, operation: RunOperation, outgoing: OutgoingStatement, prepared: PreparedStatement | undefined, deadline: number): Promise<RunResult> {
		if (this.#isCutOff(placement)) {
			return {kind: 'not-run', reason: 'zone-evacuated', state: 'idle'};
		}

		const isPrepared = await this.#applyPreparation(placement, operation, prepared);
		if (!isPrepared) {
			return {kind: 'not-run', reason: 'preparation-failed', state: 'idle'};
		}

		const {clock, terms, metrics, promotionWatch} = this.dependencies;
		const {pool, connection} = placement;
		const canCommit = placement.isPrimary && (outgoing.statement.kind === 'commit' || outgoing.statement.kind === 'write' || prepared?.access === 'write');
		if (canCommit && !await promotionWatch.waitUntilWritable(operation.route.group)) {
			return {kind: 'not-run', reason: 'lease-ended', state: 'idle'};
		}

		if (placement.isPrimary && !await terms.waitUntilPrimaryIsUsable(operation.route.group, pool.instance.id)) {
			return {kind: 'not-run', reason: 'lease-ended', state: 'idle'};
		}

		if (this.#isCutOff(placement)) {
			return {kind: 'not-run', reason: 'zone-evacuated', state: 'idle'};
		}

		const sentAt = clock.now();
		if (canCommit) {
			terms.beginWrite(operation.route.group, operation.isForwarded);
		}

		const pendingRequest = pool.tracker.addPendingRequest('statement', sentAt);
		connection.isRunning = true;
		let outcome: StatementOutcome | undefined;
		try {
			[outcome] = await connection.instanceConnection.run([this.#resolvePreparedName(placement, outgoing, prepared)], Math.max(1, deadline - sentAt));
		} finally {
			connection.isRunning = false;
			pool.tracker.removePendingRequest(pendingRequest);
			if (canCommit) {
				// The write ends only after the continuation that passes on its outcome has run.
				setImmediate(() => {
					terms.endWrite(operation.route.group);
				});
			}
		}

		const now = clock.now();
		metrics.recordDuration('instance', now - sentAt);
		pool.tracker.recordOutcome(outcome!, sentAt, now);
		if (outcome?.kind === 'broken' && outcome.reason === 'timeout') {
			pool.closeIdleBefore(sentAt);
		}

		this.#recordPosition(placement, operation, outcome!, sentAt);
		recordReplicaLag(placement, operation, outgoing, outcome!, sentAt);
		const result = this.#createResult(placement, outgoing, outcome!, deadline - sentAt);
		operation.mayHaveRun ||= result.kind !== 'not-run';
		return result;
	}

	/** Applies the session's values and the prepared statement to the connection; returns whether all statements for it succeeded. */
	async #applyPreparation(placement: Placement, operation: RunOperation, prepared: PreparedStatement | undefined): Promise<boolean> {
		const preparation = placement.connection.createPreparation(operation.session, prepared);
		if (preparation.length === 0) {
			return true;
		}

		const outcomes = await placement.connection.instanceConnection.run(preparation, preparationTimeoutMs);
		const isApplied = outcomes.every(outcome => outcome.kind === 'completed');
		if (!isApplied) {
			// The session state of the connection is unknown now.
			placement.connection.instanceConnection.close();
		}

		return isApplied;
	}

	/** Returns whether nothing may be sent on a connection, because the zone of its instance is or was evacuated. */
	#isCutOff({pool, connection}: Placement): boolean {
		return connection.isCutOff || this.dependencies.dispatcher.isCutOff(pool.instance);
	}

	#resolvePreparedName(placement: Placement, outgoing: OutgoingStatement, prepared: PreparedStatement | undefined): OutgoingStatement {
		const name = prepared === undefined ? undefined : placement.connection.getPreparedName(prepared);
		return name === undefined || outgoing.statement.kind !== 'execute' ? outgoing : {...outgoing, statement: {...outgoing.statement, name}};
	}

	#recordPosition(placement: Placement, operation: RunOperation, outcome: StatementOutcome, sentAt: number): void {
		if (placement.isPrimary && outcome.kind !== 'broken' && outcome.position !== undefined) {
			this.dependencies.terms.recordPosition(operation.route.group, outcome.position, sentAt);
		}
	}

	#createResult(placement: Placement, outgoing: OutgoingStatement, outcome: StatementOutcome, timeoutMs: number): RunResult {
		if (outcome.kind === 'completed') {
			return outcome;
		}

		if (outcome.kind === 'broken') {
			return {kind: 'lost', reason: outcome.reason};
		}

		this.dependencies.metrics.addCount(`instance_error_${outcome.error}`);
		if (outcome.error === 'lagging' && outgoing.since !== undefined) {
			placement.pool.tracker.recordLagging(outgoing.since, this.dependencies.clock.now());
		} else if (outcome.error === 'no-statement') {
			placement.connection.clearPrepared();
		}

		const refusal = refusalsByError[outcome.error](outcome.message, timeoutMs);
		return refusal === undefined
			? {kind: 'not-run', reason: outcome.error, state: outcome.state}
			: {kind: 'failed', refusal, state: outcome.state};
	}
}

/** Records whether a replica had the session's own commit when a read that required it was sent. */
function recordReplicaLag({pool: {tracker}, isPrimary}: Placement, operation: RunOperation, {since}: OutgoingStatement, outcome: StatementOutcome, sentAt: number): void {
	const committedAt = isPrimary ? undefined : getCommitTime(operation, since);
	if (committedAt === undefined) {
		return;
	}

	if (outcome.kind === 'completed') {
		tracker.lag.recordCaughtUp(sentAt - committedAt, sentAt);
	} else if (outcome.kind === 'error' && outcome.error === 'lagging') {
		tracker.lag.recordLagging(sentAt - committedAt, sentAt);
	}
}

/** Returns whether an instance may be required to have reached a position before it runs a statement: only before a read and the beginning of a transaction. */
export function canRequirePosition({kind}: OutgoingStatement['statement'], prepared: Pick<PreparedStatement, 'access'> | undefined): boolean {
	return kind === 'control-begin' || kind === 'read' || (kind === 'execute' && prepared?.access === 'read');
}

/** Returns whether a statement of a caller may change data. */
export function isWriteStatement(statement: Statement, prepared: PreparedStatement | undefined): boolean {
	return statement.kind === 'write' || prepared?.access === 'write';
}
