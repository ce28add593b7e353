export * from './lease-voter.js';
export * from './lease-candidate.js';
export * from './dual-clock-lease.js';
export * from './offer-order.js';
