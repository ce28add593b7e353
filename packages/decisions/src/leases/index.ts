export * from './lease-voter.js';
export * from './lease-candidate.js';
