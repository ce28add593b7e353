import {refusals, type Refusal} from '@chicorysaddle/model';
import {type ConfigurationWatcher} from '../configuration/index.js';
import {type ClusterMember} from '../coordination/index.js';
import {type InstanceWatcher, type InstanceRegistry} from '../instances/index.js';
import {type CallerConnection} from '../ports/index.js';
import {CallerSession, type SessionIdentity, type SessionDependencies} from '../sessions/index.js';

/** Timing of a graceful shutdown. */
export type ShutdownTiming = {
	/** Time from the signal to the forced exit, in milliseconds. */
	readonly graceMs: number;
	/** Time until the load balancer stops sending new connections here, in milliseconds; less of it is waited for where the grace period is short. */
	readonly rotationMs: number;
};

/** Retry delay sent to callers refused during startup or shutdown, in milliseconds: short, because other VMs accept them at once. */
const retryAfterMs = 50;

/** Interval between checks of the progress of a shutdown, in milliseconds. */
const drainPollMs = 25;

/** Interval of `summary` events, in milliseconds. */
const summaryIntervalMs = 2000;

/** Delay from the start to the loading of the histograms, in milliseconds: by then the callers that waited for a restarted VM are served. */
const histogramDelayMs = 5000;

/** Time reserved at the end of the grace period to leave the cluster and exit, in milliseconds. */
const exitReserveMs = 500;

/** Time reserved before that for sessions to end, once callers no longer come, in milliseconds. */
const sessionReserveMs = 300;

/** Time before the end of the grace period at which the process exits in any case, in milliseconds. */
const exitMarginMs = 150;

/** Phase of a shutdown; it determines whether sessions are accepted. */
type DrainPhase = 'none' | 'leaving-rotation' | 'finishing' | 'refusing';

/** Manages the sessions and background tasks of this VM from start to shutdown. */
export class Gateway {
	readonly #sessions = new Set<CallerSession>();
	readonly #drain: {phase: DrainPhase} = {phase: 'none'};

	constructor(
		private readonly dependencies: SessionDependencies,
		private readonly instances: InstanceRegistry,
		private readonly configurationWatcher: ConfigurationWatcher,
		private readonly instanceWatcher: InstanceWatcher,
		private readonly member: ClusterMember,
	) {
		dependencies.metrics.addGauge('sessions', () => this.#sessions.size);
		dependencies.metrics.addGauge('configuration_version', () => dependencies.configuration.version);
		dependencies.metrics.addGauge('waiting', () => dependencies.dispatcher.countWaiting());
		dependencies.metrics.addGauge('term_lease_ms', () => dependencies.terms.getLeaseRemainingMs());
		configurationWatcher.onApplied(() => {
			this.#closeRevokedSessions();
		});
	}

	/** Whether new sessions are accepted: the gateway is not shutting down, and has a configuration and a list of instances. */
	get isReady(): boolean {
		return this.#drain.phase === 'none' && this.dependencies.configuration.version > 0 && this.instances.appliedAt !== undefined;
	}

	/** Starts the background tasks. */
	async start(): Promise<void> {
		const {tasks} = this.dependencies;
		tasks.runLoop('configuration watch', async () => this.configurationWatcher.run(), () => this.configurationWatcher.isStopped);
		tasks.runLoop('instance watch', async () => this.instanceWatcher.run(), () => this.instanceWatcher.isStopped);
		await this.member.start();
		setTimeout(() => {
			tasks.run('histograms', async () => this.dependencies.metrics.loadHistograms());
		}, histogramDelayMs).unref();
		setInterval(tasks.createCallback('summary', () => {
			const {metrics, dispatcher, log} = this.dependencies;
			log.logEvent('summary', {
				gains: metrics.takeCounterIncreases(), sessions: this.#sessions.size, waiting: dispatcher.countWaiting(), connections: dispatcher.formatPoolUsage(),
			});
		}), summaryIntervalMs).unref();
	}

	/** Opens a session for a caller, or rejects it and returns undefined. */
	openSession(identity: SessionIdentity, caller: CallerConnection): CallerSession | undefined {
		const refusal = this.#checkSessionAcceptance(identity.database);
		const session: CallerSession = new CallerSession(this.dependencies, identity, caller, () => {
			this.#sessions.delete(session);
		});
		const rejection: Refusal | undefined = refusal ?? session.open();
		if (rejection !== undefined) {
			this.dependencies.metrics.addCount(`rejected_${rejection.kind}`);
			this.dependencies.log.logEvent('session.rejected', {
				connection: identity.connectionId, database: identity.database, kind: rejection.kind, configuration: this.dependencies.configuration.version,
			});
			caller.rejectSession(rejection);
			return undefined;
		}

		this.#sessions.add(session);
		if (this.#drain.phase === 'finishing') {
			session.closeAfterOperation();
		}

		return session;
	}

	#checkSessionAcceptance(database: string): Refusal | undefined {
		if (this.#drain.phase === 'refusing') {
			return refusals.shuttingDown(retryAfterMs);
		}

		return this.dependencies.configuration.version === 0 ? refusals.overloaded(database, retryAfterMs) : undefined;
	}

	/**
	 * Shuts down gracefully, within the grace period. After `rotationMs`, sessions are closed as they become idle.
	 * After half of the grace period, open transactions are rolled back and statements refused.
	 */
	async drain(timing: ShutdownTiming): Promise<void> {
		const startedAt = this.dependencies.clock.now();
		this.#drain.phase = 'leaving-rotation';
		this.dependencies.log.logEvent('shutdown.begun', {sessions: this.#sessions.size, graceMs: timing.graceMs});
		this.dependencies.tasks.run('hand-over', async () => this.member.handOver());
		const elapsed = () => this.dependencies.clock.now() - startedAt;
		const rotationMs = Math.min(timing.rotationMs, timing.graceMs - exitReserveMs - sessionReserveMs);
		while (elapsed() < rotationMs) {
			await pause(drainPollMs);
		}

		this.#drain.phase = 'finishing';
		for (const session of this.#sessions) {
			session.closeWhenIdle();
		}

		while (this.#isBusy() && elapsed() < timing.graceMs / 2) {
			await pause(drainPollMs);
		}

		this.#drain.phase = 'refusing';
		this.dependencies.forwarding?.server.endTransactions();
		this.dependencies.dispatcher.refuseWaiting(refusals.shuttingDown(retryAfterMs));
		for (const session of this.#sessions) {
			session.refuseStatements(refusals.shuttingDown(retryAfterMs));
		}

		while (this.#isBusy() && elapsed() < timing.graceMs - exitReserveMs) {
			await pause(drainPollMs);
		}

		this.stop();
		// Without an answer of the store the process ends all the same; other VMs then learn of its end from its silence.
		await Promise.race([this.member.leave(), pause(Math.max(0, timing.graceMs - exitMarginMs - elapsed()))]);
		this.dependencies.log.logEvent('shutdown.ended', {sessions: this.#sessions.size, durationMs: Math.round(elapsed())});
	}

	/** Stops the background tasks immediately. */
	stop(): void {
		this.configurationWatcher.stop();
		this.instanceWatcher.stop();
		this.member.stop();
	}

	/** Returns whether a session is open or an operation of another VM is not finished. */
	#isBusy(): boolean {
		return this.#sessions.size > 0 || this.dependencies.forwarding?.server.isBusy === true;
	}

	#closeRevokedSessions(): void {
		for (const session of this.#sessions) {
			this.dependencies.tasks.tryCall('withdrawn key', () => {
				session.closeIfRevoked();
			});
		}
	}
}

async function pause(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
