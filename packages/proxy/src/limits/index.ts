export * from './rank-vms.js';
export * from './lease-keeper.js';
export * from './lease-registry.js';
export * from './state-codec.js';
export * from './allocation-channel.js';
export * from './limiter.js';
export * from './share-codec.js';
