export * from './peer.js';
export * from './membership.js';
export * from './peer-state-exchange.js';
export * from './voter-reconciler.js';
