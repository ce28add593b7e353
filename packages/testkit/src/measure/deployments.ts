import {type FakeDeploymentOptions} from '../fakes/index.js';
import {type AccountLoad} from '../load/index.js';

/** Names of the measured deployments. */
export type DeploymentName = 'humidis' | 'cathair';

/** Sizes of a deployment; rates are in calls per second. */
export type DeploymentProfile = {
	readonly deployment: FakeDeploymentOptions;
	/** One-way network latency between VMs, in milliseconds. */
	readonly peerLatencyMs: number;
	readonly largeAccountRate: number;
	readonly smallAccountRate: number;
};

/** Number of VMs of each deployment. */
export const vmCount = 7;

/** Profiles of the users' deployments. */
export const deployments: Readonly<Record<DeploymentName, DeploymentProfile>> = {
	humidis: {
		deployment: {
			groups: ['casefile-a', 'casefile-b', 'casefile-c'], zones: ['quimper', 'lorient', 'saint-brieuc'], slots: 5, connections: 30,
			timing: {minServiceMs: 3, connectMs: 12, roundTripMs: 2},
		},
		peerLatencyMs: 1, largeAccountRate: 60, smallAccountRate: 12,
	},
	cathair: {
		deployment: {
			groups: ['kiosk-a', 'kiosk-b', 'kiosk-c'], zones: ['ireland-east-1', 'ireland-east-2', 'ireland-east-3'], slots: 2, connections: 30,
			timing: {minServiceMs: 3, connectMs: 12, roundTripMs: 3},
		},
		peerLatencyMs: 1.5, largeAccountRate: 40, smallAccountRate: 8,
	},
};

const largeAccountCount = 3;
const accountCount = 8;

/**
 * Creates the accounts of a deployment, large ones first.
 * @param offeredLoad - Offered calls, as a multiple of each account's rate.
 */
export function createAccounts(profile: DeploymentProfile, offeredLoad: number): AccountLoad[] {
	return Array.from({length: accountCount}, (_, index) => {
		const rate = index < largeAccountCount ? profile.largeAccountRate : profile.smallAccountRate;
		return {
			name: `account-${index + 1}`, rate, burst: rate, key: `csk_first-${index + 1}`, offeredLoad,
		};
	});
}
