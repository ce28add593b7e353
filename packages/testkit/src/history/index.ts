export * from './history.js';
export * from './violations.js';
export * from './check-history.js';
export * from './run-statistics.js';
