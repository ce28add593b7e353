export type * from './gateway-configuration.js';
export * from './configuration-view.js';
export * from './priority-class.js';
export * from './configuration-codec.js';
export * from './configuration-watcher.js';
