import {countAllowedPerWindow, type SilentMembers, TokenIssuer} from '@chicorysaddle/decisions';
import {
	type Heartbeat, type IssuedUsageMessage, type TokenDemands, type TokenGrants,
} from '@chicorysaddle/protocol/coordination';
import {type ConfigurationView} from '../configuration/index.js';
import {type EventLog} from '../observability/index.js';
import {type Clock} from '../ports/index.js';

/** Time after which a VM may ask again for tokens of an account that the configuration lacks, in milliseconds. */
const unknownAccountWaitMs = 1500;

const percentsPerUnit = 100;

/** Dependencies of `AccountTokens`. */
export type AccountTokensDependencies = {
	readonly configuration: ConfigurationView;
	readonly clock: Clock;
	readonly log: EventLog;
	/** Window over which the limits of client accounts apply, in milliseconds. */
	readonly limitWindowMs: number;
};

/** Tokens of all client accounts in one tenure of the coordinator, and what it knows of their usage. */
export class AccountTokens {
	readonly #issuer: TokenIssuer;
	/** Monotonic time at which dropped accounts were removed last, in milliseconds. */
	#cleanedAt = Number.NEGATIVE_INFINITY;

	/** @param startedAt - Monotonic time at which the tenure began, in milliseconds. */
	constructor(private readonly dependencies: AccountTokensDependencies, startedAt: number) {
		this.#issuer = new TokenIssuer(dependencies.limitWindowMs, startedAt);
	}

	/** Grants a VM tokens of the accounts in its demands. */
	issueTokens(vm: string, demands: TokenDemands, silentMembers: SilentMembers): TokenGrants {
		const now = this.dependencies.clock.now();
		const grants = new Map<string, TokenGrants[string]>();
		for (const [account, demand] of Object.entries(demands)) {
			const limit = this.dependencies.configuration.getAccount(account);
			if (limit === undefined) {
				grants.set(account, {
					count: 0, waitMs: unknownAccountWaitMs, free: undefined, used: undefined,
				});
				continue;
			}

			const isFirst = this.#issuer.getUsedCount(account, now) === undefined;
			if (isFirst) {
				this.#removeDroppedAccounts(now);
			}

			grants.set(account, this.#issuer.grantTokens({
				vm, account, demand, limit,
			}, silentMembers, now));
			if (isFirst) {
				this.dependencies.log.logEvent('limits.assumed', {account, used: Math.round(this.#issuer.getUsedCount(account, now)!), allowed: countAllowedPerWindow(limit, this.dependencies.limitWindowMs)});
			}
		}

		return Object.fromEntries(grants);
	}

	/** Removes the usage of accounts that the configuration lacks, at most once in a window. */
	#removeDroppedAccounts(now: number): void {
		const {configuration, limitWindowMs} = this.dependencies;
		if (now - this.#cleanedAt >= limitWindowMs) {
			this.#cleanedAt = now;
			this.#issuer.removeAccounts(account => configuration.getAccount(account) !== undefined, now);
		}
	}

	/** Records the usage that a heartbeat states; one of a former build states none. */
	recordUsage({vm, accountUsage, statedUsage = [], uptimeMs}: Heartbeat): void {
		if (accountUsage !== undefined && uptimeMs !== undefined) {
			const now = this.dependencies.clock.now();
			const statements = new Map(statedUsage.map(([account, used, ageMs]) => [account, {used, at: now - Math.max(0, ageMs)}]));
			this.#issuer.recordUsage(vm, accountUsage.map(([account, admitted, counts]) => ({
				account, admitted, counts, stated: statements.get(account),
			})), now - uptimeMs, now);
		}
	}

	/**
	 * Records that a VM has a new process.
	 * @param unheardMs - Time for which nothing was heard of the former process before its end, in milliseconds; undefined if its end was not noticed.
	 */
	recordRestart(vm: string, unheardMs: number | undefined): void {
		// A process whose end was not noticed may have admitted its whole share.
		this.#issuer.removeVmUsage(vm, unheardMs ?? this.dependencies.limitWindowMs, this.dependencies.clock.now());
	}

	/** Removes what is kept of a VM that has left the cluster. */
	removeVm(vm: string): void {
		this.#issuer.removeVm(vm);
	}

	/** Returns what is known of the usage of accounts, for the VM that takes over as the coordinator. */
	exportUsage(silentMembers: SilentMembers): IssuedUsageMessage {
		const {accounts, assumed} = this.#issuer.exportUsage(silentMembers, this.dependencies.clock.now());
		return {accounts: accounts.map(([account, counts]) => [account, [...counts]]), evenPercentage: assumed.even * percentsPerUnit, burstPercentage: assumed.burst * percentsPerUnit};
	}

	/** Starts from the usage of accounts that the VM knew from which this one takes over. */
	importUsage({accounts, evenPercentage, burstPercentage}: IssuedUsageMessage): void {
		this.#issuer.importUsage({accounts, assumed: {even: evenPercentage / percentsPerUnit, burst: burstPercentage / percentsPerUnit}}, this.dependencies.clock.now());
	}
}
