import {TransactionReservation} from '@chicorysaddle/decisions';
import {ConfigurationWatcher, ConfigurationView, SyncReplicaSource} from '../configuration/index.js';
import {
	ClusterMember, ConfigurationAssigner, Coordinator, CoordinatorLease, DutyMonitor, type GatewayIdentity, LogHolderProbe, LogHolderWriter, MemberRegistrar, Promoter, StoreRecovery, SuccessorPromoter, TermWriter,
} from '../coordination/index.js';
import {Dispatcher, NetworkDistance} from '../dispatch/index.js';
import {EvacuationMonitor, EvacuationRegistry, InstanceGuard} from '../evacuation/index.js';
import {
	Forwarding, ForwardingClient, ForwardingServer, GatewayDirectory,
} from '../forwarding/index.js';
import {
	GroupSizes, InstanceWatcher, InstanceRegistry, LogHolderRegistry,
} from '../instances/index.js';
import {Gateway} from '../lifecycle/index.js';
import {AccountLimiter} from '../limits/index.js';
import {
	createInstrumentedStore, EventLog, GatewayMetrics, type LogOutput, MemoryMonitor,
} from '../observability/index.js';
import {
	type AdjustableSettingsSource, type Clock, type CoordinationStore, type InstanceConnector, type PeerNetwork, type PromotionService,
} from '../ports/index.js';
import {InstanceStatusReader, PositionSurveyor, PromotionWatch} from '../positions/index.js';
import {createDefinitionBudget, type SessionDependencies, StatementRunner} from '../sessions/index.js';
import {
	BackgroundTasks, createContainedConnector, createContainedNetwork, createContainedPromotionService, createContainedStore,
} from '../tasks/index.js';
import {TermRegistry} from '../terms/index.js';

/** External dependencies of a gateway. */
export type GatewayPorts = {
	readonly clock: Clock;
	readonly store: CoordinationStore;
	readonly connector: InstanceConnector;
	readonly promotion: PromotionService;
	readonly network: PeerNetwork;
	readonly getSettings: AdjustableSettingsSource;
	/** Destination of log lines; defaults to standard output. */
	readonly logOutput?: LogOutput;
	/** Log and metrics of the process, if it had them before the gateway; created if absent. */
	readonly log?: EventLog;
	readonly metrics?: GatewayMetrics;
	/** Whether operations are forwarded to the gateways of instances whose connections are scarce; defaults to true. */
	readonly isForwardingEnabled?: boolean;
};

/** A gateway and the parts that its host process accesses. */
export type WiredGateway = {
	readonly gateway: Gateway;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	readonly terms: TermRegistry;
	readonly directory: GatewayDirectory;
};

/** Creates a gateway and all its parts; the composition root of the package. */
export function createGateway(identity: GatewayIdentity, {
	clock, store: platformStore, connector: platformConnector, promotion, network: platformNetwork, getSettings, logOutput, log = new EventLog(identity.vm, logOutput), metrics = new GatewayMetrics(), isForwardingEnabled = true,
}: GatewayPorts): WiredGateway {
	const tasks = new BackgroundTasks(log, metrics, clock);
	new MemoryMonitor(log, metrics).start(tasks);
	const store = createInstrumentedStore(createContainedStore(platformStore, tasks), metrics);
	const connector = createContainedConnector(platformConnector, tasks);
	const network = createContainedNetwork(platformNetwork, tasks);
	metrics.addGauge('store_era', () => store.era);
	metrics.addGauge('store_restores', () => store.restoreCount);
	metrics.addGauge('rows_unreadable', () => log.countEvents('row.unreadable'));
	const configuration = new ConfigurationView();
	const configurationWatcher = new ConfigurationWatcher(store, configuration, {random: Math.random, log, tasks});
	const instances = new InstanceRegistry(log);
	const groupSizes = new GroupSizes(instances, clock);
	const logHolders = new LogHolderRegistry(instances, configuration, clock);
	const instanceWatcher = new InstanceWatcher(store, instances, clock, Math.random, log);
	const terms = new TermRegistry(clock, log, metrics);
	const evacuations = new EvacuationRegistry(clock);
	evacuations.onChanged(tasks.createCallback('evacuation', () => {
		instances.setEvacuatedZones(evacuations.zones);
	}));
	configurationWatcher.onRead(({evacuations: rows, storeVersion}) => {
		if (rows !== undefined) {
			evacuations.applyRows(rows, storeVersion);
		}
	});
	const guard = new InstanceGuard({
		vm: identity.vm, evacuations, instances, configuration, clock, getSettings, random: Math.random,
	});
	// Reads the state of the other parts whenever an evacuation changes.
	new EvacuationMonitor({
		evacuations, instances, guard, terms, clock, log, metrics, tasks,
	}).start();
	const statusReader = new InstanceStatusReader({guard, connector, clock});
	const promotionWatch = new PromotionWatch({
		statusReader, terms, instances, clock, log, metrics,
	});
	const directory = new GatewayDirectory({identity, configuration});
	const forwardingClient = isForwardingEnabled
		? new ForwardingClient({
			vm: identity.vm, network, clock, metrics, log, directory, terms, tasks,
		})
		: undefined;
	const dispatcher = new Dispatcher({
		configuration, instances, guard, terms, connector, clock, metrics, log, distance: new NetworkDistance(identity.zone, identity.regions, clock, metrics), random: Math.random, getSettings, router: forwardingClient, tasks,
	});
	// After the dispatcher, which asks for the gateways of an instance until it has closed its connections.
	instances.onChanged(tasks.createCallback('gateway directory', (before, after) => {
		if (before !== undefined && after === undefined) {
			directory.removeInstance(before.id);
		}
	}));
	const forwarding = forwardingClient && new Forwarding(directory, forwardingClient, new ForwardingServer({
		directory, configuration, dispatcher, runner: new StatementRunner({
			clock, dispatcher, metrics, promotionWatch, terms,
		}), instances, clock, metrics, log, tasks,
	}));
	const limiter = new AccountLimiter({
		configuration, getSettings, clock, metrics, log, tasks,
	});
	const coordinatorLease = new CoordinatorLease(store, identity, clock, log);
	const configurationAssigner = new ConfigurationAssigner({
		vm: identity.vm, configuration, configurationWatcher, regions: identity.regions, clock,
	});
	const coordinator = new Coordinator({
		vm: identity.vm, coordinatorLease, terms, configuration, configurationAssigner, evacuations, clock, log, limitWindowMs: getSettings().limitWindowMs, isForwardingEnabled,
	});
	const termWriter = new TermWriter({
		coordinatorLease, coordinator, terms, store, log,
	});
	const logHolderProbe = new LogHolderProbe({
		configuration, instances, logHolders, terms, statusReader, clock,
	});
	const successorPromoter = new SuccessorPromoter({
		vm: identity.vm, regions: identity.regions, coordinatorLease, coordinator, terms, instances, groupSizes, logHolders, logHolderProbe, syncReplicas: new SyncReplicaSource(configuration, store), guard, statusReader, promotionWatch, termWriter, promotionService: createContainedPromotionService(promotion, tasks), clock, log, metrics,
	});
	const logHolderWriter = new LogHolderWriter({
		coordinatorLease, configuration, instances, logHolders, statusReader, clock,
	});
	const duties = new DutyMonitor(tasks, clock);
	const promoter = new Promoter({
		vm: identity.vm, coordinatorLease, coordinator, terms, instances, groupSizes, guard, configuration, dispatcher, store, statusReader, promotionWatch, termWriter, successorPromoter, clock, log, metrics, tasks, duties,
	});
	const registrar = new MemberRegistrar({
		coordinatorLease, coordinator, store, clock, log, tasks,
	});
	const storeRecovery = new StoreRecovery({
		coordinatorLease, coordinator, terms, promotionWatch, store, log, metrics,
	});
	const member = new ClusterMember({
		identity, coordinatorLease, coordinator, promoter, registrar, termWriter, logHolderProbe, logHolderWriter, storeRecovery, terms, configuration, configurationWatcher, instances, evacuations, guard, instanceWatcher, dispatcher, limiter, store, network, clock, log, metrics, random: Math.random, getSettings, forwarding, tasks, duties,
	});
	const sessionDependencies: SessionDependencies = {
		configuration, dispatcher, limiter, transactionReservation: new TransactionReservation(), definitionBudget: createDefinitionBudget(), terms, promotionWatch, clock, log, metrics, tasks, forwarding, surveyor: new PositionSurveyor({
			statusReader, terms, instances, groupSizes, clock, log, metrics,
		}),
	};
	return {
		gateway: new Gateway(sessionDependencies, instances, configurationWatcher, instanceWatcher, member), log, metrics, terms, directory,
	};
}
