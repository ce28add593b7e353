export * from './instance.js';
export * from './instance-registry.js';
export * from './instance-watcher.js';
export * from './group-sizes.js';
export * from './log-holder-registry.js';
