import {type DeploymentOptions} from '../stand-ins/index.js';
import {type AccountLoad} from '../load/index.js';

/** Names of the deployments that are measured. */
export type DeploymentName = 'humidis' | 'cathair';

/** Sizes of one deployment. */
export type DeploymentProfile = {
	readonly stand: DeploymentOptions;
	readonly peerDelayMs: number;
	readonly largeRate: number;
	readonly smallRate: number;
};

/** Number of VMs of each deployment. */
export const vmCount = 7;

/** The sizes that the users give. */
export const deployments: Readonly<Record<DeploymentName, DeploymentProfile>> = {
	humidis: {
		stand: {
			groups: ['casefile-a', 'casefile-b', 'casefile-c'], zones: ['quimper', 'lorient', 'saint-brieuc'], slots: 5, connections: 30,
			timing: {serviceMs: 3, openMs: 12, roundTripMs: 2},
		},
		peerDelayMs: 1, largeRate: 60, smallRate: 12,
	},
	cathair: {
		stand: {
			groups: ['kiosk-a', 'kiosk-b', 'kiosk-c'], zones: ['ireland-east-1', 'ireland-east-2', 'ireland-east-3'], slots: 2, connections: 30,
			timing: {serviceMs: 3, openMs: 12, roundTripMs: 3},
		},
		peerDelayMs: 1.5, largeRate: 40, smallRate: 8,
	},
};

const largeAccounts = 3;
const accountCount = 8;

/** Creates the accounts of a deployment, the large ones first. */
export function createAccounts(profile: DeploymentProfile, offered: number): AccountLoad[] {
	return Array.from({length: accountCount}, (_, index) => {
		const rate = index < largeAccounts ? profile.largeRate : profile.smallRate;
		return {
			name: `account-${index + 1}`, rate, burst: rate, key: `csk_first-${index + 1}`, offered,
		};
	});
}
