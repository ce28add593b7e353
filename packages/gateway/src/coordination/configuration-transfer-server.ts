import {Buffer} from 'node:buffer';
import {snapshotPartBytes} from '@chicorysaddle/decisions';
import {type ConfigurationPartRequest} from '@chicorysaddle/protocol/coordination';
import {type ConfigurationWatcher} from '../configuration/index.js';
import {type GatewayMetrics} from '../observability/index.js';
import {type PeerLink} from '../ports/index.js';

/** Dependencies of a `ConfigurationTransferServer`. */
export type ConfigurationTransferServerDependencies = {
	readonly configurationWatcher: ConfigurationWatcher;
	readonly metrics: GatewayMetrics;
};

/** Sends the configuration of this VM to other VMs, whole or in parts. */
export class ConfigurationTransferServer {
	constructor(private readonly dependencies: ConfigurationTransferServerDependencies) {}

	/** Sends the whole configuration in one message, if there is one. */
	sendWhole(link: PeerLink | undefined): void {
		const {snapshot} = this.dependencies.configurationWatcher;
		if (snapshot !== undefined) {
			link?.send({kind: 'configuration-reply', version: snapshot.version, encoded: snapshot.text});
		}
	}

	/** Answers a request with the part at its offset, or with the first part if the requester has received other content than this VM offers. */
	answerPartRequest(link: PeerLink, {version, digest, offset: requested}: ConfigurationPartRequest): void {
		const {configurationWatcher, metrics} = this.dependencies;
		const content = configurationWatcher.getStream(version);
		if (content === undefined) {
			// Without an answer the requester would wait for its timeout.
			link.close();
			return;
		}

		const offset = digest === content.digest ? requested : 0;
		metrics.addCount('configuration_parts_sent');
		link.send({
			kind: 'configuration-part',
			version: content.version,
			base: content.base,
			digest: content.digest,
			size: content.bytes.length,
			offset,
			data: Buffer.from(content.bytes.subarray(offset, offset + snapshotPartBytes)).toString('base64'),
			storeVersion: configurationWatcher.storeVersion,
		});
	}
}
