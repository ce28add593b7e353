import {Backoff} from '@chicorysaddle/decisions';
import {type DecisionLog} from '../observability/index.js';
import {type ConfigurationReading, type CoordinationTable, type StoreResult} from '../ports/index.js';
import {formatConfiguration, parseConfiguration} from './configuration-codec.js';
import {type ConfigurationView} from './configuration-view.js';
import {type GatewayConfiguration} from './gateway-configuration.js';

/** Longest wait for a new version in one call, milliseconds: a connection that went silent is given up soon after. */
const pollWaitMs = 4000;

/** Time for a call beyond its wait, milliseconds. */
const callTimeoutMs = 1000;

/** Pause after a call that failed, and the longest after several, milliseconds: as long as a call may take. */
const failurePauseMs = 250;
const longestPauseMs = callTimeoutMs;

/** Keeps the newest configuration in force: from the store, and from other VMs while the store turns this one away. */
export class ConfigurationKeeper {
	#encoded: string | undefined;
	#storeVersion: number | undefined;
	#isStopped = false;
	#isStoreAway = false;
	#isFollowing = true;
	#isRefreshing = false;
	#wake: (() => void) | undefined;
	readonly #listeners: Array<(configuration: GatewayConfiguration) => void> = [];

	readonly #backoff: Backoff;

	/** @param random - Returns numbers from zero up to one. */
	constructor(private readonly table: CoordinationTable, private readonly view: ConfigurationView, random: () => number, private readonly log: DecisionLog) {
		this.#backoff = new Backoff(failurePauseMs, longestPauseMs, random);
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
		if (this.#isFollowing || this.#isRefreshing) {
			return true;
		}

		this.#isRefreshing = true;
		const result = await this.table.readConfiguration(callTimeoutMs);
		this.#isRefreshing = false;
		if (result.kind === 'ok' && result.value.configuration !== undefined) {
			this.#apply(result.value.configuration, 'store');
		}

		return this.view.version >= version;
	}

	/** Reads and follows the configuration until it is stopped. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			await this.#waitForTurn();
			const result = await this.#read();
			if (result.kind === 'ok') {
				this.#backoff.reset();
				this.#observeStore(true, '');
				this.#storeVersion = result.value.storeVersion;
				if (result.value.configuration !== undefined) {
					this.#apply(result.value.configuration, 'store');
				}
			} else {
				// What the store's history no longer holds is read in full.
				this.#storeVersion = undefined;
				this.#observeStore(result.failure.reason === 'history-gone', `${result.failure.reason}: ${result.failure.message}`);
				await pause(this.#backoff.getNextDelayMs());
			}
		}
	}

	stop(): void {
		this.#isStopped = true;
		this.#wake?.();
	}

	/** Sets whether this VM reads the store itself; others tell it of new versions otherwise. */
	setFollowing(isFollowing: boolean): void {
		this.#isFollowing = isFollowing;
		if (isFollowing) {
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

	async #waitForTurn(): Promise<void> {
		while (!this.#isFollowing && !this.#isStopped) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}
	}

	async #read(): Promise<StoreResult<ConfigurationReading>> {
		return this.#storeVersion === undefined
			? this.table.readConfiguration(callTimeoutMs)
			: this.table.pollConfiguration(this.#storeVersion, pollWaitMs, pollWaitMs + callTimeoutMs);
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

	#observeStore(isThere: boolean, why: string): void {
		if (this.#isStoreAway === isThere) {
			this.#isStoreAway = !isThere;
			this.log.logEvent(isThere ? 'store.regained' : 'store.lost', {call: 'configuration', why});
		}
	}
}

async function pause(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
