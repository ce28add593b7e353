import {type CoordinationStore} from '../ports/index.js';
import {type ConfigurationView} from './configuration-view.js';
import {type GatewayConfiguration} from './gateway-configuration.js';

/** Time without a byte after which a read of the configuration is abandoned, in milliseconds. */
const readTimeoutMs = 1000;

/** Knows how many replicas have received a commit of a group before it is acknowledged. */
export class SyncReplicaSource {
	/** Configuration as it is in the store, read because the active one does not tell. */
	#read: GatewayConfiguration | undefined;

	constructor(private readonly view: ConfigurationView, private readonly store: CoordinationStore) {}

	/** Returns the number for a group, from the store if a VM of a former build sent the active configuration; undefined if the store cannot be read. */
	async fetchSyncReplicas(group: string): Promise<number | undefined> {
		const configured = this.view.getGroup(group)?.syncReplicas;
		if (configured !== undefined) {
			return configured;
		}

		if (this.#read === undefined || this.#read.version < this.view.version) {
			const result = await this.store.readConfiguration(readTimeoutMs);
			this.#read = result.kind === 'ok' ? result.value.configuration : undefined;
		}

		return this.#read === undefined ? undefined : this.#read.groups.find(({name}) => name === group)?.syncReplicas ?? 0;
	}
}
