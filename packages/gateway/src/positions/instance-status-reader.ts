import {type InstanceGuard} from '../evacuation/index.js';
import {type Instance} from '../instances/index.js';
import {type Clock, type ConnectFailure, type InstanceConnector} from '../ports/index.js';
import {type InstanceStatus} from '../statements/index.js';

/** Account name of the gateway's own connections to instances. */
const gatewayAccount = 'chicorysaddle';

/** Timeout of a status request that is retried while the instance is busy, in milliseconds. */
const retriedRequestTimeoutMs = 400;

/** Maximum time for which a status request to a busy instance is retried, in milliseconds. */
const busyRetryTimeoutMs = 800;

/** Delay before a status request to a busy instance is retried, in milliseconds. */
const busyRetryDelayMs = 30;

/** What a failed connection attempt tells of a process; any other failure leaves it unknown. */
const readingsByFailure: Readonly<Partial<Record<ConnectFailure['reason'], 'busy' | 'ended'>>> = {
	busy: 'busy', 'connection-limit': 'busy', 'wrong-instance': 'ended',
};

/** An instance with what it reported about itself. */
export type InstanceWithStatus = {readonly instance: Instance; readonly status: InstanceStatus};

/** Dependencies of an `InstanceStatusReader`. */
export type InstanceStatusReaderDependencies = {
	readonly guard: InstanceGuard;
	readonly connector: InstanceConnector;
	readonly clock: Clock;
};

/** Asks instances for their role, term and log position, each on a connection of its own. */
export class InstanceStatusReader {
	constructor(private readonly dependencies: InstanceStatusReaderDependencies) {}

	/**
	 * Reads the status of an instance.
	 * @param timeoutMs - Timeout of the handshake and of the request each, in milliseconds.
	 */
	async readStatus(instance: Instance, timeoutMs: number): Promise<InstanceWithStatus | 'busy' | 'unreachable'> {
		const reading = await this.readProcess(instance, timeoutMs);
		return reading === 'ended' ? 'unreachable' : reading;
	}

	/**
	 * Reads the status of an instance, or that its process has ended.
	 * @param timeoutMs - Timeout of the handshake and of the request each, in milliseconds.
	 */
	async readProcess(instance: Instance, timeoutMs: number): Promise<InstanceWithStatus | 'busy' | 'ended' | 'unreachable'> {
		if (this.dependencies.guard.isCutOff(instance)) {
			return 'unreachable';
		}

		const result = await this.dependencies.connector.open(instance, gatewayAccount, timeoutMs);
		if (result.kind === 'failed') {
			const {reason, isPortClosed = false} = result.failure;
			return isPortClosed ? 'ended' : readingsByFailure[reason] ?? 'unreachable';
		}

		const [outcome] = await result.connection.run([{statement: {kind: 'control-status'}}], timeoutMs);
		const status = outcome === undefined ? undefined : result.connection.parseStatus(outcome);
		result.connection.close();
		if (status !== undefined) {
			return {instance, status};
		}

		return outcome?.kind === 'error' ? 'busy' : 'unreachable';
	}

	/** Reads the status of an instance and retries while it is busy; returns undefined if it stays busy or is unreachable. */
	async readStatusWithRetry(instance: Instance): Promise<InstanceWithStatus | undefined> {
		const deadline = this.dependencies.clock.now() + busyRetryTimeoutMs;
		for (;;) {
			const reading = await this.readStatus(instance, retriedRequestTimeoutMs);
			if (reading !== 'busy') {
				return reading === 'unreachable' ? undefined : reading;
			}

			if (this.dependencies.clock.now() >= deadline) {
				return undefined;
			}

			await new Promise(resolve => {
				setTimeout(resolve, busyRetryDelayMs);
			});
		}
	}

	/** Reads the statuses of several instances; omits those that stay busy or are unreachable. */
	async readStatuses(instances: Iterable<Instance>): Promise<InstanceWithStatus[]> {
		const readings = await Promise.all(Array.from(instances, async instance => this.readStatusWithRetry(instance)));
		return readings.filter(reading => reading !== undefined);
	}
}
