import {type Container} from 'inversify';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {FreshnessTracker} from '@chicorysaddle/decisions';
import {PlatformClient} from '@chicorysaddle/store';
import {CallerAuthenticator} from '../access/index.js';
import {ConfigurationReplica} from '../configuration/index.js';
import {GroupRegistry} from '../groups/index.js';
import {LeaseRegistry, AccountLimiter} from '../limits/index.js';
import {PeerStateExchange, Membership, VoterReconciler} from '../membership/index.js';
import {
	Logger, Metrics, RepeatedTask, Tracing,
} from '../observability/index.js';
import {createHealthListener, Listeners, serveCallers} from '../server/index.js';
import {
	CallerHandlers, createCallerRoutes, createOperatorAuthInterceptor, createOperatorRoutes, createPeerAuthInterceptor, createPeerRoutes,
} from '../services/index.js';
import {type Settings} from '../settings/index.js';
import {TransactionRegistry} from '../transactions/index.js';
import {createContainer, serviceIdentifiers} from './container.js';

/** Delays between the runs of the repeated tasks, in milliseconds. */
const taskDelaysMs = {
	vmList: 2000,
	storePoll: 1000,
	tick: 100,
	leaseRebalancing: 1000,
	transactionSweep: 500,
	voterReconciliation: 2000,
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

	/** Binds the ports and starts serving; rejects if a port cannot be bound. */
	static async start(settings: Settings): Promise<Proxy> {
		const listeners = new Listeners(settings);
		await listeners.openPorts();
		const proxy = new Proxy(settings, listeners);
		proxy.#registerServices();
		proxy.#startTasks();
		proxy.#getService(Logger).info('proxy started', {caller: proxy.callerPort, peer: proxy.peerPort, operator: proxy.operatorPort});
		return proxy;
	}

	/** Returns whether the proxy accepts new requests. */
	isReady(): boolean {
		const areAllocatorsAvailable = this.settings.policy.limits !== 'product' || this.#getService(LeaseRegistry).isEveryLeaseHeld(this.#container.get(serviceIdentifiers.clock).getNow());
		// An empty identity passes the check whenever the configuration is fresh.
		return !this.#getService(Membership).isDraining && areAllocatorsAvailable && this.#getService(CallerAuthenticator).checkIdentity({account: '', keyHash: ''}).isRight() && this.#getService(ConfigurationReplica).version > 0 && this.#getService(GroupRegistry).areAllInstancesProbed;
	}

	/** Logs the failure of an operation that nothing awaits. */
	logFailure(reason: unknown): void {
		this.#getService(Logger).error('task failed', {error: String(reason)});
	}

	/** Reports unready, waits for the transactions and requests in flight, returns the shares of limits and the leases, and closes the proxy. */
	async drain(): Promise<void> {
		const {timeouts} = this.settings;
		const logger = this.#getService(Logger);
		logger.info('drain started');
		this.#getService(Membership).isDraining = true;
		await delay(timeouts.drain_grace_ms);
		await this.#waitForTransactions(timeouts.drain_limit_ms);
		await this.#listeners.closeCallerPorts(timeouts.drain_limit_ms);
		await this.#getService(AccountLimiter).returnSharesAndLeases();
		logger.info('drain ended');
		await this.close();
	}

	/** Closes the proxy without waiting for requests in flight. */
	async close(): Promise<void> {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		for (const task of this.#tasks) {
			task.stop();
		}

		await this.#listeners.closeCallerPorts(0);
		this.#listeners.closePeerAndOperatorPorts();
		this.#getService(GroupRegistry).close();
		this.#getService(Membership).close();
		this.#getService(PlatformClient).close();
		await this.#getService(Tracing).close();
	}

	#getService<T>(service: new (...parameters: never[]) => T): T {
		return this.#container.get(service as never);
	}

	async #waitForTransactions(timeoutMs: number): Promise<void> {
		const pollIntervalMs = 50;
		const registry = this.#getService(TransactionRegistry);
		for (let waitedMs = 0; registry.size > 0 && waitedMs < timeoutMs; waitedMs += pollIntervalMs) {
			await delay(pollIntervalMs);
		}
	}

	#registerServices(): void {
		const clock = this.#container.get(serviceIdentifiers.clock);
		const {timeouts, requests, peers, operator} = this.settings;
		const dependencies = {
			membership: this.#getService(Membership),
			exchange: this.#getService(PeerStateExchange),
			configuration: this.#getService(ConfigurationReplica),
			freshness: this.#getService(FreshnessTracker),
			groups: this.#getService(GroupRegistry),
			leases: this.#getService(LeaseRegistry),
			limiter: this.#getService(AccountLimiter),
			handlers: this.#getService(CallerHandlers),
			metrics: this.#getService(Metrics),
			tracing: this.#getService(Tracing),
			clock,
		};
		serveCallers(this.#listeners, createCallerRoutes({...dependencies, deadlines: {defaultMs: timeouts.default_deadline_ms, maxMs: timeouts.longest_deadline_ms}}), {
			maxBodyBytes: requests.max_body_bytes,
			maxDeadlineMs: timeouts.longest_deadline_ms,
			isDraining: () => dependencies.membership.isDraining,
		});
		this.#listeners.peer.on('request', connectNodeAdapter({routes: createPeerRoutes(dependencies), interceptors: [createPeerAuthInterceptor(peers.secret)]}));
		const operatorAdapter = connectNodeAdapter({routes: createOperatorRoutes(dependencies), interceptors: [createOperatorAuthInterceptor(operator.token_hashes)]});
		this.#listeners.operator.on('request', createHealthListener({isReady: () => this.isReady(), metrics: dependencies.metrics}, operatorAdapter));
		this.#addGauges();
	}

	#addGauges(): void {
		const metrics = this.#getService(Metrics);
		const {counters} = this.#getService(PlatformClient);
		for (const name of Object.keys(counters) as Array<keyof typeof counters>) {
			metrics.addGauge(`platform.${name}`, () => counters[name]);
		}

		metrics.addGauge('evacuation.zones', () => this.#getService(ConfigurationReplica).current.getEvacuatedZones().length);
		metrics.addGauge('evacuation.endpoints', () => this.#getService(GroupRegistry).getGroups().reduce((sum, group) => sum + group.state.instances.filter(({isEvacuated}) => isEvacuated).length, 0));
		metrics.addGauge('transactions.open', () => this.#getService(TransactionRegistry).size);
		metrics.addGauge('queue.waiting', () => this.#getService(GroupRegistry).getGroups().reduce((sum, group) => sum + group.dispatcher.waitingCount, 0));
	}

	#startTasks(): void {
		const configuration = this.#getService(ConfigurationReplica);
		const membership = this.#getService(Membership);
		const groups = this.#getService(GroupRegistry);
		const exchange = this.#getService(PeerStateExchange);
		const authenticator = this.#getService(CallerAuthenticator);
		const registry = this.#getService(TransactionRegistry);
		const freshness = this.#getService(FreshnessTracker);
		const clock = this.#container.get(serviceIdentifiers.clock);
		const configureGroups = () => {
			groups.applyConfiguration(configuration.current, membership.getVms(), membership.countEndpointSharers(configuration.current.getVoterNames()), freshness.getAgeMs(configuration.current.getVoterNames(), clock.getNow()));
		};

		const removeInvalidTransactions = () => {
			registry.removeInvalidTransactions(caller => authenticator.checkIdentity(caller).isRight());
		};

		configuration.addListener(rows => {
			if (rows.some(row => row.kind === 'endpoint' || row.kind === 'group')) {
				configureGroups();
			}

			if (rows.some(row => row.kind === 'key' || row.kind === 'account')) {
				removeInvalidTransactions();
			}
		});
		this.#startTask('store poll', taskDelaysMs.storePoll, async () => {
			await configuration.pollStore();
		});
		this.#startTask('VM list', taskDelaysMs.vmList, async () => {
			const knownPeers = membership.peers;
			await membership.refreshVmList();
			configureGroups();
			await Promise.all(membership.peers.filter(peer => !knownPeers.includes(peer)).map(async peer => exchange.pollPeer(peer)));
		});
		this.#startTask('exchange', this.settings.peers.exchange_ms, async () => exchange.pollPeers());
		this.#startTask('balance', taskDelaysMs.leaseRebalancing, async () => this.#getService(AccountLimiter).rebalanceLeases());
		// One timer for all frequent work, because waking up an idle process costs more than the work itself.
		this.#startTask('tick', taskDelaysMs.tick, () => {
			void this.#getService(LeaseRegistry).renewOrAcquire();
			void this.#getService(AccountLimiter).reportDemand();
			groups.checkGroups();
			exchange.pollMonitorsOfSuspectedPrimaries();
		});
		this.#startTask('sweep', taskDelaysMs.transactionSweep, removeInvalidTransactions);
		this.#startTask('voters', taskDelaysMs.voterReconciliation, async () => this.#getService(VoterReconciler).reconcile());
	}

	#startTask(name: string, delayMs: number, task: () => Promise<void> | void): void {
		const repeatedTask = new RepeatedTask(name, () => delayMs, task, this.#getService(Logger));
		this.#tasks.push(repeatedTask);
		repeatedTask.start();
	}
}

async function delay(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
