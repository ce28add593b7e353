import {type ConfigurationView, type ConfigurationWatcher} from '../configuration/index.js';
import {type Clock, type PeerLink, type PeerNetwork} from '../ports/index.js';

/** Minimum time between two fetches, in milliseconds: of versions in quick succession, only the last is fetched. */
const fetchIntervalMs = 500;

/** Time for which this VM waits to be sent to a source before it reads the store, in milliseconds: well below the time within which deployments want a configuration in force. */
const maxWaitMs = 1800;

/** Timeout of a fetch from another VM, in milliseconds. */
const peerTimeoutMs = 600;

/** Dependencies of a `ConfigurationFetcher`. */
export type ConfigurationFetcherDependencies = {
	readonly configuration: ConfigurationView;
	readonly configurationWatcher: ConfigurationWatcher;
	readonly network: PeerNetwork;
	readonly clock: Clock;
};

/** Result of a fetch; `pending` if this VM polls the store and obtains the version from there. */
export type FetchResult = 'skipped' | 'fetched' | 'pending' | 'missing';

/** Fetches configurations that the coordinator reports, from the store or from another VM. */
export class ConfigurationFetcher {
	#fetchedAt = Number.NEGATIVE_INFINITY;
	/** Monotonic time since which this VM waits for a source, in milliseconds; undefined if it does not wait. */
	#waitingSince: number | undefined;

	constructor(private readonly dependencies: ConfigurationFetcherDependencies) {}

	/**
	 * Fetches a reported version if this VM has an older one and has not just fetched another; the next report repeats a version that is skipped.
	 * @param source - Peer address of a VM that has the version; empty to wait for another report, undefined to read the store.
	 */
	async fetchIfNewer(version: number, source: string | undefined): Promise<FetchResult> {
		const {configuration, clock} = this.dependencies;
		const now = clock.now();
		if (version <= configuration.version || now - this.#fetchedAt < fetchIntervalMs) {
			return 'skipped';
		}

		this.#waitingSince ??= now;
		if (source === '' && now - this.#waitingSince < maxWaitMs) {
			return 'skipped';
		}

		this.#fetchedAt = now;
		this.#waitingSince = undefined;
		if (source !== undefined && source !== '' && await this.#fetchFromPeer(source, version)) {
			return 'fetched';
		}

		const isObtained = await this.dependencies.configurationWatcher.refresh(version);
		if (configuration.version >= version) {
			return 'fetched';
		}

		return isObtained ? 'pending' : 'missing';
	}

	/** Requests the configuration from another VM; returns whether this VM has the version then. */
	async #fetchFromPeer(address: string, version: number): Promise<boolean> {
		const {configuration, configurationWatcher, network} = this.dependencies;
		let link: PeerLink | undefined;
		let timer: NodeJS.Timeout | undefined;
		await new Promise<void>(resolve => {
			timer = setTimeout(resolve, peerTimeoutMs);
			link = network.connect(address, {
				onMessage(message) {
					if (message.kind === 'configuration-reply') {
						configurationWatcher.applyEncoded(message.encoded, 'peer');
						resolve();
					}
				},
				onClosed: resolve,
			});
			link.send({kind: 'configuration-request'});
		});
		clearTimeout(timer);
		link?.close();
		return configuration.version >= version;
	}
}
