export * from './lease-voter.js';
export * from './lease-candidate.js';
export * from './timed-lease.js';
