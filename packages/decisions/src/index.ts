/** The decisions of the proxy, free of I/O, clocks and randomness: time in, commands out. */
export * from './sessions/index.js';
export * from './routing/index.js';
export * from './limits/index.js';
export * from './leases/index.js';
export * from './freshness/index.js';
export * from './promotion/index.js';
export * from './retries/index.js';
export * from './queueing/index.js';
