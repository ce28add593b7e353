import {createHash} from 'node:crypto';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {formatConfiguration} from './configuration-codec.js';
import {type ConfigurationStreamContent} from './configuration-stream.js';
import {type GatewayConfiguration} from './gateway-configuration.js';

/** Size above which a configuration is distributed in parts, in characters. */
const largeSnapshotLength = 32_768;

/** Maximum size of a decompressed configuration, in bytes; it protects against malformed content. */
const maxTextBytes = 67_108_864;

/** Computes the digest that identifies the content of a configuration. */
export function computeSnapshotDigest(text: string): string {
	return createHash('sha256').update(text).digest('base64url');
}

/** Decompresses content that another VM sent; throws if it is malformed. */
export function decodeSnapshotText(compressed: Uint8Array): string {
	return inflateRawSync(compressed, {maxOutputLength: maxTextBytes}).toString('utf8');
}

/** Compresses the text of a configuration, or of changes. */
export function encodeSnapshotText(text: string): Uint8Array {
	return deflateRawSync(text);
}

/** A configuration as another VM sent it. */
export type ReceivedConfiguration = {
	readonly text: string;
	readonly digest?: string;
	/** Compressed text; absent if it was received in another form. */
	readonly compressed?: Uint8Array;
};

/** One version of the configuration as it is sent to other VMs; text, digest and compressed form are computed once, when they are needed. */
export class ConfigurationSnapshot {
	#text: string | undefined;
	#digest: string | undefined;
	#compressed: Uint8Array | undefined;

	/** @param received - Text, digest and compressed form as received from another VM, which are passed on. */
	constructor(private readonly configuration: GatewayConfiguration, received?: ReceivedConfiguration) {
		this.#text = received?.text;
		this.#digest = received?.digest;
		this.#compressed = received?.compressed;
	}

	get version(): number {
		return this.configuration.version;
	}

	/** Serialized configuration. */
	get text(): string {
		this.#text ??= formatConfiguration(this.configuration);
		return this.#text;
	}

	/** Whether the configuration is so large that it is distributed in parts. */
	get isLarge(): boolean {
		return this.text.length > largeSnapshotLength;
	}

	get digest(): string {
		this.#digest ??= computeSnapshotDigest(this.text);
		return this.#digest;
	}

	get compressed(): Uint8Array {
		this.#compressed ??= encodeSnapshotText(this.text);
		return this.#compressed;
	}

	/** Content for a VM without a configuration. */
	get stream(): ConfigurationStreamContent {
		return {
			version: this.version, base: undefined, digest: this.digest, bytes: this.compressed,
		};
	}
}
