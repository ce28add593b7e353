export type * from './gateway-configuration.js';
export * from './configuration-view.js';
export * from './priority-class.js';
export * from './configuration-codec.js';
export type * from './configuration-stream.js';
export * from './configuration-snapshot.js';
export * from './configuration-changes.js';
export * from './configuration-history.js';
export * from './configuration-watcher.js';
