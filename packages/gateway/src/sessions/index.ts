export type * from './session-dependencies.js';
export * from './session-commits.js';
export * from './operation.js';
export * from './statement-runner.js';
export * from './autocommit-runner.js';
export * from './transaction.js';
export * from './session-definitions.js';
export * from './caller-session.js';
