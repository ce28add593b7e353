export * from './transaction.js';
export * from './transaction-registry.js';
export * from './transaction-runner.js';
