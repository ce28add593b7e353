import {type InstanceGuard} from '../evacuation/index.js';
import {type Instance} from '../instances/index.js';
import {type InstanceConnector} from '../ports/index.js';
import {type InstanceStatus} from '../statements/index.js';

/** Account name of the gateway's own connections to instances. */
const gatewayAccount = 'chicorysaddle';

/** An instance with what it reported about itself. */
export type InstanceWithStatus = {readonly instance: Instance; readonly status: InstanceStatus};

/** Dependencies of an `InstanceStatusReader`. */
export type InstanceStatusReaderDependencies = {
	readonly guard: InstanceGuard;
	readonly connector: InstanceConnector;
};

/** Asks instances for their role, term and log position, each on a connection of its own. */
export class InstanceStatusReader {
	constructor(private readonly dependencies: InstanceStatusReaderDependencies) {}

	/**
	 * Reads the status of an instance.
	 * @param timeoutMs - Timeout of the handshake and of the request each, in milliseconds.
	 */
	async readStatus(instance: Instance, timeoutMs: number): Promise<InstanceWithStatus | 'busy' | 'unreachable'> {
		if (this.dependencies.guard.isCutOff(instance)) {
			return 'unreachable';
		}

		const result = await this.dependencies.connector.open(instance, gatewayAccount, timeoutMs);
		if (result.kind === 'failed') {
			const {reason} = result.failure;
			return reason === 'busy' || reason === 'connection-limit' ? 'busy' : 'unreachable';
		}

		const [outcome] = await result.connection.run([{statement: {kind: 'control-status'}}], timeoutMs);
		const status = outcome === undefined ? undefined : result.connection.parseStatus(outcome);
		result.connection.close();
		if (status !== undefined) {
			return {instance, status};
		}

		return outcome?.kind === 'error' ? 'busy' : 'unreachable';
	}
}
