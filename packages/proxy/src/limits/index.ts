export * from './rank-vms.js';
export * from './lease-participant.js';
export * from './lease-registry.js';
export * from './allocator-state-codec.js';
export * from './allocator-client.js';
export * from './account-limiter.js';
export * from './share-codec.js';
