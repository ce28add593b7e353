import {type Cluster, type VmProcess} from '../cluster/index.js';
import {type AccountStructure} from '../embedded/bootstrap.js';
import {type CallOutcome, type CallRecord, type History} from '../history/index.js';
import {SeededRandom} from '../stand-ins/index.js';
import {type AnswerBody, type Caller, type RawAnswer} from './caller.js';

/** Load of one account. */
export type AccountLoad = AccountStructure & {
	/** Calls offered, as a multiple of the rate. */
	offered: number;
};

/** What one action of a session needs. */
type SessionState = {
	readonly id: number;
	readonly account: AccountLoad;
	readonly group: string;
	token: string;
	rowKey: string;
	knownTags: string[];
	writes: number;
};

type ActionName = 'read' | 'browse' | 'file' | 'transaction' | 'intrude';

const callTimeoutMs = 5000;
/** Tags of one row; a session then takes another row. */
const longestRow = 12;
const actionWeights: ReadonlyArray<readonly [ActionName, number]> = [['read', 0.72], ['browse', 0.06], ['file', 0.17], ['transaction', 0.04], ['intrude', 0.01]];
/** Calls that one action of a kind makes against the rate. */
const actionCost: Readonly<Record<ActionName, number>> = {
	read: 1, browse: 1, file: 1, transaction: 3, intrude: 0,
};

/** Sends calls at random times, each account at its own rate, over sessions that roam between the VMs. */
export class Load {
	#isStopped = false;
	#nextId = 1;
	readonly #idle = new Map<string, SessionState[]>();
	readonly #running = new Set<Promise<void>>();
	readonly #random: SeededRandom;

	constructor(private readonly cluster: Cluster, private readonly caller: Caller, private readonly history: History, readonly accounts: AccountLoad[], seed: number) {
		this.#random = new SeededRandom(seed);
	}

	start(): void {
		for (const account of this.accounts) {
			this.#schedule(account);
		}
	}

	/** Stops sending and waits for the calls under way. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#running);
	}

	/** Keeps sending reads with a key that may be withdrawn, until the load stops. */
	async probeKey(account: AccountLoad, vms: readonly VmProcess[]): Promise<void> {
		const pauseMs = 100;
		const session = this.#createSession(account);
		for (let turn = 0; !this.#isStopped; turn += 1) {
			const vm = vms[turn % vms.length]!;
			const sentAt = performance.now();
			const answer = await this.caller.call(vm, 'Run', {route: `${session.group}.get`, parameters: {key: session.rowKey}}, {key: account.key, timeoutMs: callTimeoutMs});
			this.history.calls.push({
				sentAt, endedAt: performance.now(), vm: vm.name, wasDraining: false, account: `${account.name} (old key)`, key: account.key, session: session.id,
				group: session.group, action: 'read', rowKey: session.rowKey, tag: '', knownTags: [], mustBeRefused: false, outcome: describeOutcome(answer),
			});
			await new Promise(resolve => {
				setTimeout(resolve, pauseMs);
			});
		}
	}

	#schedule(account: AccountLoad): void {
		const averageCost = actionWeights.reduce((sum, [name, weight]) => sum + (actionCost[name] * weight), 0);
		const pauseMs = this.#random.getExponential((1000 * averageCost) / (account.rate * account.offered));
		setTimeout(() => {
			if (!this.#isStopped) {
				this.#startAction(account);
				this.#schedule(account);
			}
		}, pauseMs);
	}

	#startAction(account: AccountLoad): void {
		const idle = this.#idle.get(account.name) ?? [];
		this.#idle.set(account.name, idle);
		const session = idle.length > 4 ? idle.splice(Math.floor(this.#random.getFraction() * idle.length), 1)[0]! : this.#createSession(account);
		const running = (async () => {
			await this.#actions[this.#pickAction()](session);
			idle.push(session);
		})();
		this.#running.add(running);
		void running.finally(() => {
			this.#running.delete(running);
		});
	}

	#pickAction(): ActionName {
		let rest = this.#random.getFraction();
		for (const [name, weight] of actionWeights) {
			rest -= weight;
			if (rest < 0) {
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
			id, account, group: groups[id % groups.length]!, token: '', rowKey: `s${id}r0`, knownTags: [], writes: 0,
		};
	}

	readonly #actions: Readonly<Record<ActionName, (session: SessionState) => Promise<void>>> = {
		read: async session => this.#read(session, 'get'),
		browse: async session => this.#read(session, 'browse'),
		file: async session => this.#file(session),
		transaction: async session => this.#runTransaction(session),
		intrude: async session => this.#intrude(session),
	};

	async #read(session: SessionState, route: string): Promise<void> {
		await this.#call(session, {
			method: 'Run', action: 'read', tag: '',
			body: {route: `${session.group}.${route}`, parameters: {key: session.rowKey}, session: session.token},
		});
	}

	async #file(session: SessionState): Promise<void> {
		this.#takeRow(session);
		const tag = `${session.rowKey}w${session.writes}`;
		session.writes += 1;
		const call = {
			method: 'Run', action: 'write' as const, tag, idempotencyKey: tag,
			body: {route: `${session.group}.file`, parameters: {key: session.rowKey, value: tag, tag}, session: session.token},
		};
		let answer = await this.#call(session, call);
		const isUnsettled = answer.kind === 'broken' || (answer.kind === 'refused' && answer.ran === 'unknown');
		if (isUnsettled) {
			answer = await this.#call(session, {...call, body: {...call.body, session: session.token}});
		}

		if (answer.kind === 'answered') {
			session.knownTags.push(tag);
		}
	}

	async #runTransaction(session: SessionState): Promise<void> {
		this.#takeRow(session);
		const begun = await this.#call(session, {
			method: 'Begin', action: 'begin', tag: '', body: {group: session.group, session: session.token},
		});
		const transaction = begun.kind === 'answered' ? begun.body.transaction : undefined;
		if (transaction === undefined) {
			return;
		}

		const owner = `${session.rowKey}t${session.writes}`;
		session.writes += 1;
		const tags: string[] = [];
		for (const number of [0, 1]) {
			const tag = `${owner}:${number}`;
			const answer = await this.#call(session, {
				method: 'RunInTransaction', action: 'statement', tag,
				body: {transaction, route: `${session.group}.file`, parameters: {key: session.rowKey, value: tag, tag}},
			});
			if (answer.kind !== 'answered') {
				await this.caller.call(this.#pickVm(), 'RollBack', {transaction}, {key: session.account.key, timeoutMs: callTimeoutMs});
				return;
			}

			tags.push(tag);
		}

		const committed = await this.#call(session, {
			method: 'Commit', action: 'commit', tag: owner, body: {transaction, session: session.token},
		});
		if (committed.kind === 'answered') {
			session.knownTags.push(...tags);
		}
	}

	/** Calls that must be refused: a wrong key, and the session of another account. */
	async #intrude(session: SessionState): Promise<void> {
		const other = this.accounts.find(account => account !== session.account)!;
		const isWrongKey = session.token === '' || this.#random.getFraction() < 0.5;
		await this.#call(session, {
			method: 'Run', action: 'read', tag: '', mustBeRefused: true, key: isWrongKey ? 'csk_not-a-key' : other.key,
			body: {route: `${session.group}.get`, parameters: {key: session.rowKey}, session: session.token},
		});
	}

	#takeRow(session: SessionState): void {
		if (session.writes % longestRow === longestRow - 1) {
			session.writes += 1;
			session.rowKey = `s${session.id}r${session.writes}`;
			session.knownTags = [];
		}
	}

	/** Balances over the ready VMs, unevenly. */
	#pickVm(): VmProcess {
		const ready = this.cluster.getReadyVms();
		const vms = ready.length === 0 ? this.cluster.vms : ready;
		const skew = 1.5;
		return vms[Math.floor((this.#random.getFraction() ** skew) * vms.length)]!;
	}

	async #call(session: SessionState, call: {
		method: string; action: CallRecord['action']; tag: string; body: unknown; idempotencyKey?: string; mustBeRefused?: boolean; key?: string;
	}): Promise<RawAnswer> {
		const vm = this.#pickVm();
		const key = call.key ?? session.account.key;
		const sentAt = performance.now();
		const knownTags = [...session.knownTags];
		const {rowKey} = session;
		const answer = await this.caller.call(vm, call.method, call.body, {
			key, timeoutMs: callTimeoutMs, ...(call.idempotencyKey === undefined ? {} : {idempotencyKey: call.idempotencyKey}),
		});
		const token = answer.kind === 'answered' ? answer.body.session : (answer.kind === 'refused' ? answer.session : '');
		session.token = token && !call.mustBeRefused ? token : session.token;
		this.history.calls.push({
			sentAt, endedAt: performance.now(), vm: vm.name, wasDraining: vm.state === 'draining', account: session.account.name, key, session: session.id,
			group: session.group, action: call.action, rowKey, tag: call.tag, knownTags, mustBeRefused: call.mustBeRefused ?? false, outcome: describeOutcome(answer),
		});
		return answer;
	}
}

function describeOutcome(answer: RawAnswer): CallOutcome {
	return answer.kind === 'answered' ? describeBody(answer.body) : answer;
}

function describeBody(body: AnswerBody): CallOutcome {
	const columns = body.rows?.[0]?.columns;
	return {
		kind: 'answered', value: columns?.value, rowKey: columns?.key, servedBy: body.servedBy ?? '',
	};
}
