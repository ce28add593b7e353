import {randomBytes} from 'node:crypto';
import 'reflect-metadata';
import {Container, type ServiceIdentifier} from 'inversify';
import {FreshnessTracker, ReadRouter, RetryBudget} from '@chicorysaddle/decisions';
import {ConfigurationLog, PlatformClient} from '@chicorysaddle/store';
import {CallerAuthenticator} from '../access/index.js';
import {ConfigurationReplica} from '../configuration/index.js';
import {HttpEndpointConnector} from '../endpoints/index.js';
import {GroupRegistry, Promoter} from '../groups/index.js';
import {LeaseRegistry, AccountLimiter} from '../limits/index.js';
import {PeerStateExchange, Membership, VoterReconciler} from '../membership/index.js';
import {
	type Clock, Logger, Metrics, systemClock, Tracing,
} from '../observability/index.js';
import {ClaimRegistry, type RequestDependencies, RequestRunner} from '../requests/index.js';
import {CallerHandlers} from '../services/index.js';
import {SessionTokenCodec} from '../sessions/index.js';
import {type Settings} from '../settings/index.js';
import {TransactionRegistry, TransactionRunner} from '../transactions/index.js';

/** Name of the secret in the configuration that signs session tokens. */
export const sessionSecretName = 'session';

const incarnationLengthBytes = 6;
const idPrefixLengthBytes = 12;

/** Identifiers of the services that have no class of their own. */
export const serviceIdentifiers = {
	settings: Symbol('settings') as ServiceIdentifier<Settings>,
	clock: Symbol('clock') as ServiceIdentifier<Clock>,
	requestDependencies: Symbol('request dependencies') as ServiceIdentifier<RequestDependencies>,
} as const;

/**
 * Creates the container with the services of one proxy.
 * @param settings - Validated settings.
 * @param peerAddress - Address and port of the bound peer listener, which other VMs connect to.
 */
export function createContainer(settings: Settings, peerAddress: string): Container {
	const container = new Container({defaultScope: 'Singleton'});
	container.bind(serviceIdentifiers.settings).toConstantValue(settings);
	container.bind(serviceIdentifiers.clock).toConstantValue(systemClock);
	container.bind(Metrics).toConstantValue(new Metrics());
	container.bind(Logger).toConstantValue(new Logger(settings.log.level, {vm: settings.vm.name}));
	container.bind(Tracing).toConstantValue(new Tracing({sampleRatio: settings.trace.sample_ratio, otlpUrl: settings.trace.otlp_url}));
	bindMembershipAndConfiguration(container, settings, peerAddress);
	bindLimits(container, settings);
	bindGroups(container, settings);
	bindRequests(container, settings);
	return container;
}

function bindMembershipAndConfiguration(container: Container, settings: Settings, peerAddress: string): void {
	const sourceAddress = settings.vm.source_address;
	container.bind(PlatformClient).toDynamicValue(() => new PlatformClient({address: settings.platform.address, timeoutMs: settings.platform.timeout_ms, sourceAddress})).inSingletonScope();
	container.bind(FreshnessTracker).toDynamicValue(context => new FreshnessTracker(settings.vm.name, settings.timeouts.freshness_ms, context.get(serviceIdentifiers.clock).getNow())).inSingletonScope();
	container.bind(Membership).toDynamicValue(context => new Membership({
		name: settings.vm.name, zone: settings.vm.zone, address: peerAddress, incarnation: randomBytes(incarnationLengthBytes).toString('hex'),
	}, context.get(PlatformClient), {secret: settings.peers.secret, sourceAddress}, context.get(serviceIdentifiers.clock))).inSingletonScope();
	container.bind(ConfigurationReplica).toDynamicValue(context => new ConfigurationReplica({
		log: new ConfigurationLog(context.get(PlatformClient), context.get(PlatformClient)),
		freshness: context.get(FreshnessTracker),
		membership: context.get(Membership),
		clock: context.get(serviceIdentifiers.clock),
		logger: context.get(Logger),
	})).inSingletonScope();
	container.bind(VoterReconciler).toDynamicValue(context => new VoterReconciler(context.get(ConfigurationReplica), context.get(Membership), context.get(serviceIdentifiers.clock))).inSingletonScope();
	container.bind(CallerAuthenticator).toDynamicValue(context => {
		const configuration = context.get(ConfigurationReplica).current;
		const freshness = context.get(FreshnessTracker);
		const clock = context.get(serviceIdentifiers.clock);
		return new CallerAuthenticator({
			configuration,
			isFresh: () => freshness.isFresh(configuration.getVoterNames(), clock.getNow()),
			getAgeMs: () => freshness.getAgeMs(configuration.getVoterNames(), clock.getNow()),
		});
	}).inSingletonScope();
}

function bindLimits(container: Container, settings: Settings): void {
	container.bind(LeaseRegistry).toDynamicValue(context => new LeaseRegistry(context.get(Membership), context.get(ConfigurationReplica), context.get(serviceIdentifiers.clock), context.get(Logger))).inSingletonScope();
	container.bind(AccountLimiter).toDynamicValue(context => new AccountLimiter({
		membership: context.get(Membership),
		configuration: context.get(ConfigurationReplica),
		leases: context.get(LeaseRegistry),
		clock: context.get(serviceIdentifiers.clock),
		metrics: context.get(Metrics),
		logger: context.get(Logger),
		policy: settings.policy.limits,
	})).inSingletonScope();
}

function bindGroups(container: Container, settings: Settings): void {
	container.bind(Promoter).toDynamicValue(context => new Promoter(context.get(Membership).id, context.get(PlatformClient), context.get(serviceIdentifiers.clock), context.get(Logger), context.get(Metrics))).inSingletonScope();
	container.bind(GroupRegistry).toDynamicValue(context => new GroupRegistry(
		settings.vm.name,
		new HttpEndpointConnector({connectTimeoutMs: settings.timeouts.endpoint_connect_ms, sourceAddress: settings.vm.source_address}),
		context.get(Promoter),
		context.get(serviceIdentifiers.clock),
		{queuePolicy: settings.policy.queue, evacuationMs: settings.timeouts.evacuation_ms},
	)).inSingletonScope();
	container.bind(PeerStateExchange).toDynamicValue(context => new PeerStateExchange({
		membership: context.get(Membership),
		configuration: context.get(ConfigurationReplica),
		freshness: context.get(FreshnessTracker),
		groups: context.get(GroupRegistry),
		leases: context.get(LeaseRegistry),
		clock: context.get(serviceIdentifiers.clock),
		timeoutMs: settings.peers.timeout_ms,
	})).inSingletonScope();
}

/** Creates a generator of unique ids, which consist of a random prefix and a counter. */
function createIdGenerator(): () => string {
	const prefix = randomBytes(idPrefixLengthBytes).toString('base64url');
	let lastNumber = 0;
	return () => {
		lastNumber += 1;
		return `${prefix}.${lastNumber.toString(36)}`;
	};
}

function bindRequests(container: Container, settings: Settings): void {
	container.bind(serviceIdentifiers.requestDependencies).toDynamicValue(context => {
		const configuration = context.get(ConfigurationReplica);
		return {
			authenticator: context.get(CallerAuthenticator),
			configuration,
			groups: context.get(GroupRegistry),
			limiter: context.get(AccountLimiter),
			sessions: new SessionTokenCodec(() => configuration.current.getSecret(sessionSecretName)),
			claims: new ClaimRegistry(context.get(PlatformClient)),
			router: new ReadRouter(settings.vm.zone, settings.policy.reads, randomBytes(1)[0]! / 256),
			retryBudget: new RetryBudget(),
			clock: context.get(serviceIdentifiers.clock),
			metrics: context.get(Metrics),
			tracing: context.get(Tracing),
			acknowledge: settings.policy.acknowledge,
			getRandom: () => randomBytes(1)[0]! / 256,
			createId: createIdGenerator(),
		};
	}).inSingletonScope();
	container.bind(RequestRunner).toDynamicValue(context => new RequestRunner(context.get(serviceIdentifiers.requestDependencies))).inSingletonScope();
	container.bind(TransactionRegistry).toDynamicValue(context => new TransactionRegistry({
		idleTimeoutMs: settings.timeouts.transaction_idle_ms, totalTimeoutMs: settings.timeouts.transaction_total_ms,
	}, context.get(serviceIdentifiers.clock))).inSingletonScope();
	container.bind(TransactionRunner).toDynamicValue(context => new TransactionRunner({
		...context.get(serviceIdentifiers.requestDependencies),
		registry: context.get(TransactionRegistry),
		requests: context.get(RequestRunner),
		idPrefix: context.get(Membership).id,
	})).inSingletonScope();
	container.bind(CallerHandlers).toDynamicValue(context => new CallerHandlers({
		requests: context.get(RequestRunner),
		transactions: context.get(TransactionRunner),
		membership: context.get(Membership),
		clock: context.get(serviceIdentifiers.clock),
		metrics: context.get(Metrics),
		tracing: context.get(Tracing),
	})).inSingletonScope();
}
