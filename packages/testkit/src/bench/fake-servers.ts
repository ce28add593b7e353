import process from 'node:process';
import {bootstrapConfiguration} from '../embedded/bootstrap.js';
import {createFakeDeployment} from '../fakes/index.js';

/** Fake platform and one fake group whose instances respond without delay. */
const deployment = await createFakeDeployment({
	groups: ['bench'], zones: ['z'], slots: 64, connections: 66, timing: {minServiceMs: 0, connectMs: 0, roundTripMs: 0},
});
deployment.platform.listVms = () => [{
	name: 'vm-1', address: '', zone: 'z', state: 'live',
}];
await bootstrapConfiguration(deployment, {
	accounts: [{
		name: 'bench', rate: 1e6, burst: 1e6, key: 'csk_bench',
	}], voters: ['vm-1'],
});
process.send?.({platform: deployment.platform.port, endpoint: deployment.servers[0]!.address});
