import {createConfigurationChanges} from './configuration-changes.js';
import {encodeSnapshotText, type ConfigurationSnapshot} from './configuration-snapshot.js';
import {type ConfigurationStreamContent} from './configuration-stream.js';

/** Number of former versions to which changes can be sent. */
const maxFormerVersions = 4;

/** The active version of the configuration and the last ones before it, for VMs that have one of these. */
export class ConfigurationHistory {
	#current: ConfigurationSnapshot | undefined;
	#former: readonly ConfigurationSnapshot[] = [];
	/** Content for a VM with a former version, by that version. */
	#streams = new Map<number, ConfigurationStreamContent>();

	/** Active version; undefined before the first. */
	get current(): ConfigurationSnapshot | undefined {
		return this.#current;
	}

	/** Sets the active version. */
	setCurrent(snapshot: ConfigurationSnapshot): void {
		this.#former = this.#current === undefined ? [] : [this.#current, ...this.#former].slice(0, maxFormerVersions);
		this.#current = snapshot;
		this.#streams = new Map();
	}

	/**
	 * Returns what to send to a VM: the changes since its version if they are known and smaller, or else the whole configuration; undefined if there is none.
	 * @param baseVersion - Version that the VM has; 0 for the whole configuration.
	 */
	getStream(baseVersion: number): ConfigurationStreamContent | undefined {
		const current = this.#current;
		const base = this.#former.find(({version}) => version === baseVersion);
		if (current === undefined || base === undefined) {
			return current?.stream;
		}

		const stream = this.#streams.get(baseVersion) ?? createStream(base, current);
		this.#streams.set(baseVersion, stream);
		return stream;
	}
}

function createStream(base: ConfigurationSnapshot, current: ConfigurationSnapshot): ConfigurationStreamContent {
	const bytes = encodeSnapshotText(createConfigurationChanges(base.text, current.text));
	return bytes.length < current.compressed.length
		? {
			version: current.version, base: base.version, digest: current.digest, bytes,
		}
		: current.stream;
}
