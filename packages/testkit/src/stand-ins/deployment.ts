import {DatabaseGroup} from './database-group.js';
import {DatabaseInstance} from './database-instance.js';
import {EndpointServer, type EndpointTiming} from './endpoint-server.js';
import {PlatformServer} from './platform-server.js';
import {SeededRandom} from './random.js';

/** Sizes of the stand-ins of a deployment. */
export type DeploymentOptions = {
	readonly groups: readonly string[];
	readonly zones: readonly string[];
	/** Statements that an instance runs at once. */
	readonly slots: number;
	/** Connections that an instance takes. */
	readonly connections: number;
	readonly timing?: EndpointTiming;
	readonly seed?: number;
};

/** The stand-ins of one deployment: a platform and database groups. */
export type Deployment = {
	readonly platform: PlatformServer;
	readonly groups: DatabaseGroup[];
	readonly servers: EndpointServer[];
	stop(): void;
};

const instantTiming: EndpointTiming = {serviceMs: 1, openMs: 12, roundTripMs: 0};

/** Starts the stand-ins of a deployment, with one instance of each group in each availability zone. */
export async function createDeployment(options: DeploymentOptions): Promise<Deployment> {
	const random = new SeededRandom(options.seed ?? 1);
	const platform = new PlatformServer();
	const groups = options.groups.map(name => new DatabaseGroup(name, options.zones.map(zone => new DatabaseInstance(`${name}-${zone}`, zone, options.slots, options.connections))));
	const servers = groups.flatMap(group => group.instances.map(instance => new EndpointServer(instance, options.timing ?? instantTiming, () => random.getFraction())));
	await Promise.all([platform.start(), ...servers.map(async server => server.start())]);
	for (const group of groups) {
		group.start();
	}

	return {
		platform, groups, servers,
		stop() {
			platform.stop();
			for (const group of groups) {
				group.stop();
			}

			for (const server of servers) {
				server.stop();
			}
		},
	};
}
