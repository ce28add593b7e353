import {type Container} from 'inversify';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {FreshnessTracker} from '@chicorysaddle/decisions';
import {PlatformClient} from '@chicorysaddle/store';
import {AccessGate} from '../access/index.js';
import {ConfigurationReplica} from '../configuration/index.js';
import {GroupRegistry} from '../groups/index.js';
import {LeaseRegistry, AccountLimiter} from '../limits/index.js';
import {PeerStateExchange, Membership, VoterReconciler} from '../membership/index.js';
import {
	Logger, Metrics, RepeatedTask, Tracing,
} from '../observability/index.js';
import {createHealthListener, Listeners, serveCallers} from '../server/index.js';
import {
	CallerHandlers, createCallerRoutes, createOperatorGuard, createOperatorRoutes, createPeerGuard, createPeerRoutes,
} from '../services/index.js';
import {type Settings} from '../settings/index.js';
import {TransactionRegistry} from '../transactions/index.js';
import {createContainer, partNames} from './container.js';

/** Pauses of the repeated tasks, in milliseconds. */
const pauses = {
	vmList: 2000,
	storePoll: 1000,
	tick: 100,
	balance: 1000,
	sweep: 500,
	voters: 2000,
} as const;

/** One running proxy. */
export class Proxy {
	readonly #listeners: Listeners;
	readonly #tasks: RepeatedTask[] = [];
	readonly #container: Container;
	#isClosed = false;

	private constructor(private readonly settings: Settings, listeners: Listeners) {
		this.#listeners = listeners;
		this.#container = createContainer(settings, `${settings.vm.address}:${listeners.peerPort}`);
	}

	get callerPort(): number {
		return this.#listeners.callerPort;
	}

	get operatorPort(): number {
		return this.#listeners.operatorPort;
	}

	get peerPort(): number {
		return this.#listeners.peerPort;
	}

	/** Binds the ports and starts to work. */
	static async start(settings: Settings): Promise<Proxy> {
		const listeners = new Listeners(settings);
		await listeners.open();
		const proxy = new Proxy(settings, listeners);
		proxy.#serve();
		proxy.#startTasks();
		proxy.#get(Logger).info('proxy started', {caller: proxy.callerPort, peer: proxy.peerPort, operator: proxy.operatorPort});
		return proxy;
	}

	/** Whether new requests are welcome. */
	isReady(): boolean {
		const hasAllocator = this.settings.policy.limits !== 'product' || this.#get(LeaseRegistry).isEveryLeaseHeld(this.#container.get(partNames.clock).getNow());
		return !this.#get(Membership).isDraining && hasAllocator && this.#get(AccessGate).checkIdentity({account: '', keyHash: ''}).isRight() && this.#get(ConfigurationReplica).version > 0 && this.#get(GroupRegistry).areAllInstancesProbed;
	}

	/** Becomes unready, finishes what is in flight, gives shares back and closes. */
	async drain(): Promise<void> {
		const {timeouts} = this.settings;
		const logger = this.#get(Logger);
		logger.info('drain started');
		this.#get(Membership).isDraining = true;
		await wait(timeouts.drain_grace_ms);
		await this.#finishTransactions(timeouts.drain_limit_ms);
		await this.#listeners.closeCallers(timeouts.drain_limit_ms);
		await this.#get(AccountLimiter).returnSharesAndLeases();
		logger.info('drain ended');
		await this.close();
	}

	/** Stops everything at once. */
	async close(): Promise<void> {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		for (const task of this.#tasks) {
			task.stop();
		}

		await this.#listeners.closeCallers(0);
		this.#listeners.closeControl();
		this.#get(GroupRegistry).close();
		this.#get(Membership).close();
		this.#get(PlatformClient).close();
		await this.#get(Tracing).close();
	}

	#get<T>(part: new (...parameters: never[]) => T): T {
		return this.#container.get(part as never);
	}

	async #finishTransactions(limitMs: number): Promise<void> {
		const stepMs = 50;
		const registry = this.#get(TransactionRegistry);
		for (let waitedMs = 0; registry.size > 0 && waitedMs < limitMs; waitedMs += stepMs) {
			await wait(stepMs);
		}
	}

	#serve(): void {
		const clock = this.#container.get(partNames.clock);
		const {timeouts, requests, peers, operator} = this.settings;
		const parts = {
			membership: this.#get(Membership),
			exchange: this.#get(PeerStateExchange),
			configuration: this.#get(ConfigurationReplica),
			freshness: this.#get(FreshnessTracker),
			groups: this.#get(GroupRegistry),
			leases: this.#get(LeaseRegistry),
			limiter: this.#get(AccountLimiter),
			handlers: this.#get(CallerHandlers),
			metrics: this.#get(Metrics),
			tracing: this.#get(Tracing),
			clock,
		};
		serveCallers(this.#listeners, createCallerRoutes({...parts, deadlines: {defaultMs: timeouts.default_deadline_ms, longestMs: timeouts.longest_deadline_ms}}), {
			maxBodyBytes: requests.max_body_bytes,
			longestDeadlineMs: timeouts.longest_deadline_ms,
			isDraining: () => parts.membership.isDraining,
		});
		this.#listeners.peer.on('request', connectNodeAdapter({routes: createPeerRoutes(parts), interceptors: [createPeerGuard(peers.secret)]}));
		const operatorAdapter = connectNodeAdapter({routes: createOperatorRoutes(parts), interceptors: [createOperatorGuard(operator.token_hashes)]});
		this.#listeners.operator.on('request', createHealthListener({isReady: () => this.isReady(), metrics: parts.metrics}, operatorAdapter));
		this.#addGauges();
	}

	#addGauges(): void {
		const metrics = this.#get(Metrics);
		const {counters} = this.#get(PlatformClient);
		for (const name of Object.keys(counters) as Array<keyof typeof counters>) {
			metrics.addGauge(`platform.${name}`, () => counters[name]);
		}

		metrics.addGauge('transactions.open', () => this.#get(TransactionRegistry).size);
		metrics.addGauge('queue.waiting', () => this.#get(GroupRegistry).getGroups().reduce((sum, group) => sum + group.dispatcher.waitingCount, 0));
	}

	#startTasks(): void {
		const configuration = this.#get(ConfigurationReplica);
		const membership = this.#get(Membership);
		const groups = this.#get(GroupRegistry);
		const exchange = this.#get(PeerStateExchange);
		const gate = this.#get(AccessGate);
		const registry = this.#get(TransactionRegistry);
		const configureGroups = () => {
			groups.applyConfiguration(configuration.current, membership.getVms(), membership.countEndpointSharers(configuration.current.getVoterNames()));
		};

		const sweep = () => {
			registry.removeInvalid(caller => gate.checkIdentity(caller).isRight());
		};

		configuration.addListener(rows => {
			if (rows.some(row => row.kind === 'endpoint' || row.kind === 'group')) {
				configureGroups();
			}

			if (rows.some(row => row.kind === 'key' || row.kind === 'account')) {
				sweep();
			}
		});
		this.#repeat('store poll', pauses.storePoll, async () => {
			await configuration.pollStore();
		});
		this.#repeat('VM list', pauses.vmList, async () => {
			const known = membership.peers;
			await membership.refreshVmList();
			configureGroups();
			await Promise.all(membership.peers.filter(peer => !known.includes(peer)).map(async peer => exchange.pollPeer(peer)));
		});
		this.#repeat('exchange', this.settings.peers.exchange_ms, async () => exchange.pollPeers());
		this.#repeat('balance', pauses.balance, async () => this.#get(AccountLimiter).rebalanceLeases());
		// One timer for whatever is due many times a second: each wake-up of an idle process costs more than the work.
		this.#repeat('tick', pauses.tick, () => {
			void this.#get(LeaseRegistry).renewOrSeek();
			void this.#get(AccountLimiter).reportDemand();
			groups.checkGroups();
			exchange.pollWatchersOfSuspectedGroups();
		});
		this.#repeat('sweep', pauses.sweep, sweep);
		this.#repeat('voters', pauses.voters, async () => this.#get(VoterReconciler).reconcile());
	}

	#repeat(name: string, pauseMs: number, task: () => Promise<void> | void): void {
		const repeated = new RepeatedTask(name, () => pauseMs, task, this.#get(Logger));
		this.#tasks.push(repeated);
		repeated.start();
	}
}

async function wait(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
