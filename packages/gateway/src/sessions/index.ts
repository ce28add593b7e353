export type * from './session-services.js';
export * from './operation.js';
export * from './statement-runner.js';
export * from './single-statement.js';
export * from './transaction.js';
export * from './caller-session.js';
