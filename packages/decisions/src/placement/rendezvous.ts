import {hash} from 'node:crypto';

/** Number of bytes of the digest that enter the score. */
const digestBytes = 6;

/** Number of different values of that many bytes. */
const digestRange = 2 ** (8 * digestBytes);

/** Minimum weight of a candidate, so that a VM whose capacity is stated as zero still has a defined score. */
const minWeight = 0.01;

/**
 * Computes the score of a candidate for a key, by weighted rendezvous hashing: the candidate with the highest score is chosen for the
 * key, and each candidate is chosen for a fraction of the keys that is proportional to its weight.
 */
export function computeRendezvousScore(key: string, candidate: string, weight: number): number {
	const digest = hash('sha1', `${key}\n${candidate}`, 'buffer').readUIntBE(0, digestBytes);
	return -Math.max(minWeight, weight) / Math.log((digest + 0.5) / digestRange);
}
