import {FakeGroup} from './fake-group.js';
import {FakeInstance} from './fake-instance.js';
import {FakeEndpointServer, type EndpointTiming} from './fake-endpoint-server.js';
import {FakePlatform} from './fake-platform.js';
import {SeededRandom} from './seeded-random.js';

/** Names and sizes of a fake deployment. */
export type FakeDeploymentOptions = {
	readonly groups: readonly string[];
	readonly zones: readonly string[];
	/** Maximum number of concurrent statements per instance. */
	readonly slots: number;
	/** Maximum number of open connections per instance. */
	readonly connections: number;
	readonly timing?: EndpointTiming;
	/** Seed of the execution times; 1 by default. */
	readonly seed?: number;
};

/** Fake platform and fake database groups. */
export type FakeDeployment = {
	readonly platform: FakePlatform;
	readonly groups: FakeGroup[];
	readonly servers: FakeEndpointServer[];
	stop(): void;
};

const defaultTiming: EndpointTiming = {minServiceMs: 1, connectMs: 12, roundTripMs: 0};

/** Starts a fake deployment with one instance of each group in each availability zone. */
export async function createFakeDeployment(options: FakeDeploymentOptions): Promise<FakeDeployment> {
	const random = new SeededRandom(options.seed ?? 1);
	const platform = new FakePlatform();
	const groups = options.groups.map(name => new FakeGroup(name, options.zones.map(zone => new FakeInstance(`${name}-${zone}`, zone, options.slots, options.connections))));
	const servers = groups.flatMap(group => group.instances.map(instance => new FakeEndpointServer(instance, options.timing ?? defaultTiming, () => random.nextFraction())));
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
