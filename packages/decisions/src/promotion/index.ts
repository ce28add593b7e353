export * from './failure-detector.js';
export * from './promotion-round.js';
export * from './primary-liveness.js';
export * from './successor-ranking.js';
export * from './promotion-record.js';
export * from './commit-holders.js';
