import {Backoff} from '@chicorysaddle/decisions';
import {type EventLog} from '../observability/index.js';
import {type VersionedConfiguration, type CoordinationStore, type StoreResult} from '../ports/index.js';
import {formatConfiguration, parseConfiguration} from './configuration-codec.js';
import {type ConfigurationView} from './configuration-view.js';
import {type GatewayConfiguration} from './gateway-configuration.js';

/** Long-poll duration, milliseconds; short, so that an unresponsive connection is detected soon. */
const pollWaitMs = 4000;

/** Timeout of a store call, in addition to its long-poll duration, milliseconds. */
const callTimeoutMs = 1000;

/** Initial and maximum backoff after failed calls, milliseconds; the maximum equals the timeout of a call. */
const initialBackoffMs = 250;
const maxBackoffMs = callTimeoutMs;

/** Applies new configuration versions from the store, or from other VMs while this VM cannot reach the store. */
export class ConfigurationWatcher {
	#encoded: string | undefined;
	#storeVersion: number | undefined;
	#isStopped = false;
	#isStoreUnavailable = false;
	#isPolling = true;
	#isRefreshing = false;
	#wake: (() => void) | undefined;
	readonly #listeners: Array<(configuration: GatewayConfiguration) => void> = [];

	readonly #backoff: Backoff;

	/** @param random - Returns numbers from 0 (inclusive) to 1 (exclusive). */
	constructor(private readonly store: CoordinationStore, private readonly view: ConfigurationView, random: () => number, private readonly log: EventLog) {
		this.#backoff = new Backoff(initialBackoffMs, maxBackoffMs, random);
	}

	/** Active configuration, serialized for other VMs. */
	get encoded(): string | undefined {
		const {configuration} = this.view;
		this.#encoded ??= configuration === undefined ? undefined : formatConfiguration(configuration);
		return this.#encoded;
	}

	onApplied(listener: (configuration: GatewayConfiguration) => void): void {
		this.#listeners.push(listener);
	}

	/**
	 * Reads the configuration once, after another VM reported a newer version. Returns true without a read while polling or another refresh is in progress.
	 * @param version - Version reported by the other VM.
	 * @returns Whether that version or a newer one is active, or about to be read.
	 */
	async refresh(version: number): Promise<boolean> {
		if (this.#isPolling || this.#isRefreshing) {
			return true;
		}

		this.#isRefreshing = true;
		const result = await this.store.readConfiguration(callTimeoutMs);
		this.#isRefreshing = false;
		if (result.kind === 'ok' && result.value.configuration !== undefined) {
			this.#apply(result.value.configuration, 'store');
		}

		return this.view.version >= version;
	}

	/** Polls the store for configuration changes until stopped. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			await this.#waitUntilPolling();
			const result = await this.#read();
			if (result.kind === 'ok') {
				this.#backoff.reset();
				this.#recordStoreAvailability(true, '');
				this.#storeVersion = result.value.storeVersion;
				if (result.value.configuration !== undefined) {
					this.#apply(result.value.configuration, 'store');
				}
			} else {
				// The next call reads the full configuration: the store's change history may no longer contain the polled version.
				this.#storeVersion = undefined;
				this.#recordStoreAvailability(result.failure.reason === 'history-gone', `${result.failure.reason}: ${result.failure.message}`);
				await pause(this.#backoff.getNextDelayMs());
			}
		}
	}

	stop(): void {
		this.#isStopped = true;
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
	 * @param text - Configuration as serialized by {@link formatConfiguration}.
	 */
	applyEncoded(text: string, source: string): void {
		parseConfiguration(text).ifRight(configuration => {
			this.#apply(configuration, source);
		}).ifLeft(reason => {
			this.log.logEvent('configuration.unreadable', {source, reason});
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
		return this.#storeVersion === undefined
			? this.store.readConfiguration(callTimeoutMs)
			: this.store.pollConfiguration(this.#storeVersion, pollWaitMs, pollWaitMs + callTimeoutMs);
	}

	#apply(configuration: GatewayConfiguration, source: string): void {
		const before = this.view.version;
		if (!this.view.applyConfiguration(configuration)) {
			return;
		}

		this.#encoded = undefined;
		this.log.logEvent('configuration.applied', {
			version: configuration.version, before, source, routes: configuration.routes.length, accounts: configuration.accounts.length,
		});
		for (const listener of this.#listeners) {
			listener(configuration);
		}
	}

	#recordStoreAvailability(isAvailable: boolean, reason: string): void {
		if (this.#isStoreUnavailable === isAvailable) {
			this.#isStoreUnavailable = !isAvailable;
			this.log.logEvent(isAvailable ? 'store.regained' : 'store.lost', {call: 'configuration', why: reason});
		}
	}
}

async function pause(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
