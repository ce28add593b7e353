export type * from './gateway-identity.js';
export * from './tcp-peer-network.js';
export * from './shared-rows.js';
export * from './coordinator-lease.js';
export * from './heartbeat-builder.js';
export * from './coordinator.js';
export * from './promoter.js';
export * from './store-recovery.js';
export * from './cluster-member.js';
