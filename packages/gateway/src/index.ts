/** The gateway: caller sessions, statement routing, transactions, and coordination between VMs. */
export * from './ports/index.js';
export type * from './statements/index.js';
export * from './configuration/index.js';
export * from './instances/index.js';
export * from './observability/index.js';
export * from './memory/index.js';
export * from './sessions/index.js';
export * from './lifecycle/index.js';
export * from './process/index.js';
export * from './coordination/index.js';
export * from './wiring/index.js';
