export * from './pooled-connection.js';
export * from './instance-tracker.js';
export * from './instance-pool.js';
export type * from './placement.js';
export * from './network-distance.js';
export * from './dispatcher.js';
export type * from './placement-router.js';
