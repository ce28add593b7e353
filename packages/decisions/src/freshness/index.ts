export * from './freshness.js';
export * from './position-log.js';
