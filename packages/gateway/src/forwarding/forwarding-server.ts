import {clampTimerMs, refusals, type Refusal} from '@chicorysaddle/model';
import {type ForwardMessage, type ForwardOutcome, type PeerMessage} from '@chicorysaddle/protocol/coordination';
import {type ConfigurationView} from '../configuration/index.js';
import {type Dispatcher, type Placement, type PlacementRequest} from '../dispatch/index.js';
import {type InstanceRegistry} from '../instances/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type Clock, type PeerLink} from '../ports/index.js';
import {canRequirePosition, type StatementRunner} from '../sessions/index.js';
import {type OutgoingStatement, type RunResult} from '../statements/index.js';
import {type BackgroundTasks} from '../tasks/index.js';
import {isCommitAnswered} from './forwarding-client.js';
import {type GatewayDirectory} from './gateway-directory.js';
import {encodeOutcome} from './outcome-codec.js';
import {RemoteSessions} from './remote-sessions.js';

/** Interval at which a gateway reports progress on links with unanswered statements, in milliseconds. */
const progressIntervalMs = 100;

/** Interval between checks of whether the instance of a read is silent, in milliseconds. */
const silenceCheckIntervalMs = 50;

/** Timeout for a rollback, in milliseconds: it needs no slot of the instance. */
const rollBackTimeoutMs = 500;

/** Time beyond the idle time of transactions after which a gateway ends one, in milliseconds: the VM of the caller ends it first. */
const idleMarginMs = 1000;

/** Messages between an entry VM and a gateway. */
export type ForwardingMessage = Extract<PeerMessage, {kind: `forward${string}`}>;

/** Returns whether a message is one between an entry VM and a gateway. */
export function isForwardingMessage(message: {readonly kind: string}): message is ForwardingMessage {
	return message.kind.startsWith('forward');
}

/** Dependencies of a `ForwardingServer`. */
export type ForwardingServerDependencies = {
	readonly directory: GatewayDirectory;
	readonly configuration: ConfigurationView;
	readonly dispatcher: Dispatcher;
	readonly runner: StatementRunner;
	readonly instances: InstanceRegistry;
	readonly clock: Clock;
	readonly metrics: GatewayMetrics;
	readonly log: EventLog;
	readonly tasks: BackgroundTasks;
};

/** A statement of another VM that is not answered yet. */
type RemoteStatement = {
	readonly message: ForwardMessage;
	readonly receivedAt: number;
	/** Request while it waits for a connection. */
	request: PlacementRequest | undefined;
	isCancelled: boolean;
};

/** A transaction of another VM. */
type RemoteTransaction = {
	readonly placement: Placement;
	/** Ends the transaction if its VM sends nothing for too long. */
	idleTimer: NodeJS.Timeout | undefined;
	isRunning: boolean;
	isEnded: boolean;
};

/** What a gateway keeps for a link. */
type LinkState = {
	readonly vm: string;
	readonly sessions: RemoteSessions;
	readonly statements: Map<number, RemoteStatement>;
	readonly transactions: Map<number, RemoteTransaction>;
};

/** Runs the statements that other VMs forward to this one as the gateway of an instance. */
export class ForwardingServer {
	readonly #links = new Map<PeerLink, LinkState>();
	#isDraining = false;
	#progressTimer: NodeJS.Timeout | undefined;

	constructor(private readonly dependencies: ForwardingServerDependencies) {
		dependencies.metrics.addGauge('gateway_connections', () => dependencies.dispatcher.countGatewayConnections());
		dependencies.metrics.addGauge('gateway_waiting', () => this.#countStatements());
	}

	/** Whether this VM accepts no new statements. */
	get isDraining(): boolean {
		return this.#isDraining;
	}

	/** Whether a statement or a transaction of another VM is not finished. */
	get isBusy(): boolean {
		return [...this.#links.values()].some(({statements, transactions}) => statements.size > 0 || transactions.size > 0);
	}

	/** Accepts no new operations; running ones finish. */
	beginDraining(): void {
		this.#isDraining = true;
	}

	/** Rolls the open transactions of other VMs back. */
	endTransactions(): void {
		for (const state of this.#links.values()) {
			for (const id of state.transactions.keys()) {
				this.#endTransaction(state, id);
			}
		}
	}

	/** Closes all links. */
	stop(): void {
		for (const link of this.#links.keys()) {
			link.close();
		}

		clearInterval(this.#progressTimer);
		this.#progressTimer = undefined;
	}

	/** Handles a message of another VM. */
	handleMessage(link: PeerLink, message: ForwardingMessage): void {
		const state = this.#links.get(link);
		if (message.kind === 'forward-open') {
			this.#links.set(link, state ?? {
				vm: message.vm, sessions: new RemoteSessions(), statements: new Map(), transactions: new Map(),
			});
			link.send({kind: 'forward-opened'});
		} else if (state === undefined) {
			link.close();
		} else {
			this.#handleAcceptedMessage(link, state, message);
		}
	}

	/** Rolls back what the VM of a closed link has left open. */
	handleClosed(link: PeerLink): void {
		const state = this.#links.get(link);
		if (state === undefined) {
			return;
		}

		this.#links.delete(link);
		for (const statement of state.statements.values()) {
			this.#abandonStatement(statement);
		}

		for (const id of state.transactions.keys()) {
			this.#endTransaction(state, id);
		}
	}

	/** Handles a message on a link that was accepted. */
	#handleAcceptedMessage(link: PeerLink, state: LinkState, message: Exclude<ForwardingMessage, {kind: 'forward-open'}>): void {
		switch (message.kind) {
			case 'forward': {
				this.dependencies.tasks.run('forwarded statement', async () => this.#handleForward(link, state, message));
				return;
			}

			case 'forward-cancel': {
				this.#abandonStatement(state.statements.get(message.id));
				return;
			}

			case 'forward-end': {
				this.#endTransaction(state, message.transaction);
				return;
			}

			case 'forward-answer':
			case 'forward-opened':
			case 'forward-progress': {
				this.dependencies.log.logEvent('peer.unexpected', {message: message.kind});
				link.close();
			}
		}
	}

	async #handleForward(link: PeerLink, state: LinkState, message: ForwardMessage): Promise<void> {
		const statement: RemoteStatement = {
			message, receivedAt: this.dependencies.clock.now(), request: undefined, isCancelled: false,
		};
		state.statements.set(message.id, statement);
		this.#startProgressTimer();
		let outcome: ForwardOutcome;
		try {
			outcome = await this.#runStatement(link, state, statement);
		} catch (error) {
			this.dependencies.log.logEvent('session.error', {connection: state.vm, request: message.statementId ?? String(message.id), error: error instanceof Error ? error.stack ?? error.message : String(error)});
			outcome = {kind: 'lost', reason: 'closed'};
		}

		state.statements.delete(message.id);
		this.dependencies.metrics.addCount(`gateway_${outcome.kind}`);
		if (!statement.isCancelled) {
			link.send({
				kind: 'forward-answer', id: message.id, outcome, gatewayMs: this.dependencies.clock.now() - statement.receivedAt,
			});
		}
	}

	async #runStatement(link: PeerLink, state: LinkState, statement: RemoteStatement): Promise<ForwardOutcome> {
		const {message} = statement;
		if (isContinued(message)) {
			return this.#runInTransaction(state, statement);
		}

		if (this.#isDraining) {
			return {kind: 'rejected', reason: 'draining'};
		}

		const placed = await this.#place(statement);
		if (placed.kind !== 'placed') {
			return placed.outcome;
		}

		const {placement} = placed;
		if (statement.isCancelled) {
			this.dependencies.dispatcher.release(placement, true);
			return {kind: 'not-run', reason: 'not-forwarded', state: 'idle'};
		}

		const running = this.#run(state, statement, placement);
		return message.statement.kind === 'control-begin'
			? this.#acceptTransaction({link, state, statement}, placement, await running)
			: this.#completeStatement(statement, placement, running);
	}

	/** Waits for a connection of this VM to the instance. */
	async #place(statement: RemoteStatement): Promise<{readonly kind: 'placed'; readonly placement: Placement} | {readonly kind: 'failed'; readonly outcome: ForwardOutcome}> {
		const {message, receivedAt} = statement;
		const {dispatcher, directory, instances} = this.dependencies;
		const instance = [...instances.getGroupInstances(message.group)].find(({id}) => id === message.instance);
		if (instance === undefined || !directory.isGateway(instance)) {
			return {kind: 'failed', outcome: {kind: 'rejected', reason: 'not-gateway'}};
		}

		if (message.isReservation === true && dispatcher.countWaiting(message.group) > 0) {
			return {kind: 'failed', outcome: encodeOutcome({kind: 'refused', refusal: refusals.overloaded(message.group, progressIntervalMs)})};
		}

		statement.request = {
			group: message.group, account: message.account, target: message.isPrimary ? 'primary' : 'any', requiredPosition: message.requiredPosition, committedAt: getCommittedAt(statement), priority: message.priority,
			deadline: receivedAt + message.waitMs, excluded: new Set(), instanceId: message.instance,
		};
		const acquired = await dispatcher.acquire(statement.request);
		statement.request = undefined;
		return acquired.kind === 'placed' ? acquired : {kind: 'failed', outcome: this.#createRefusal(acquired.refusal)};
	}

	/** Creates the outcome of a refusal; one that only concerns this VM makes the other VM try without it. */
	#createRefusal(refusal: Refusal): ForwardOutcome {
		if (this.#isDraining) {
			return {kind: 'rejected', reason: 'draining'};
		}

		return refusal.kind === 'no-primary' ? {kind: 'rejected', reason: 'unusable'} : encodeOutcome({kind: 'refused', refusal});
	}

	async #run(state: LinkState, statement: RemoteStatement, placement: Placement): Promise<RunResult> {
		const {message, receivedAt} = statement;
		// A former build states the position of a transaction with each of its statements.
		const isPositioned = !placement.isPrimary && !isContinued(message) && canRequirePosition(message.statement, message.prepared);
		const outgoing: OutgoingStatement = {
			statement: message.statement,
			...(message.statementId !== undefined && {id: message.statementId}),
			...(isPositioned && message.requiredPosition !== undefined && {since: message.requiredPosition}),
		};
		const operation = {
			route: {group: message.group}, session: state.sessions.getSession(message), lastCommit: message.requiredPosition, lastCommitAt: getCommittedAt(statement), isForwarded: true, mayHaveRun: false,
		};
		try {
			return await this.dependencies.runner.run(placement, operation, outgoing, message.prepared, receivedAt + message.runMs);
		} catch (error) {
			this.dependencies.log.logEvent('session.error', {connection: state.vm, request: message.statementId ?? String(message.id), error: error instanceof Error ? error.stack ?? error.message : String(error)});
			// The instance may have run the statement, so its connection is closed.
			return {kind: 'lost', reason: 'closed'};
		}
	}

	/** Answers a statement outside a transaction; a read of a silent instance is answered as lost before it ends. */
	async #completeStatement({message}: RemoteStatement, placement: Placement, running: Promise<RunResult>): Promise<ForwardOutcome> {
		const isRead = message.statement.kind === 'read' || message.prepared?.access === 'read';
		const finished = this.#releaseAfter(placement, running);
		return isRead ? this.#waitUnlessSilent(placement, finished) : finished;
	}

	async #releaseAfter(placement: Placement, running: Promise<RunResult>): Promise<ForwardOutcome> {
		const result = await running;
		this.dependencies.dispatcher.release(placement, result.kind !== 'lost' && result.state === 'idle');
		return encodeOutcome(result);
	}

	async #waitUnlessSilent({pool}: Placement, finished: Promise<ForwardOutcome>): Promise<ForwardOutcome> {
		let timer: NodeJS.Timeout | undefined;
		const silence = new Promise<ForwardOutcome>(resolve => {
			timer = setInterval(this.dependencies.tasks.createCallback('silence check', () => {
				if (pool.tracker.getSilentSince(this.dependencies.clock.now()) !== undefined) {
					resolve({kind: 'lost', reason: 'timeout'});
				}
			}), silenceCheckIntervalMs);
		});
		try {
			return await Promise.race([finished, silence]);
		} finally {
			clearInterval(timer);
		}
	}

	/** Keeps the connection of a transaction that has begun, unless its VM is gone. */
	#acceptTransaction({link, state, statement}: {readonly link: PeerLink; readonly state: LinkState; readonly statement: RemoteStatement}, placement: Placement, result: RunResult): ForwardOutcome {
		const {transaction} = statement.message;
		const isBegun = result.kind === 'completed' && result.state === 'in-transaction';
		if (!isBegun || transaction === undefined) {
			this.dependencies.dispatcher.release(placement, false);
			return encodeOutcome(result);
		}

		state.transactions.set(transaction, {
			placement, idleTimer: undefined, isRunning: false, isEnded: false,
		});
		this.#startIdleTimer(state, transaction);
		if (statement.isCancelled || !this.#links.has(link)) {
			this.#endTransaction(state, transaction);
		}

		return encodeOutcome(result);
	}

	async #runInTransaction(state: LinkState, statement: RemoteStatement): Promise<ForwardOutcome> {
		const {transaction: id = 0} = statement.message;
		const transaction = state.transactions.get(id);
		if (transaction === undefined || transaction.isEnded || transaction.isRunning) {
			// The transaction was rolled back, so nothing of it is kept.
			return {kind: 'not-run', reason: 'aborted', state: 'idle'};
		}

		transaction.isRunning = true;
		clearTimeout(transaction.idleTimer);
		const result = await this.#run(state, statement, transaction.placement);
		transaction.isRunning = false;
		const isCommit = statement.message.statement.kind === 'commit';
		if (result.kind === 'lost' || (isCommit && isCommitAnswered(result))) {
			state.transactions.delete(id);
			this.dependencies.dispatcher.release(transaction.placement, result.kind === 'completed' && result.state === 'idle');
		} else if (transaction.isEnded) {
			this.#startRollBack(state, id, transaction);
		} else {
			this.#startIdleTimer(state, id);
		}

		return encodeOutcome(result);
	}

	/** Ends a transaction after a while without a statement: a link that loses everything does not close. */
	#startIdleTimer(state: LinkState, id: number): void {
		const transaction = state.transactions.get(id);
		const idleMs = this.dependencies.configuration.configuration?.transactionIdleMs;
		if (transaction !== undefined && idleMs !== undefined) {
			transaction.idleTimer = setTimeout(this.dependencies.tasks.createCallback('idle transaction', () => {
				this.#endTransaction(state, id);
			}), clampTimerMs(idleMs + idleMarginMs));
		}
	}

	/** Rolls a transaction back, after the running statement if there is one. */
	#endTransaction(state: LinkState, id: number): void {
		const transaction = state.transactions.get(id);
		if (transaction !== undefined && !transaction.isEnded) {
			transaction.isEnded = true;
			clearTimeout(transaction.idleTimer);
			if (!transaction.isRunning) {
				this.#startRollBack(state, id, transaction);
			}
		}
	}

	#startRollBack(state: LinkState, id: number, transaction: RemoteTransaction): void {
		this.dependencies.tasks.run('rollback', async () => this.#rollBack(state, id, transaction));
	}

	async #rollBack(state: LinkState, id: number, {placement}: RemoteTransaction): Promise<void> {
		const {dispatcher} = this.dependencies;
		if (placement.connection.isCutOff || dispatcher.isCutOff(placement.pool.instance)) {
			// Nothing may be sent; the instance rolls back when the connection is closed.
			state.transactions.delete(id);
			dispatcher.release(placement, false);
			return;
		}

		let isRolledBack = false;
		try {
			const [outcome] = await placement.connection.instanceConnection.run([{statement: {kind: 'control-roll-back'}}], rollBackTimeoutMs);
			isRolledBack = outcome?.kind === 'completed' && outcome.state === 'idle';
		} finally {
			state.transactions.delete(id);
			// A connection that may be inside a transaction is closed.
			dispatcher.release(placement, isRolledBack);
		}
	}

	#abandonStatement(statement: RemoteStatement | undefined): void {
		if (statement !== undefined) {
			statement.isCancelled = true;
			if (statement.request !== undefined) {
				this.dependencies.dispatcher.abandon(statement.request);
			}
		}
	}

	#countStatements(): number {
		let count = 0;
		for (const {statements} of this.#links.values()) {
			count += statements.size;
		}

		return count;
	}

	#startProgressTimer(): void {
		this.#progressTimer ??= setInterval(this.dependencies.tasks.createCallback('forwarding progress', () => {
			this.#sendProgress();
		}), progressIntervalMs);
	}

	#sendProgress(): void {
		const now = this.dependencies.clock.now();
		for (const [link, {statements}] of this.#links) {
			if ([...statements.values()].some(({receivedAt}) => now - receivedAt >= progressIntervalMs)) {
				link.send({kind: 'forward-progress'});
			}
		}

		if (this.#countStatements() === 0) {
			clearInterval(this.#progressTimer);
			this.#progressTimer = undefined;
		}
	}
}

/** Returns whether a statement belongs to a transaction that has begun. */
function isContinued({transaction, statement}: ForwardMessage): boolean {
	return transaction !== undefined && statement.kind !== 'control-begin';
}

/** Returns the time at which the session's own commit that a read requires was acknowledged, in milliseconds; undefined if it requires none. */
function getCommittedAt({message: {commitAgeMs}, receivedAt}: RemoteStatement): number | undefined {
	return commitAgeMs === undefined ? undefined : receivedAt - commitAgeMs;
}
