import {type Refusal} from '@chicorysaddle/model';
import {
	type Placement, type PlacementRequest, type PreparedStatement, type RemotePlacement,
} from '../dispatch/index.js';
import {type ForwardResult, type NotRunReason, type OutgoingStatement} from '../statements/index.js';
import {getCommitTime, type Operation} from './operation.js';
import {type SessionDependencies} from './session-dependencies.js';
import {type StatementRunner} from './statement-runner.js';

/** Where the statements of an operation run: a connection of this VM, or the gateway of an instance. */
export type StatementPlace = {
	readonly instanceId: string;
	/** Whether the instance is used as the group's primary. */
	readonly isPrimary: boolean;
	/** Whether the place is at another VM. */
	readonly isRemote: boolean;
	/** Whether the connection, or the link to the gateway, is open. */
	readonly isOpen: boolean;
	/** Returns whether the instance, or the gateway, owes an answer and has sent nothing for too long. */
	isSilent(): boolean;
	/**
	 * Runs a statement.
	 * @param prepared - Prepared statement that it executes, if any.
	 * @param deadline - Monotonic time until which the answer is awaited, in milliseconds.
	 */
	run(operation: Operation, outgoing: OutgoingStatement, prepared: PreparedStatement | undefined, deadline: number): Promise<ForwardResult>;
	/**
	 * Gives the place back.
	 * @param isClean - Whether the connection is outside a transaction and has no statement in flight.
	 */
	release(isClean: boolean): void;
	/** Rolls the transaction back and gives the place back. */
	rollBack(): Promise<void>;
};

/** Timeout for a rollback, in milliseconds: it needs no slot of the instance. */
const rollBackTimeoutMs = 500;

/** Reasons of a gateway that do not concern the instance, so that the statement is not forwarded again. */
const gatewayReasons: ReadonlySet<NotRunReason> = new Set<NotRunReason>(['not-forwarded', 'lease-ended', 'preparation-failed']);

/** Returns whether a result shows that the gateway of a place cannot be used. */
export function isGatewayFailure({isRemote}: StatementPlace, result: ForwardResult): boolean {
	return isRemote && (result.kind === 'lost' || (result.kind === 'not-run' && gatewayReasons.has(result.reason)));
}

/** Returns whether a result shows that the instance of a place is not to be used for the operation again. */
export function isInstanceFailure(place: StatementPlace, result: ForwardResult): boolean {
	const isLost = result.kind === 'lost';
	// A gateway that still responds has lost the answer of the instance.
	return isGatewayFailure(place, result) ? isLost && place.isOpen && !place.isSilent() : isLost || !place.isPrimary;
}

/** Runs a statement at a place; gives the place back, not to be used again, if that causes an error. */
export async function runOrRelease(place: StatementPlace, ...statement: Parameters<StatementPlace['run']>): Promise<ForwardResult> {
	try {
		return await place.run(...statement);
	} catch (error) {
		place.release(false);
		throw error;
	}
}

/** Creates a place on a connection of this VM. */
function createLocalPlace(placement: Placement, {dispatcher, clock}: SessionDependencies, runner: StatementRunner): StatementPlace {
	const {instanceConnection} = placement.connection;
	return {
		instanceId: placement.pool.instance.id,
		isPrimary: placement.isPrimary,
		isRemote: false,
		get isOpen() {
			return instanceConnection.isOpen;
		},
		isSilent: () => placement.pool.tracker.getSilentSince(clock.now()) !== undefined,
		run: async (operation, outgoing, prepared, deadline) => runner.run(placement, operation, outgoing, prepared, deadline),
		release(isClean) {
			dispatcher.release(placement, isClean);
		},
		async rollBack() {
			if (placement.connection.isCutOff || dispatcher.isCutOff(placement.pool.instance)) {
				// Nothing may be sent; the instance rolls back when the connection is closed.
				dispatcher.release(placement, false);
				return;
			}

			let isRolledBack = false;
			try {
				const [outcome] = await instanceConnection.run([{statement: {kind: 'control-roll-back'}}], rollBackTimeoutMs);
				isRolledBack = outcome?.kind === 'completed' && outcome.state === 'idle';
			} finally {
				// A connection that may be inside a transaction is closed.
				dispatcher.release(placement, isRolledBack);
			}
		},
	};
}

/**
 * Creates a place at the gateway of an instance.
 * @param waitDeadline - Monotonic time until which the first statement may wait for a connection, in milliseconds.
 * @param isReservation - Whether the first statement is refused if others wait for a connection.
 */
function createRemotePlace(placement: RemotePlacement, waitDeadline: number, isReservation: boolean): StatementPlace {
	return {
		instanceId: placement.instance.id,
		isPrimary: placement.isPrimary,
		isRemote: true,
		get isOpen() {
			return placement.isOpen;
		},
		isSilent: () => placement.isSilent(),
		async run(operation, outgoing, prepared, deadline) {
			const {statement} = outgoing;
			const result = await placement.run({
				account: operation.account, priority: operation.route.priority, outgoing, prepared, session: operation.session, committedAt: getCommitTime(operation, outgoing.since), waitDeadline, deadline, isReservation: isReservation && statement.kind === 'control-begin',
				canCommit: statement.kind === 'commit' || statement.kind === 'write' || prepared?.access === 'write',
			});
			operation.mayHaveRun ||= result.kind !== 'not-run' && result.kind !== 'refused';
			return result;
		},
		release() {
			placement.release();
		},
		async rollBack() {
			placement.release();
		},
	};
}

/** How a place may be acquired. */
export type PlaceOptions = {
	/** Whether the place may be at a gateway. */
	readonly canForward: boolean;
	/** Whether a gateway refuses the first statement if others wait for a connection. */
	readonly isReservation: boolean;
};

/** Waits for a connection of this VM or, if the options allow it, of a gateway. */
export async function acquirePlace(request: PlacementRequest, dependencies: SessionDependencies, runner: StatementRunner, {canForward, isReservation}: PlaceOptions): Promise<StatementPlace | Refusal> {
	const {dispatcher} = dependencies;
	const acquired = canForward ? await dispatcher.acquireOrForward(request) : await dispatcher.acquire(request);
	switch (acquired.kind) {
		case 'placed': {
			return createLocalPlace(acquired.placement, dependencies, runner);
		}

		case 'forwarded': {
			return createRemotePlace(acquired.placement, request.deadline, isReservation);
		}

		case 'refused': {
			return acquired.refusal;
		}
	}
}
