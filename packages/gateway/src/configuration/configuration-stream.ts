/** Compressed content that is sent to another VM in parts. */
export type ConfigurationStreamContent = {
	readonly version: number;
	/** Version that the content changes; undefined if it is a whole configuration. */
	readonly base: number | undefined;
	/** Digest of the configuration that results. */
	readonly digest: string;
	readonly bytes: Uint8Array;
};
