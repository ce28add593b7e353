import {createHash} from 'node:crypto';

/**
 * Orders VMs by rendezvous hashing: each key has its own order, which changes little when VMs are added or removed.
 * @param key - Client account or lease that the VMs are ranked for.
 * @param vms - Names of the VMs.
 */
export function rankVms(key: string, vms: readonly string[]): string[] {
	return vms
		.map(vm => ({vm, score: createHash('sha256').update(`${vm}/${key}`).digest('hex')}))
		.toSorted((a, b) => (a.score < b.score ? -1 : 1))
		.map(({vm}) => vm);
}
