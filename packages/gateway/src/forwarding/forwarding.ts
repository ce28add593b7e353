import {type CoordinatorReport, type Heartbeat} from '@chicorysaddle/protocol/coordination';
import {type ForwardingClient} from './forwarding-client.js';
import {type ForwardingServer} from './forwarding-server.js';
import {type GatewayDirectory} from './gateway-directory.js';

/** What a VM that can be a gateway adds to its registration. */
export type ForwardingRegistration = Pick<NonNullable<Heartbeat['registration']>, 'isDraining'>;

/** Forwarding between VMs: the directory of gateways, the client of an entry VM and the server of a gateway. */
export class Forwarding {
	constructor(
		private readonly directory: GatewayDirectory,
		private readonly client: ForwardingClient,
		readonly server: ForwardingServer,
	) {}

	/** Revision of the member list, undefined if there is none. */
	get memberRevision(): string | undefined {
		return this.directory.revision;
	}

	/** Returns what this VM adds to its registration, undefined where connections are ample. */
	getRegistration(): ForwardingRegistration | undefined {
		return this.directory.hasScarceGroups ? {isDraining: this.server.isDraining || undefined} : undefined;
	}

	/** Applies the member list of a report. */
	applyReport(report: CoordinatorReport): void {
		this.directory.applyReport(report);
	}

	/** Closes all links. */
	stop(): void {
		this.client.stop();
		this.server.stop();
	}
}
