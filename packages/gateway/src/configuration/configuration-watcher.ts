import {Backoff} from '@chicorysaddle/decisions';
import {type EventLog} from '../observability/index.js';
import {type VersionedConfiguration, type CoordinationStore, type StoreResult} from '../ports/index.js';
import {formatConfiguration, parseConfiguration} from './configuration-codec.js';
import {type ConfigurationView} from './configuration-view.js';
import {type GatewayConfiguration} from './gateway-configuration.js';

/** Longest wait for a new version in one call, milliseconds: a connection that went silent is given up soon after. */
const pollWaitMs = 4000;

/** Time for a call beyond its wait, milliseconds. */
const callTimeoutMs = 1000;

/** Pause after a call that failed, and the longest after several, milliseconds: as long as a call may take. */
const initialBackoffMs = 250;
const maxBackoffMs = callTimeoutMs;

/** Keeps the newest configuration in force: from the store, and from other VMs while the store turns this one away. */
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

	/** @param random - Returns numbers from zero up to one. */
	constructor(private readonly store: CoordinationStore, private readonly view: ConfigurationView, random: () => number, private readonly log: EventLog) {
		this.#backoff = new Backoff(initialBackoffMs, maxBackoffMs, random);
	}

	/** The configuration in force as other VMs are sent it. */
	get encoded(): string | undefined {
		const {configuration} = this.view;
		this.#encoded ??= configuration === undefined ? undefined : formatConfiguration(configuration);
		return this.#encoded;
	}

	onApplied(listener: (configuration: GatewayConfiguration) => void): void {
		this.#listeners.push(listener);
	}

	/**
	 * Reads the configuration once, after another VM told of a newer one.
	 * @param version - Version that there is.
	 * @returns Whether that version, or a newer one, is in force now.
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

	/** Reads and follows the configuration until it is stopped. */
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
				// What the store's history no longer holds is read in full.
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

	/** Sets whether this VM reads the store itself; others tell it of new versions otherwise. */
	setPolling(isPolling: boolean): void {
		this.#isPolling = isPolling;
		if (isPolling) {
			this.#wake?.();
		}
	}

	/**
	 * Takes in a configuration from another VM.
	 * @param text - What the other VM formatted.
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

	#recordStoreAvailability(isAvailable: boolean, why: string): void {
		if (this.#isStoreUnavailable === isAvailable) {
			this.#isStoreUnavailable = !isAvailable;
			this.log.logEvent(isAvailable ? 'store.regained' : 'store.lost', {call: 'configuration', why});
		}
	}
}

async function pause(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
