import {type Cluster, type VmProcess} from '../cluster/index.js';
import {type InitialAccount} from '../embedded/bootstrap.js';
import {type CallOutcome, type CallRecord, type History} from '../history/index.js';
import {SeededRandom} from '../fakes/index.js';
import {type CallerClient, type CallResult, type ResponseBody} from './caller-client.js';

/** Account with the load that it offers. */
export type AccountLoad = InitialAccount & {
	/** Offered calls, as a multiple of the account's rate. */
	offeredLoad: number;
};

/** State of one caller session. */
type SessionState = {
	readonly id: number;
	readonly account: AccountLoad;
	readonly group: string;
	token: string;
	rowKey: string;
	acknowledgedTags: string[];
	writes: number;
};

/** Action of a session: `browse` is a read that accepts stale data, `file` a write, `intrude` a read that must be refused. */
type ActionName = 'read' | 'browse' | 'file' | 'transaction' | 'intrude';

const callTimeoutMs = 5000;
/** Write numbers that a session uses per row, one of them for the change of row; this bounds the length of a value. */
const writeNumbersPerRow = 12;
const actionWeights: ReadonlyArray<readonly [ActionName, number]> = [['read', 0.72], ['browse', 0.06], ['file', 0.17], ['transaction', 0.04], ['intrude', 0.01]];
/** Calls per action that count against the account's rate. */
const callsPerAction: Readonly<Record<ActionName, number>> = {
	read: 1, browse: 1, file: 1, transaction: 3, intrude: 0,
};

/** Starts actions as a Poisson process for each account, in sessions that move between VMs. */
export class LoadGenerator {
	#isStopped = false;
	#nextId = 1;
	readonly #idleSessions = new Map<string, SessionState[]>();
	readonly #runningActions = new Set<Promise<void>>();
	readonly #random: SeededRandom;

	constructor(private readonly cluster: Cluster, private readonly callerClient: CallerClient, private readonly history: History, readonly accounts: AccountLoad[], seed: number) {
		this.#random = new SeededRandom(seed);
	}

	start(): void {
		for (const account of this.accounts) {
			this.#scheduleNextAction(account);
		}
	}

	/** Stops sending and waits for the pending calls. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#runningActions);
	}

	/** Sends reads with a key that may have been withdrawn, until the load stops. */
	async sendReadsWithKey(account: AccountLoad, vms: readonly VmProcess[]): Promise<void> {
		const pauseMs = 100;
		const session = this.#createSession(account);
		for (let callIndex = 0; !this.#isStopped; callIndex += 1) {
			const vm = vms[callIndex % vms.length]!;
			const sentAt = performance.now();
			const result = await this.callerClient.sendCall(vm, 'Run', {route: `${session.group}.get`, parameters: {key: session.rowKey}}, {key: account.key, timeoutMs: callTimeoutMs});
			this.history.calls.push({
				sentAt, endedAt: performance.now(), vm: vm.name, wasDraining: false, account: `${account.name} (old key)`, key: account.key, session: session.id,
				group: session.group, action: 'read', rowKey: session.rowKey, tag: '', acknowledgedTags: [], mustBeRefused: false, outcome: createOutcome(result),
			});
			await new Promise(resolve => {
				setTimeout(resolve, pauseMs);
			});
		}
	}

	#scheduleNextAction(account: AccountLoad): void {
		const meanCallsPerAction = actionWeights.reduce((sum, [name, weight]) => sum + (callsPerAction[name] * weight), 0);
		const pauseMs = this.#random.nextExponential((1000 * meanCallsPerAction) / (account.rate * account.offeredLoad));
		setTimeout(() => {
			if (!this.#isStopped) {
				this.#startAction(account);
				this.#scheduleNextAction(account);
			}
		}, pauseMs);
	}

	#startAction(account: AccountLoad): void {
		const idleSessions = this.#idleSessions.get(account.name) ?? [];
		this.#idleSessions.set(account.name, idleSessions);
		const session = idleSessions.length > 4 ? idleSessions.splice(Math.floor(this.#random.nextFraction() * idleSessions.length), 1)[0]! : this.#createSession(account);
		const action = (async () => {
			await this.#actions[this.#chooseAction()](session);
			idleSessions.push(session);
		})();
		this.#runningActions.add(action);
		void action.finally(() => {
			this.#runningActions.delete(action);
		});
	}

	#chooseAction(): ActionName {
		let remaining = this.#random.nextFraction();
		for (const [name, weight] of actionWeights) {
			remaining -= weight;
			if (remaining < 0) {
				return name;
			}
		}

		return 'read';
	}

	#createSession(account: AccountLoad): SessionState {
		const id = this.#nextId;
		this.#nextId += 1;
		const groups = this.cluster.deployment.groups.map(group => group.name);
		return {
			id, account, group: groups[id % groups.length]!, token: '', rowKey: `s${id}r0`, acknowledgedTags: [], writes: 0,
		};
	}

	readonly #actions: Readonly<Record<ActionName, (session: SessionState) => Promise<void>>> = {
		read: async session => this.#sendRead(session, 'get'),
		browse: async session => this.#sendRead(session, 'browse'),
		file: async session => this.#sendWrite(session),
		transaction: async session => this.#runTransaction(session),
		intrude: async session => this.#sendForbiddenRead(session),
	};

	async #sendRead(session: SessionState, route: string): Promise<void> {
		await this.#sendCall(session, {
			method: 'Run', action: 'read', tag: '',
			body: {route: `${session.group}.${route}`, parameters: {key: session.rowKey}, session: session.token},
		});
	}

	async #sendWrite(session: SessionState): Promise<void> {
		this.#rotateRow(session);
		const tag = `${session.rowKey}w${session.writes}`;
		session.writes += 1;
		const call = {
			method: 'Run', action: 'write' as const, tag, idempotencyKey: tag,
			body: {route: `${session.group}.file`, parameters: {key: session.rowKey, value: tag, tag}, session: session.token},
		};
		let result = await this.#sendCall(session, call);
		const isOutcomeUnknown = result.kind === 'broken' || (result.kind === 'refused' && result.ran === 'unknown');
		if (isOutcomeUnknown) {
			result = await this.#sendCall(session, {...call, body: {...call.body, session: session.token}});
		}

		if (result.kind === 'answered') {
			session.acknowledgedTags.push(tag);
		}
	}

	async #runTransaction(session: SessionState): Promise<void> {
		this.#rotateRow(session);
		const beginResult = await this.#sendCall(session, {
			method: 'Begin', action: 'begin', tag: '', body: {group: session.group, session: session.token},
		});
		const transaction = beginResult.kind === 'answered' ? beginResult.body.transaction : undefined;
		if (transaction === undefined) {
			return;
		}

		const transactionTag = `${session.rowKey}t${session.writes}`;
		session.writes += 1;
		const tags: string[] = [];
		for (const number of [0, 1]) {
			const tag = `${transactionTag}:${number}`;
			const result = await this.#sendCall(session, {
				method: 'RunInTransaction', action: 'statement', tag,
				body: {transaction, route: `${session.group}.file`, parameters: {key: session.rowKey, value: tag, tag}},
			});
			if (result.kind !== 'answered') {
				await this.callerClient.sendCall(this.#chooseVm(), 'RollBack', {transaction}, {key: session.account.key, timeoutMs: callTimeoutMs});
				return;
			}

			tags.push(tag);
		}

		const commitResult = await this.#sendCall(session, {
			method: 'Commit', action: 'commit', tag: transactionTag, body: {transaction, session: session.token},
		});
		if (commitResult.kind === 'answered') {
			session.acknowledgedTags.push(...tags);
		}
	}

	/** Sends a read that must be refused: with an unknown key, or with the key of another account and the token of this session. */
	async #sendForbiddenRead(session: SessionState): Promise<void> {
		const otherAccount = this.accounts.find(account => account !== session.account)!;
		const isWrongKey = session.token === '' || this.#random.nextFraction() < 0.5;
		await this.#sendCall(session, {
			method: 'Run', action: 'read', tag: '', mustBeRefused: true, key: isWrongKey ? 'csk_not-a-key' : otherAccount.key,
			body: {route: `${session.group}.get`, parameters: {key: session.rowKey}, session: session.token},
		});
	}

	#rotateRow(session: SessionState): void {
		if (session.writes % writeNumbersPerRow === writeNumbersPerRow - 1) {
			session.writes += 1;
			session.rowKey = `s${session.id}r${session.writes}`;
			session.acknowledgedTags = [];
		}
	}

	/** Chooses a ready VM with an uneven distribution that favors the first ones. */
	#chooseVm(): VmProcess {
		const ready = this.cluster.getReadyVms();
		const vms = ready.length === 0 ? this.cluster.vms : ready;
		const skewExponent = 1.5;
		return vms[Math.floor((this.#random.nextFraction() ** skewExponent) * vms.length)]!;
	}

	async #sendCall(session: SessionState, call: {
		method: string; action: CallRecord['action']; tag: string; body: unknown; idempotencyKey?: string; mustBeRefused?: boolean; key?: string;
	}): Promise<CallResult> {
		const vm = this.#chooseVm();
		const key = call.key ?? session.account.key;
		const sentAt = performance.now();
		const acknowledgedTags = [...session.acknowledgedTags];
		const {rowKey} = session;
		const result = await this.callerClient.sendCall(vm, call.method, call.body, {
			key, timeoutMs: callTimeoutMs, ...(call.idempotencyKey === undefined ? {} : {idempotencyKey: call.idempotencyKey}),
		});
		const token = result.kind === 'answered' ? result.body.session : (result.kind === 'refused' ? result.session : '');
		session.token = token && !call.mustBeRefused ? token : session.token;
		this.history.calls.push({
			sentAt, endedAt: performance.now(), vm: vm.name, wasDraining: vm.state === 'draining', account: session.account.name, key, session: session.id,
			group: session.group, action: call.action, rowKey, tag: call.tag, acknowledgedTags, mustBeRefused: call.mustBeRefused ?? false, outcome: createOutcome(result),
		});
		return result;
	}
}

function createOutcome(result: CallResult): CallOutcome {
	return result.kind === 'answered' ? createAnsweredOutcome(result.body) : result;
}

function createAnsweredOutcome(body: ResponseBody): CallOutcome {
	const columns = body.rows?.[0]?.columns;
	return {
		kind: 'answered', value: columns?.value, rowKey: columns?.key, servedBy: body.servedBy ?? '',
	};
}
