export type * from './account-demand.js';
export * from './share-allocator.js';
export * from './share-holder.js';
export * from './admission-control.js';
export * from './token-bucket.js';
export * from './token-issuer.js';
export * from './window-counter.js';
export * from './window-limit.js';
