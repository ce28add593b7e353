export * from './peer.js';
export * from './membership.js';
export * from './exchange.js';
export * from './voter-keeper.js';
