export type * from './share-messages.js';
export * from './share-allocator.js';
export * from './share-holder.js';
export * from './admission-control.js';
export * from './token-bucket.js';
export * from './token-issuer.js';
export * from './sliding-window-counter.js';
export * from './sliding-window-limiter.js';
