import {
	type ClientAccount, type DatabaseGroup, type DatabaseRoute, type GatewayConfiguration,
} from './gateway-configuration.js';

/** Looks things up in the version of the configuration that is in force here. */
export class ConfigurationView {
	#configuration: GatewayConfiguration | undefined;
	#routes = new Map<string, DatabaseRoute>();
	#groups = new Map<string, DatabaseGroup>();
	#accountsByKey = new Map<string, ClientAccount>();
	#accounts = new Map<string, ClientAccount>();

	/** Version in force, zero before the first. */
	get version(): number {
		return this.#configuration?.version ?? 0;
	}

	get configuration(): GatewayConfiguration | undefined {
		return this.#configuration;
	}

	/**
	 * Takes a version into force, unless it is not newer than the one in force.
	 * @param configuration - Version to apply.
	 * @returns Whether it was applied.
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

	getRoute(database: string): DatabaseRoute | undefined {
		return this.#routes.get(database);
	}

	getGroup(name: string): DatabaseGroup | undefined {
		return this.#groups.get(name);
	}

	getAccount(name: string): ClientAccount | undefined {
		return this.#accounts.get(name);
	}

	/**
	 * Returns the account that holds a key.
	 * @param digest - Digest of the key.
	 */
	getAccountByKey(digest: string): ClientAccount | undefined {
		return this.#accountsByKey.get(digest);
	}

	getAccounts(): Iterable<ClientAccount> {
		return this.#accounts.values();
	}

	getGroups(): Iterable<DatabaseGroup> {
		return this.#groups.values();
	}
}
