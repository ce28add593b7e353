/** Settings that can change while the process runs. */
export type AdjustableSettings = {
	/** Time for which a draining instance still accepts new statements, in milliseconds. */
	readonly drainMs: number;
	/** Time after the start of an evacuation from which nothing may be sent to the instances of its zone, in milliseconds; 5,000 if absent. */
	readonly evacuateMs?: number;
	/** Sliding window over which client account limits are enforced, in milliseconds. */
	readonly limitWindowMs: number;
	/** Capacity of this VM relative to the largest VMs, from 0 to 1. */
	readonly capacity: number;
	/** Peer addresses to contact for the coordinator and the configuration while the store is unavailable. */
	readonly seeds: readonly string[];
};

/** Returns the current adjustable settings. */
export type AdjustableSettingsSource = () => AdjustableSettings;
