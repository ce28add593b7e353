/** Settings that may change while the process runs. */
export type AdjustableSettings = {
	/** Time for which an instance that is draining may still be sent work, milliseconds. */
	readonly drainMs: number;
	/** Window over which the limits of client accounts hold, milliseconds. */
	readonly limitWindowMs: number;
	/** Capacity beside the largest VMs, from zero to one. */
	readonly capacity: number;
	/** Peer addresses of VMs that may know the configuration while the store does not answer. */
	readonly seeds: readonly string[];
};

/** Gives the adjustable settings as they are now. */
export type AdjustableSettingsSource = () => AdjustableSettings;
