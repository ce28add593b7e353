export type * from './gateway-identity.js';
export * from './peer-link.js';
export * from './shared-rows.js';
export * from './duty-keeper.js';
export * from './coordinator.js';
export * from './promoter.js';
export * from './cluster-member.js';
