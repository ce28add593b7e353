export type * from './request-context.js';
export type * from './request-dependencies.js';
export * from './request-identity.js';
export * from './claim-registry.js';
export * from './endpoint-response.js';
export * from './read-runner.js';
export * from './write-runner.js';
export * from './request-runner.js';
