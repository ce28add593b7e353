export * from './deployments.js';
export * from './scenarios.js';
export * from './run-measurement.js';
