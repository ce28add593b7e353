import {
	type ClientAccount, type DatabaseGroup, type DatabaseRoute, type GatewayConfiguration,
} from './gateway-configuration.js';

/** Indexed read access to the active configuration. */
export class ConfigurationView {
	#configuration: GatewayConfiguration | undefined;
	#routes = new Map<string, DatabaseRoute>();
	#groups = new Map<string, DatabaseGroup>();
	#accountsByKey = new Map<string, ClientAccount>();
	#accounts = new Map<string, ClientAccount>();

	/** Active version; 0 before the first configuration is applied. */
	get version(): number {
		return this.#configuration?.version ?? 0;
	}

	/** Active configuration; undefined before the first is applied. */
	get configuration(): GatewayConfiguration | undefined {
		return this.#configuration;
	}

	/**
	 * Activates a configuration if it is newer than the active one.
	 * @returns Whether it was activated.
	 */
	applyConfiguration(configuration: GatewayConfiguration): boolean {
		if (configuration.version <= this.version) {
			return false;
		}

		this.#configuration = configuration;
		this.#routes = new Map(configuration.routes.toReversed().map(route => [route.database, route]));
		this.#groups = new Map(configuration.groups.map(group => [group.name, group]));
		this.#accounts = new Map(configuration.accounts.map(account => [account.name, account]));
		this.#accountsByKey = new Map(configuration.accounts.flatMap(account => account.keyDigests.map(digest => [digest, account])));
		return true;
	}

	/** Returns the route of a database name, the first if there are several; undefined if there is none. */
	getRoute(database: string): DatabaseRoute | undefined {
		return this.#routes.get(database);
	}

	/** Returns the group with a name, undefined if there is none. */
	getGroup(name: string): DatabaseGroup | undefined {
		return this.#groups.get(name);
	}

	/** Returns the account with a name, undefined if there is none. */
	getAccount(name: string): ClientAccount | undefined {
		return this.#accounts.get(name);
	}

	/**
	 * Returns the account that owns a key, undefined if there is none.
	 * @param digest - Digest of the key.
	 */
	getAccountByKey(digest: string): ClientAccount | undefined {
		return this.#accountsByKey.get(digest);
	}

	/** Returns all accounts. */
	getAccounts(): Iterable<ClientAccount> {
		return this.#accounts.values();
	}

	/** Returns all groups. */
	getGroups(): Iterable<DatabaseGroup> {
		return this.#groups.values();
	}
}
