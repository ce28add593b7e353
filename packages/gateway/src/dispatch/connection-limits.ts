import {type SharedConnections} from '@chicorysaddle/decisions';
import {type ConfigurationView} from '../configuration/index.js';
import {type Clock} from '../ports/index.js';
import {type InstancePool} from './instance-pool.js';
import {type PlacementRouter} from './placement-router.js';

/** Fraction of a VM's connection limit that may stay open while idle. The rest is left for the successors of VMs that lost power, whose connections an instance counts until it detects the loss. */
const keptIdleFraction = 0.5;

/** Fraction of its connections that a gateway uses while it has just started, since the instance may still count those of its predecessor. */
const gatewayStartFraction = 0.5;

/** Time for which an instance still counts the connections of a VM that lost power, in milliseconds. */
const staleConnectionTimeoutMs = 3000;

/** Dependencies of `ConnectionLimits`. */
export type ConnectionLimitsDependencies = {
	readonly configuration: ConfigurationView;
	readonly clock: Clock;
	/** Forwards operations to gateways; absent if this VM forwards none. */
	readonly router?: PlacementRouter | undefined;
};

/** Limits the connections of this VM to each instance: an even share, the share of a gateway, or what the gateways leave to the other VMs. */
export class ConnectionLimits {
	readonly #startedAt: number;
	#memberCount = 1;

	constructor(private readonly dependencies: ConnectionLimitsDependencies) {
		this.#startedAt = dependencies.clock.now();
	}

	/** Sets the number of VMs that share the connections of an instance. */
	setMemberCount(memberCount: number): void {
		this.#memberCount = Math.max(1, memberCount);
	}

	/** Returns whether this VM is a gateway of the instance of a pool. */
	isGateway({instance}: InstancePool): boolean {
		return this.dependencies.router?.getShare(instance)?.kind === 'gateway';
	}

	/** Returns the maximum number of connections of this VM to an instance. */
	getLimit(pool: InstancePool): number {
		const shared = this.getShared(pool);
		const share = this.dependencies.router?.getShare(pool.instance);
		if (share?.kind !== 'gateway') {
			return pool.allowance.getLimit(shared);
		}

		const limit = Math.ceil(share.connections * (shared.isStarting ? gatewayStartFraction : 1));
		// While the instance refuses connections, a gateway closes an idle one of another account, since its idle ones stay open otherwise.
		return pool.tracker.getOverloadReason(this.dependencies.clock.now()) === 'connection-limit' ? Math.min(limit, Math.max(1, pool.connectionCount)) : limit;
	}

	/** Returns the connections to an instance that this VM shares with others that are no gateways. */
	getShared({instance}: InstancePool): SharedConnections {
		const share = this.dependencies.router?.getShare(instance);
		const rest = share?.kind === 'rest' ? share : undefined;
		return {
			capacity: rest?.capacity ?? this.dependencies.configuration.getGroup(instance.group)?.maxConnections ?? 1,
			vms: rest?.vms ?? this.#memberCount,
			isStarting: this.dependencies.clock.now() - this.#startedAt < staleConnectionTimeoutMs,
		};
	}

	/** Closes the connections to an instance that were idle for too long; a gateway closes only those above its limit. */
	closeIdle(pool: InstancePool): void {
		if (this.isGateway(pool)) {
			pool.closeIdle(this.getLimit(pool), 0);
			return;
		}

		const shared = this.getShared(pool);
		pool.closeIdle(pool.allowance.getKeptIdleCount(shared, keptIdleFraction), pool.allowance.getIdleTimeoutMs(shared, this.dependencies.clock.now()));
	}
}
