import {Buffer} from 'node:buffer';
import {type SnapshotContent, SnapshotTransfer} from '@chicorysaddle/decisions';
import {type ConfigurationPart, type Heartbeat} from '@chicorysaddle/protocol/coordination';
import {
	applyConfigurationChanges, computeSnapshotDigest, type ConfigurationView, type ConfigurationWatcher, decodeSnapshotText, type ReceivedConfiguration,
} from '../configuration/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type Clock, type PeerLink, type PeerNetwork} from '../ports/index.js';
import {type BackgroundTasks} from '../tasks/index.js';

/** Interval between checks whether the source still sends, in milliseconds. */
const checkIntervalMs = 50;

/** Time for which a source that stopped answering is reported to the coordinator, in milliseconds. */
const failureReportMs = 1000;

/** Dependencies of a `ConfigurationTransferClient`. */
export type ConfigurationTransferClientDependencies = {
	readonly configuration: ConfigurationView;
	readonly configurationWatcher: ConfigurationWatcher;
	readonly network: PeerNetwork;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	readonly tasks: BackgroundTasks;
};

/** Receives a configuration in parts from other VMs: from one at a time, and from the next one at the offset that was reached. */
export class ConfigurationTransferClient {
	#transfer = new SnapshotTransfer();
	#chunks: Uint8Array[] = [];
	#link: PeerLink | undefined;
	/** Peer address of the source; undefined while there is none. */
	#source: string | undefined;
	#timer: NodeJS.Timeout | undefined;
	#failure: {readonly source: string; readonly at: number} | undefined;
	/** Version of the configuration to which changes may apply; 0 to receive it whole. */
	#baseVersion = 0;

	/** Whether a received configuration is being parsed. */
	#isApplying = false;

	/** @param onSourceFailed - Called when a source stops answering before the transfer is complete. */
	constructor(private readonly dependencies: ConfigurationTransferClientDependencies, private readonly onSourceFailed: () => void) {}

	/** Whether a source is sending. */
	get isReceiving(): boolean {
		return this.#source !== undefined;
	}

	/** Bytes received so far; undefined while no source is sending. */
	get receivedBytes(): number | undefined {
		return this.#source === undefined ? undefined : this.#transfer.receivedBytes;
	}

	/** Peer address of a source that has just stopped answering; undefined if there is none. */
	get failedSource(): string | undefined {
		return this.#failure !== undefined && this.dependencies.clock.now() - this.#failure.at < failureReportMs ? this.#failure.source : undefined;
	}

	/** Receives the configuration from a VM, unless that VM is already sending it; what other sources sent is kept. */
	start(source: string): void {
		if (this.#source === source || this.#isApplying) {
			return;
		}

		this.#disconnect();
		const {content, receivedBytes} = this.#transfer;
		const {version} = this.dependencies.configuration;
		if (content !== undefined && (content.version <= version || (content.base !== undefined && content.base !== version))) {
			this.#reset();
		}

		this.dependencies.metrics.addCount(receivedBytes > 0 ? 'configuration_transfers_resumed' : 'configuration_transfers_started');
		this.#connect(source, version);
	}

	/** Ends the transfer and forgets what was received. */
	stop(): void {
		this.#disconnect();
		this.#reset();
	}

	/** Requests the configuration from a VM, or the changes since a base version if that VM has it. */
	#connect(source: string, baseVersion: number): void {
		const {network, clock} = this.dependencies;
		this.#source = source;
		this.#baseVersion = baseVersion;
		this.#transfer.beginSource(clock.now());
		const link: PeerLink = network.connect(source, {
			onMessage: message => {
				if (this.#link === link && message.kind === 'configuration-part') {
					this.#handlePart(message);
				}
			},
			onClosed: () => {
				if (this.#link === link) {
					this.#failSource('its connection was closed');
				}
			},
		});
		this.#link = link;
		this.#requestParts();
		this.#scheduleCheck();
	}

	#requestParts(): void {
		for (const offset of this.#transfer.takeRequests()) {
			this.#link?.send({
				kind: 'configuration-part-request', version: this.#baseVersion, digest: this.#transfer.content?.digest, offset,
			});
		}
	}

	#handlePart({version, base, digest, size, offset, data, storeVersion}: ConfigurationPart): void {
		const {clock, configuration, metrics} = this.dependencies;
		if (version <= configuration.version) {
			// This VM obtained the version in another way, or the source has no newer one.
			this.stop();
			return;
		}

		const chunk = Buffer.from(data, 'base64');
		const content = {
			version, base, digest, size,
		};
		const effect = this.#transfer.recordPart(content, offset, chunk.length, clock.now());
		if (effect === 'ignored') {
			return;
		}

		metrics.addCount('configuration_parts_received');
		this.#chunks = effect === 'restart' ? [chunk] : [...this.#chunks, chunk];
		if (this.#transfer.isComplete) {
			this.#complete(content, storeVersion);
		} else {
			this.#requestParts();
		}
	}

	#complete({version, base, digest}: SnapshotContent, storeVersion: number | undefined): void {
		const source = this.#source ?? '';
		const compressed = Buffer.concat(this.#chunks);
		this.stop();
		const {log, metrics} = this.dependencies;
		const text = this.#decode(compressed, base);
		const isMatching = text !== undefined && computeSnapshotDigest(text) === digest;
		if (isMatching) {
			metrics.addCount(base === undefined ? 'configuration_transfers_completed' : 'configuration_changes_completed');
			this.dependencies.tasks.run('configuration transfer', async () => this.#apply({text, digest, ...(base === undefined && {compressed})}, storeVersion));
		} else if (base === undefined) {
			log.logEvent('configuration.unreadable', {source, reason: `version ${version} does not match its digest`});
			this.#recordFailure(source);
		} else {
			metrics.addCount('configuration_changes_rejected');
			this.#connect(source, 0);
		}
	}

	async #apply(received: ReceivedConfiguration, storeVersion: number | undefined): Promise<void> {
		this.#isApplying = true;
		try {
			await this.dependencies.configurationWatcher.applyReceived(received, 'peer', storeVersion);
		} finally {
			this.#isApplying = false;
		}
	}

	/** Returns the text of the configuration that was received; undefined if the content is malformed. */
	#decode(compressed: Uint8Array, base: number | undefined): string | undefined {
		const {snapshot} = this.dependencies.configurationWatcher;
		try {
			const text = decodeSnapshotText(compressed);
			return base === undefined ? text : (snapshot?.version === base ? applyConfigurationChanges(snapshot.text, text) : undefined);
		} catch {
			return undefined;
		}
	}

	#scheduleCheck(): void {
		this.#timer = setTimeout(this.dependencies.tasks.createCallback('configuration transfer', () => {
			if (this.#transfer.isStalled(this.dependencies.clock.now())) {
				this.#failSource('it stopped sending');
			} else {
				this.#scheduleCheck();
			}
		}), checkIntervalMs);
	}

	/** Gives up the source; what it sent is kept for the next one. */
	#failSource(reason: string): void {
		const source = this.#source ?? '';
		this.#disconnect();
		this.dependencies.metrics.addCount('configuration_sources_failed');
		this.dependencies.log.logEvent('configuration.source-failed', {
			source, reason, received: this.#transfer.receivedBytes, size: this.#transfer.content?.size,
		});
		this.#recordFailure(source);
	}

	#recordFailure(source: string): void {
		this.#failure = {source, at: this.dependencies.clock.now()};
		this.onSourceFailed();
	}

	#disconnect(): void {
		clearTimeout(this.#timer);
		const link = this.#link;
		this.#link = undefined;
		this.#source = undefined;
		link?.close();
	}

	#reset(): void {
		this.#transfer = new SnapshotTransfer();
		this.#chunks = [];
	}
}

/** Transfer state as a VM states it in heartbeats. */
export type ConfigurationTransferState = Heartbeat['configurationTransfer'];
