export * from './lease-keeper.js';
export * from './allocation-channel.js';
export * from './limiter.js';
export * from './share-codec.js';
