/** Sessions that live on a connection: statements, transactions, routing, and what the VMs agree on. */
export type * from './ports/index.js';
export type * from './statements/index.js';
export * from './configuration/index.js';
export * from './instances/index.js';
export * from './observability/index.js';
export * from './sessions/index.js';
export * from './lifecycle/index.js';
export * from './coordination/index.js';
export * from './wiring/index.js';
