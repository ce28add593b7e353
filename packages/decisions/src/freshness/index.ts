export * from './freshness-tracker.js';
export * from './position-history.js';
