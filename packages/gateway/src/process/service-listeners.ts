import {
	bindAddress, type BindConditions, type BoundListener, type Listener,
} from './bind-address.js';
import {formatErrorMessage} from './format-error.js';

/** Addresses of a service. */
export type ListenerLists = {
	/** Addresses that are bound one after another before the service starts; two processes of one VM meet at the first one, and neither waits for the other with a part of them. */
	readonly listeners: readonly Listener[];
	/** Addresses that the service does not wait for. */
	readonly optionalListeners: readonly Listener[];
};

/** Binds the addresses of a service, and gives them back if it is not to start. */
export class ServiceListeners {
	readonly #bound: BoundListener[] = [];
	readonly #closing = new AbortController();
	readonly #conditions: BindConditions;

	constructor(private readonly lists: ListenerLists, conditions: BindConditions) {
		this.#conditions = {...conditions, signal: AbortSignal.any([conditions.signal, this.#closing.signal])};
	}

	/**
	 * Binds the addresses, and begins to bind the optional ones.
	 * @returns Whether they were bound before they were closed or the signal was aborted.
	 * @throws An error of a bind that does not pass by itself.
	 */
	async bind(): Promise<boolean> {
		for (const listener of this.lists.optionalListeners) {
			void this.#bindOptional(listener);
		}

		for (const listener of this.lists.listeners) {
			if (!await this.#bind(listener)) {
				return false;
			}
		}

		return true;
	}

	/** Gives the addresses back. */
	close(): void {
		this.#closing.abort();
		for (const listener of this.#bound.splice(0)) {
			listener.close();
		}
	}

	async #bind(listener: Listener): Promise<boolean> {
		const bound = await bindAddress(listener, this.#conditions);
		if (bound === undefined) {
			return false;
		}

		if (this.#closing.signal.aborted) {
			bound.close();
			return false;
		}

		this.#bound.push(bound);
		return true;
	}

	async #bindOptional(listener: Listener): Promise<void> {
		try {
			await this.#bind(listener);
		} catch (error) {
			this.#conditions.log.logEvent('metrics.unavailable', {address: listener.address, reason: formatErrorMessage(error)});
		}
	}
}
