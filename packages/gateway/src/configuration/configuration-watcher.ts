import {Backoff} from '@chicorysaddle/decisions';
import {type EventLog} from '../observability/index.js';
import {type BackgroundTasks} from '../tasks/index.js';
import {
	type VersionedConfiguration, type CoordinationStore, type StoreResult, type StoreVersion,
} from '../ports/index.js';
import {parseConfiguration, parseLargeConfiguration} from './configuration-codec.js';
import {ConfigurationHistory} from './configuration-history.js';
import {ConfigurationSnapshot, type ReceivedConfiguration} from './configuration-snapshot.js';
import {type ConfigurationStreamContent} from './configuration-stream.js';
import {type ConfigurationView} from './configuration-view.js';
import {type GatewayConfiguration} from './gateway-configuration.js';

/** Duration of a long poll, in milliseconds; short, so that an unresponsive connection is detected soon. */
const pollWaitMs = 4000;

/** Minimum time between polls, in milliseconds, unless the former one brought a change: a store may answer at once although nothing has changed. */
const minPollIntervalMs = 100;

/** Time without a byte after which a store call is abandoned, in addition to the duration of a long poll, in milliseconds. */
const callTimeoutMs = 1000;

/** Initial backoff after failed calls, in milliseconds. */
const initialBackoffMs = 250;

/** Maximum backoff after failed calls, in milliseconds. */
const maxBackoffMs = callTimeoutMs;

/** Time for which a starting VM does not apply a configuration older than the one that the coordinator has, in milliseconds. */
const maxHoldMs = 2000;

/** Maximum length of a reason in the log. */
const maxReasonLength = 300;

/** Interval between checks whether a deferred first read is due, in milliseconds. */
const deferredReadCheckMs = 50;

/** Dependencies of a `ConfigurationWatcher` other than its store and view. */
export type ConfigurationWatcherDependencies = {
	/** Returns numbers from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
	readonly log: EventLog;
	readonly tasks: BackgroundTasks;
};

/** Applies new configuration versions from the store, or from other VMs while this VM cannot reach the store. */
export class ConfigurationWatcher {
	readonly #history = new ConfigurationHistory();
	/** Returns whether the first read waits for another VM that may have the configuration. */
	#isFirstReadDeferred: () => boolean = () => false;
	#receivedBytes: number | undefined;
	/** Version below which the first configuration is held back for a while. */
	#requiredVersion = 0;
	#isOlderAccepted = false;
	/** Applies the configuration that is held back. */
	#applyHeld: (() => void) | undefined;
	#holdTimer: NodeJS.Timeout | undefined;
	/** Store version to continue polling from; undefined if the next call has to read the full configuration. */
	#storeVersion: number | undefined;
	#isStopped = false;
	#isStoreUnavailable = false;
	#isPolling = true;
	/** Whether the full configuration is being read. */
	#isReading = false;
	/** Ends the wait for polling to be enabled. */
	#wake: (() => void) | undefined;
	readonly #listeners: Array<(configuration: GatewayConfiguration) => void> = [];
	readonly #readListeners: Array<(reading: VersionedConfiguration) => void> = [];

	#readCount = 0;
	readonly #backoff: Backoff;

	readonly #recordProgress = (receivedBytes: number): void => {
		this.#receivedBytes = receivedBytes;
	};

	constructor(private readonly store: CoordinationStore, private readonly view: ConfigurationView, private readonly dependencies: ConfigurationWatcherDependencies) {
		this.#backoff = new Backoff(initialBackoffMs, maxBackoffMs, dependencies.random);
	}

	/** Number of readings of the store that were applied. */
	get readCount(): number {
		return this.#readCount;
	}

	/** Whether polling was stopped. */
	get isStopped(): boolean {
		return this.#isStopped;
	}

	/** Active configuration as it is sent to other VMs; undefined before the first is applied. */
	get snapshot(): ConfigurationSnapshot | undefined {
		return this.#history.current;
	}

	/**
	 * Returns what to send in parts to a VM; undefined before the first configuration is applied.
	 * @param baseVersion - Version that the VM has; 0 for the whole configuration.
	 */
	getStream(baseVersion: number): ConfigurationStreamContent | undefined {
		return this.#history.getStream(baseVersion);
	}

	/** Store version at which the active configuration was the newest; undefined if it is not known. */
	get storeVersion(): StoreVersion | undefined {
		return this.#storeVersion;
	}

	/** Bytes of the response that is being received from the store; undefined if none is. */
	get receivedBytes(): number | undefined {
		return this.#receivedBytes;
	}

	/** Holds back a first configuration that is older than a version that the coordinator has, for the time that it takes to get that one. */
	requireFirstVersion(version: number): void {
		this.#requiredVersion = Math.max(this.#requiredVersion, version);
	}

	/** Sets what defers the first read of the store, so that a starting VM gets the configuration from another VM if one answers. */
	deferFirstRead(isDeferred: () => boolean): void {
		this.#isFirstReadDeferred = isDeferred;
	}

	/** Adds a listener that is called with each configuration that becomes active. */
	onApplied(listener: (configuration: GatewayConfiguration) => void): void {
		this.#listeners.push(listener);
	}

	/** Adds a listener that is called with each result of the store, before its configuration becomes active. */
	onRead(listener: (reading: VersionedConfiguration) => void): void {
		this.#readListeners.push(listener);
	}

	/**
	 * Reads the configuration once, after another VM reported a newer version; does nothing if this VM is polling or already reading it.
	 * @param version - Version reported by the other VM.
	 * @returns Whether that version or a newer one is active, or a read is already in progress.
	 */
	async refresh(version: number): Promise<boolean> {
		if (this.#isPolling || this.#isReading) {
			return true;
		}

		this.#isReading = true;
		let result: StoreResult<VersionedConfiguration>;
		try {
			result = await this.#readWhole();
		} finally {
			this.#isReading = false;
		}

		if (result.kind === 'ok') {
			this.#applyReading(result.value);
		}

		return this.view.version >= version;
	}

	/** Reads the configuration, then polls the store for changes until stopped, while polling is enabled; may be called again after an error. */
	async run(): Promise<void> {
		while (this.view.version === 0 && !this.#isPolling && !this.#isStopped && this.#isFirstReadDeferred()) {
			await delay(deferredReadCheckMs);
		}

		if (this.view.version > 0) {
			await this.#waitUntilPolling();
		}

		while (!this.#isStopped) {
			// A long poll may hang on a dead connection, so it does not keep `refresh` from reading.
			this.#isReading = this.#storeVersion === undefined;
			const intervalEnd = delay(minPollIntervalMs);
			const versionBefore = this.#storeVersion;
			let result: StoreResult<VersionedConfiguration>;
			try {
				result = await this.#read();
			} finally {
				this.#isReading = false;
			}

			if (result.kind === 'ok') {
				this.#backoff.reset();
				this.#recordStoreAvailability(true, '');
				this.#applyReading(result.value);
				if (this.#storeVersion === versionBefore) {
					await intervalEnd;
				}
			} else if (result.failure.reason === 'doubted') {
				// The next poll continues on another connection.
				await intervalEnd;
			} else {
				// The next call reads the full configuration: the store's change history may no longer contain the polled version.
				this.#storeVersion = undefined;
				this.#recordStoreAvailability(result.failure.reason === 'history-gone', `${result.failure.reason}: ${result.failure.message}`);
				await delay(this.#backoff.getNextDelayMs());
			}

			await this.#waitUntilPolling();
		}
	}

	/** Stops polling; a call in progress still completes. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#holdTimer);
		this.#wake?.();
	}

	/** Sets whether this VM polls the store; otherwise it learns of new versions from other VMs. */
	setPolling(isPolling: boolean): void {
		this.#isPolling = isPolling;
		if (isPolling) {
			this.#wake?.();
		}
	}

	/**
	 * Applies a configuration received from another VM; logs it and keeps the active one if it cannot be parsed.
	 * @param text - Configuration in the form of {@link ConfigurationSnapshot.text}.
	 * @param source - Origin of the configuration, for the log.
	 */
	applyEncoded(text: string, source: string): void {
		parseConfiguration(text).ifRight(configuration => {
			this.#apply(configuration, source, new ConfigurationSnapshot(configuration, {text}));
		}).ifLeft(reason => {
			this.dependencies.log.logEvent('configuration.unreadable', {source, reason});
		});
	}

	/**
	 * Applies a configuration that was received in parts from another VM and matches its digest, as {@link applyEncoded} does.
	 * @param received - Content as received, which is passed on to other VMs.
	 * @param storeVersion - Store version at which it was the newest, as the other VM knows it.
	 */
	async applyReceived(received: ReceivedConfiguration, source: string, storeVersion: StoreVersion | undefined): Promise<void> {
		const result = await parseLargeConfiguration(received.text);
		result.ifRight(configuration => {
			const before = this.#storeVersion;
			if (configuration.version > this.view.version) {
				this.#storeVersion = storeVersion ?? before;
			}

			try {
				this.#apply(configuration, source, new ConfigurationSnapshot(configuration, received));
			} catch (error) {
				// A poll from the later version would miss what was not applied.
				this.#storeVersion = before;
				throw error;
			}
		}).ifLeft(reason => {
			this.dependencies.log.logEvent('configuration.unreadable', {source, reason: reason.slice(0, maxReasonLength)});
		});
	}

	async #waitUntilPolling(): Promise<void> {
		while (!this.#isPolling && !this.#isStopped) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}
	}

	async #read(): Promise<StoreResult<VersionedConfiguration>> {
		if (this.#storeVersion === undefined) {
			return this.#readWhole();
		}

		const result = await this.store.pollConfiguration(this.#storeVersion, pollWaitMs, pollWaitMs + callTimeoutMs, this.#recordProgress);
		this.#receivedBytes = undefined;
		return result;
	}

	async #readWhole(): Promise<StoreResult<VersionedConfiguration>> {
		const result = await this.store.readConfiguration(callTimeoutMs, this.#recordProgress);
		this.#receivedBytes = undefined;
		return result;
	}

	/** Applies what was read from the store; after an error the next call reads the full configuration, since a poll would miss what was not applied. */
	#applyReading(reading: VersionedConfiguration): void {
		// A later poll then does not transfer this configuration again.
		this.#storeVersion = reading.storeVersion;
		const isHandled = this.#notifyListeners(this.#readListeners, reading);
		const isApplied = this.dependencies.tasks.tryCall('configuration', () => {
			if (reading.configuration !== undefined) {
				this.#apply(reading.configuration, 'store');
			}
		});
		if (!isHandled || !isApplied) {
			this.#storeVersion = undefined;
			throw new Error('what was read from the store was not applied');
		}

		this.#readCount += 1;
	}

	#apply(configuration: GatewayConfiguration, source: string, snapshot = new ConfigurationSnapshot(configuration)): void {
		const before = this.view.version;
		if (before === 0 && configuration.version < this.#requiredVersion && !this.#isOlderAccepted) {
			this.#holdBack(() => {
				this.#apply(configuration, source, snapshot);
			});
			return;
		}

		if (!this.view.applyConfiguration(configuration)) {
			return;
		}

		this.#history.setCurrent(snapshot);
		this.dependencies.log.logEvent('configuration.applied', {
			version: configuration.version, before, source, routes: configuration.routes.length, accounts: configuration.accounts.length,
		});
		this.#notifyListeners(this.#listeners, configuration);
	}

	/** Calls every listener, also after one failed; returns whether all succeeded. */
	#notifyListeners<T>(listeners: ReadonlyArray<(value: T) => void>, value: T): boolean {
		const results = listeners.map(listener => this.dependencies.tasks.tryCall('configuration listener', () => {
			listener(value);
		}));
		return results.every(Boolean);
	}

	#holdBack(apply: () => void): void {
		this.#applyHeld = apply;
		this.#holdTimer ??= setTimeout(this.dependencies.tasks.createCallback('held configuration', () => {
			this.#isOlderAccepted = true;
			this.#applyHeld?.();
		}), maxHoldMs);
	}

	/** Logs when the store becomes unavailable or available again. */
	#recordStoreAvailability(isAvailable: boolean, reason: string): void {
		if (this.#isStoreUnavailable === isAvailable) {
			this.#isStoreUnavailable = !isAvailable;
			this.dependencies.log.logEvent(isAvailable ? 'store.regained' : 'store.lost', {call: 'configuration', why: reason});
		}
	}
}

async function delay(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
