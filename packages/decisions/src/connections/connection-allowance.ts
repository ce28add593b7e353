/** Even share from which on a VM keeps to it, in connections: one is left beside that of an open transaction. */
const ampleShare = 2;

/** Connections beyond the even share that a VM may open before any is refused. */
const initialExtra = 2;

/** Minimum time between two increases of the extra connections, in milliseconds. */
const increaseIntervalMs = 100;

/** Time within which refusals count as one, in milliseconds: opened together, they tell the same. */
const refusalWindowMs = 100;

/** Maximum fraction of an instance's connections that one VM may hold beyond its share. */
const maxExtraFraction = 0.125;

/** Maximum idle time after which a connection is closed, in milliseconds. */
const maxIdleTimeoutMs = 1000;

/** Idle time after which a process that has just started closes a connection, in milliseconds. */
const startIdleTimeoutMs = 100;

/** Fraction of an instance's connections that the idle ones of all VMs may take together. */
const maxIdleFraction = 0.2;

/** Time constant of the exponential average of opened connections, in milliseconds. */
const openingTimeConstantMs = 3000;

/** Maximum number of times that refusals halve the idle time. */
const maxIdleHalvings = 3;

/** Time without a refusal after which the idle time doubles again, in milliseconds. */
const idleRecoveryMs = 2000;

/** Fraction of its connections that a new process uses at first, as the instance may still count those of its predecessor. */
const initialStartFraction = 0.2;

/** Factor by which a shortage without a refusal raises the fraction that a new process uses. */
const startGrowthFactor = 1.5;

/** Connections of an instance that several VMs share. */
export type SharedConnections = {
	/** Number of connections that the instance accepts. */
	readonly capacity: number;
	readonly vms: number;
	/** Whether this process has just started, so that the instance may still count connections of VMs that lost power. */
	readonly isStarting: boolean;
};

/**
 * Limits the connections of one VM to one instance whose connections many VMs share.
 *
 * An even share is wasteful where it is only a few connections: each VM needs several for moments and none for most of the time.
 * There, a VM may exceed its share while it has demand, by a number that grows until the instance refuses a connection. Unused connections
 * stay open for a time that leaves most of the instance's connections free if all VMs open as many as this one. A refusal halves both.
 *
 * After a loss of power an instance counts the connections of the former processes for a while, after a kill it does not. A new process
 * can't tell the two apart, so it starts slowly: with a fraction of its connections, which grows with shortages until one is refused.
 */
export class ConnectionAllowance {
	#extra = initialExtra;
	#increasedAt = Number.NEGATIVE_INFINITY;
	#refusedAt = Number.NEGATIVE_INFINITY;
	/** Weighted number of opened connections at the last opening. */
	#recentOpenings = 0;
	#openedAt = 0;
	/** Number of halvings of the idle time at the last refusal. */
	#idleHalvings = 0;
	#startFraction = initialStartFraction;

	/** Returns the maximum number of connections that the VM may hold, at least one. */
	getLimit(shared: SharedConnections): number {
		const usableFraction = shared.isStarting ? this.#startFraction : 1;
		const evenLimit = Math.max(1, Math.floor(computeEvenShare(shared) * usableFraction));
		return isAmple(shared) ? evenLimit : evenLimit + Math.min(this.#extra, getMaxExtra(shared, usableFraction));
	}

	/**
	 * Returns the number of idle connections that stay open regardless of their age.
	 * @param keptFraction - Fraction of an ample limit that stays open.
	 */
	getKeptIdleCount(shared: SharedConnections, keptFraction: number): number {
		if (!isAmple(shared)) {
			return 0;
		}

		// What a starting process opened beyond its first fraction may be all that is left for others.
		return shared.isStarting ? 1 : Math.max(1, Math.floor(this.getLimit(shared) * keptFraction));
	}

	/** Returns the idle time after which another connection is closed, in milliseconds. */
	getIdleTimeoutMs(shared: SharedConnections, now: number): number {
		if (isAmple(shared)) {
			return shared.isStarting ? startIdleTimeoutMs : maxIdleTimeoutMs;
		}

		const timeoutMs = (maxIdleFraction * computeEvenShare(shared) * openingTimeConstantMs) / this.#computeRecentOpenings(now);
		return Math.min(maxIdleTimeoutMs, timeoutMs) / (2 ** this.#getIdleHalvings(now));
	}

	/** Records that the VM opened a connection. */
	recordOpening(now: number): void {
		this.#recentOpenings = this.#computeRecentOpenings(now) + 1;
		this.#openedAt = now;
	}

	/** Records that an operation needed a connection while the VM held as many as it may. */
	recordShortage(shared: SharedConnections, now: number): void {
		if (now - this.#increasedAt >= increaseIntervalMs && now - this.#refusedAt >= increaseIntervalMs) {
			this.#increasedAt = now;
			this.#extra = Math.min(this.#extra + 1, getMaxExtra(shared, 1));
			this.#startFraction = Math.min(1, this.#startFraction * startGrowthFactor);
		}
	}

	/** Records that the instance refused a connection because it has as many as it accepts. */
	recordRefusal(now: number): void {
		if (now - this.#refusedAt >= refusalWindowMs) {
			this.#idleHalvings = Math.min(maxIdleHalvings, this.#getIdleHalvings(now) + 1);
			this.#refusedAt = now;
			this.#extra = Math.floor(this.#extra / 2);
			this.#startFraction = Math.max(initialStartFraction, this.#startFraction / 2);
		}
	}

	/** Returns the number of opened connections, each weighted down exponentially with its age. */
	#computeRecentOpenings(now: number): number {
		return this.#recentOpenings * Math.exp((this.#openedAt - now) / openingTimeConstantMs);
	}

	#getIdleHalvings(now: number): number {
		return Math.max(0, this.#idleHalvings - Math.floor((now - this.#refusedAt) / idleRecoveryMs));
	}
}

function computeEvenShare({capacity, vms}: SharedConnections): number {
	return capacity / Math.max(1, vms);
}

function isAmple(shared: SharedConnections): boolean {
	return computeEvenShare(shared) >= ampleShare;
}

function getMaxExtra({capacity}: SharedConnections, usableFraction: number): number {
	return Math.max(1, Math.floor(capacity * usableFraction * maxExtraFraction));
}
