/** Decision logic of the proxy without I/O, clocks or randomness: callers pass in the time and carry out the decisions. */
export * from './sessions/index.js';
export * from './routing/index.js';
export * from './placement/index.js';
export * from './connections/index.js';
export * from './distribution/index.js';
export * from './evacuation/index.js';
export * from './limits/index.js';
export * from './leases/index.js';
export * from './freshness/index.js';
export * from './placement/index.js';
export * from './promotion/index.js';
export * from './retries/index.js';
export * from './queueing/index.js';
export * from './admission/index.js';
