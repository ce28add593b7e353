import {type CoordinatorReport} from '@chicorysaddle/protocol/coordination';
import {type Clock, type PeerLink} from '../ports/index.js';
import {ConfigurationFetcher} from './configuration-fetcher.js';
import {
	ConfigurationTransferClient, type ConfigurationTransferClientDependencies, type ConfigurationTransferState,
} from './configuration-transfer-client.js';
import {type GatewayIdentity} from './gateway-identity.js';

/** How long this VM polls the store for a reported configuration version before it requests the version from the coordinator, in milliseconds. */
const pendingWaitMs = 300;

/** Maximum random delay after which a VM reads the store on its own while the coordinator is silent, in milliseconds, so that not all VMs read a large configuration at once. */
const maxSilenceDelayMs = 500;

/** Time after the start for which a VM waits for another VM to offer the configuration before it reads the store, in milliseconds; the coordinator answers sooner unless it is lost. */
const startWaitMs = 400;

/** Size above which the progress of a response of the store is reported in heartbeats, in characters; a configuration of 32 KiB has less in any encoding. */
const largeResponseLength = 65_536;

/** Dependencies of a `ConfigurationReceiver`. */
export type ConfigurationReceiverDependencies = ConfigurationTransferClientDependencies & {
	readonly identity: GatewayIdentity;
	readonly clock: Clock;
	/** Returns numbers from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
};

/** Obtains the configurations that the coordinator reports, from the store or from another VM. */
export class ConfigurationReceiver {
	readonly #fetcher: ConfigurationFetcher;
	readonly #client: ConfigurationTransferClient;
	/** Delay before this VM reads the store on its own, in milliseconds. */
	readonly #silenceDelayMs: number;
	readonly #startedAt: number;
	/** Monotonic time since which the coordinator is silent, in milliseconds; undefined while it is not. */
	#silentSince: number | undefined;
	/** Version that the coordinator has, as it reported last. */
	#reportedVersion = 0;

	/** @param onSourceFailed - Called when the coordinator has to assign another source. */
	constructor(private readonly dependencies: ConfigurationReceiverDependencies, onSourceFailed: () => void) {
		const {identity, configurationWatcher, clock, random} = dependencies;
		this.#fetcher = new ConfigurationFetcher(dependencies);
		this.#client = new ConfigurationTransferClient(dependencies, onSourceFailed);
		this.#silenceDelayMs = random() * maxSilenceDelayMs;
		this.#startedAt = clock.now();
		if (identity.regions.size > 0) {
			configurationWatcher.deferFirstRead(() => this.#client.isReceiving || clock.now() - this.#startedAt < startWaitMs + this.#silenceDelayMs);
		}
	}

	/** Transfer state for heartbeats; undefined if there is nothing to state. */
	get transferState(): ConfigurationTransferState {
		const {configurationWatcher: {receivedBytes, snapshot}, configuration, identity} = this.dependencies;
		const isDivided = identity.regions.size > 0;
		const isOffered = this.#reportedVersion < configuration.version && snapshot !== undefined && (isDivided || snapshot.isLarge);
		const isReadReported = isDivided || (receivedBytes ?? 0) > largeResponseLength;
		const state = {
			receivedBytes: this.#client.receivedBytes ?? (isReadReported ? receivedBytes : undefined), failedSource: this.#client.failedSource, offeredAt: isOffered ? identity.peerAddress : undefined,
		};
		return Object.values(state).every(value => value === undefined) ? undefined : state;
	}

	/**
	 * Obtains the version that a report names if this VM has an older one.
	 * @param link - Link to the coordinator.
	 */
	handleReport(report: CoordinatorReport, link: PeerLink | undefined): void {
		const {configurationVersion: version, configurationSource: source} = report;
		this.#silentSince = undefined;
		this.#reportedVersion = version;
		if (report.configurationParts === true) {
			this.dependencies.configurationWatcher.requireFirstVersion(version);
		}

		if (report.configurationParts !== true) {
			this.dependencies.tasks.run('configuration transfer', async () => this.#fetchWhole(report, link));
		} else if (source === undefined && version > this.dependencies.configuration.version) {
			this.dependencies.tasks.run('configuration transfer', async () => this.dependencies.configurationWatcher.refresh(version));
		} else if (source !== undefined && source !== '' && version > this.dependencies.configuration.version) {
			this.#client.start(source);
		}
	}

	/** Obtains a newer configuration that another VM has: in parts if the VM offers them, or else over its link to this VM. */
	handleOffer(offeredAt: string | undefined, link: PeerLink): void {
		if (offeredAt === undefined) {
			link.send({kind: 'configuration-request'});
		} else if (!this.#client.isReceiving) {
			this.#client.start(offeredAt);
		}
	}

	/** Polls the store while the coordinator is silent; a large configuration only after a delay, and not while another VM sends it. */
	pollWhileSilent(now: number): void {
		const {configurationWatcher, identity} = this.dependencies;
		this.#silentSince ??= now;
		const isDelayed = identity.regions.size > 0 || configurationWatcher.snapshot?.isLarge === true;
		if (!isDelayed || (now - this.#silentSince >= this.#silenceDelayMs && !this.#client.isReceiving)) {
			configurationWatcher.setPolling(true);
		}
	}

	/** Ends a transfer in progress. */
	stop(): void {
		this.#client.stop();
	}

	/** Fetches a newer configuration in one message, or requests it from the coordinator if that fails. */
	async #fetchWhole({configurationVersion, configurationSource}: CoordinatorReport, link: PeerLink | undefined): Promise<void> {
		const result = await this.#fetcher.fetchIfNewer(configurationVersion, configurationSource);
		if (result === 'pending') {
			await new Promise(resolve => {
				setTimeout(resolve, pendingWaitMs);
			});
		}

		if (result !== 'skipped' && this.dependencies.configuration.version < configurationVersion) {
			link?.send({kind: 'configuration-request'});
		}
	}
}
